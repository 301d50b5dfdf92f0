package instance

import (
	"hash/maphash"
	"net/http"
	"slices"
	"strings"

	"github.com/plantainramp/plantainramp/pkg/seam"
)

// maxCallsPerConn bounds the calls that a connection carries, and so the ids that it keeps.
const maxCallsPerConn = 1024

// digestSeed is the seed of all digests.
var digestSeed = maphash.MakeSeed()

// idDigest is the digest of a request id.
type idDigest uint64

func digestOf(id string) idDigest { return idDigest(maphash.String(digestSeed, id)) }

// carriedIDs holds the ids of the calls that a connection has carried. The instance may send a
// response again at any later time, and a request id identifies a response only on a connection
// that has carried the id once. The zero value has carried nothing.
type carriedIDs struct {
	digests []idDigest
}

func (c *carriedIDs) add(id idDigest) { c.digests = append(c.digests, id) }

func (c *carriedIDs) has(id idDigest) bool { return slices.Contains(c.digests, id) }

func (c *carriedIDs) count() int { return len(c.digests) }

// isLateCopy reports whether a response is a whole one to an earlier call on the connection:
// the next response is then that of the call which awaits one. One that has broken off contains
// the start of the next in its body or trailer, or, if that was in the extension of the last chunk,
// the id of the next in its trailer.
func (k *conn) isLateCopy(id string, response *http.Response, body []byte, idHeader string) bool {
	if id == "" || !k.carried.has(digestOf(id)) || response.Trailer.Get(idHeader) != "" {
		return false
	}
	return !seam.HasStatusLine(body) && !slices.ContainsFunc(trailerTexts(response), seam.HasStatusLine[string])
}

// trailerTexts returns the lines of the trailer of a response that was read whole.
func trailerTexts(response *http.Response) []string {
	var lines []string
	for name, values := range response.Trailer {
		lines = append(lines, name+": "+strings.Join(values, ", "))
	}
	return lines
}
