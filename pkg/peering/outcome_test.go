package peering

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against an outcome whose large body or whose other fields are lost or changed.
func TestDecodeOutcome(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 1 << 20} {
		is := is.New(t)
		want := &linkrpc.Outcome{
			Fate: linkrpc.Fate_FATE_ANSWERED, Status: 200, Headers: []string{"A", "b", "C", ""}, Body: bytes.Repeat([]byte("x"), size), Load: &linkrpc.Load{Limit: 7},
		}
		payload, err := proto.Marshal(want)
		is.NoErr(err)
		got, err := decodeOutcome(payload)
		is.NoErr(err)
		is.True(proto.Equal(got, want))
		if size > 0 {
			_, err = decodeOutcome(payload[:len(payload)-1])
			is.True(err != nil)
		}
	}
}
