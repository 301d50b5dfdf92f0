package link

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// dialDyingPeer returns a connection to a peer that closes it right after its handshake
// message, or once mayClose is closed if that is not nil.
func dialDyingPeer(mayClose <-chan struct{}) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		local, peer := net.Pipe()
		go func() {
			defer func() { _ = peer.Close() }()
			f := newFramer(peer, clock.System{}, nil)
			if _, err := f.readMessage(); err != nil {
				return
			}
			payload, err := proto.Marshal(withCapabilities(hello()))
			if err != nil {
				return
			}
			frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
			frame = binary.BigEndian.AppendUint32(append(frame, byte(KindHello)), 0)
			if _, err := peer.Write(append(frame, payload...)); err != nil {
				return
			}
			if mayClose != nil {
				<-mayClose
			}
		}()
		return local, nil
	}
}

// A connection ends while it is being set up. Guards against a link that keeps the dead
// connection, and never dials the peer again.
func TestConnectionThatEndsAtOnceIsNotKept(t *testing.T) {
	is := is.New(t)
	for range 300 {
		l := &Link{Clock: clock.System{}, Hello: hello, Dial: dialDyingPeer(nil)}
		is.NoErr(l.Connect(t.Context()))
		for end := time.Now().Add(time.Second); l.Connected() && time.Now().Before(end); {
			time.Sleep(10 * time.Microsecond)
		}
		is.True(!l.Connected())
		is.Equal(l.Peer(), nil)
		l.Close()
	}
}

// A link is closed while it dials. Guards against a connection that stays open for good.
func TestLinkThatIsClosedWhileItDialsKeepsNoConnection(t *testing.T) {
	is := is.New(t)
	mayClose, dialling, mayDial := make(chan struct{}), make(chan struct{}), make(chan struct{})
	defer close(mayClose)
	dial := dialDyingPeer(mayClose)
	l := &Link{Clock: clock.System{}, Hello: hello, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		close(dialling)
		<-mayDial
		return dial(ctx, address)
	}}
	result := make(chan error, 1)
	go func() { result <- l.Connect(t.Context()) }()
	<-dialling
	l.Close()
	close(mayDial)
	is.True(errors.Is(<-result, net.ErrClosed))
	is.True(!l.Connected())
	is.Equal(l.Peer(), nil)
}
