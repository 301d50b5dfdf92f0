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
// a peer that is about to send its handshake message, and against places that are not given back.
func TestStrangersMakeRoom(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	s := &strangers{clock: fake}
	closed := func(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) != nil }
	var conns []net.Conn
	var first *stranger
	for i := range maxStrangers {
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
	fake.Advance(minStrangerAge)
	is.True(s.tryAdd(other) != nil)
	is.True(closed(conns[0]))
	is.True(!closed(conns[1]))
	s.remove(first)
	is.Equal(s.conns.Len(), maxStrangers)
	s.remove(s.conns.Front().Value.(*stranger))
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
