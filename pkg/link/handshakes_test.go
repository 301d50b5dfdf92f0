package link

import (
	"encoding/binary"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// Guards against connections of clients that are no nodes beyond the bound, against the close of
// a peer whose handshake message is about to arrive or to be read, and against places that are not
// given back.
func TestHandshakesMakeRoom(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	unread := map[net.Conn]bool{}
	s := &handshakes{clock: fake, hasData: func(conn net.Conn) bool { return unread[conn] }}
	closed := func(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) != nil }
	var conns []net.Conn
	var first *handshake
	for i := range maxHandshakes {
		conn, _ := net.Pipe()
		conns = append(conns, conn)
		added := s.tryAdd(conn)
		is.True(added != nil)
		if i == 0 {
			first = added
		}
		fake.Advance(time.Millisecond)
	}
	other, _ := net.Pipe()
	is.True(s.tryAdd(other) == nil)
	fake.Advance(minHandshakeAge)
	unread[conns[0]] = true
	is.True(s.tryAdd(other) != nil)
	is.True(!closed(conns[0]))
	is.True(closed(conns[1]))
	unread[conns[0]] = false
	last, _ := net.Pipe()
	is.True(s.tryAdd(last) != nil)
	is.True(closed(conns[0]))
	s.remove(first)
	is.Equal(s.conns.Len(), maxHandshakes)
	s.remove(s.conns.Front().Value.(*handshake))
	next, _ := net.Pipe()
	is.True(s.tryAdd(next) != nil)
	is.True(!closed(conns[2]))
}

// A client that is no node announces a long message. Guards against memory that is taken before
// the message has arrived, and against a connection that stays open for it.
func TestLongHandshakeMessageIsRefused(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, nil)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	header := binary.BigEndian.AppendUint32(nil, maxHelloBytes+1)
	_, err = conn.Write(append(header, byte(KindHello), 0, 0, 0, 0))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(dialTimeout / 2)))
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}
