package instance

import (
	"hash/maphash"
	"net/http"
	"slices"
)

// maxCallsPerConn bounds the calls that a connection carries, and so the ids that it keeps.
const maxCallsPerConn = 1024

// digestSeed is the seed of all digests.
var digestSeed = maphash.MakeSeed()

// idDigest is the digest of a request id.
type idDigest uint64

func digestOf(id string) idDigest { return idDigest(maphash.String(digestSeed, id)) }

// exchanges is what a connection has carried. The instance may send a response again at any
// later time, and a request id identifies a response only among those on a connection that has
// carried the id once. The zero value has carried nothing.
type exchanges struct {
	// sent holds the ids of all calls.
	sent []idDigest
}

// hasCarried reports whether a call with the id was sent.
func (e *exchanges) hasCarried(id idDigest) bool { return slices.Contains(e.sent, id) }

// isFull reports whether no more calls may be sent.
func (e *exchanges) isFull() bool { return len(e.sent) >= maxCallsPerConn }

// isLateCopy reports whether a whole response is one to an earlier call on the connection, and
// has not broken off: the next response is then that of the call which awaits one.
func (k *conn) isLateCopy(id string, response *http.Response, body []byte) bool {
	return id != "" && k.hasCarried(digestOf(id)) && !hasStatusLine(string(body)) && !headerHasStatusLine(response.Trailer)
}
