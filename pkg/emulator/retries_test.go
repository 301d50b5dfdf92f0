package emulator

import (
	"testing"

	"github.com/matryer/is"
)

// chainText is a call graph in which each request makes four calls, one after the other, to
// the deepest of four services.
const chainText = `[shape]
name = chain
dataCentres = 2
[service "outer"]
instances = 4
slots = 60
[service "middle"]
instances = 4
slots = 60
[service "inner"]
instances = 4
slots = 60
[service "deep"]
instances = 4
slots = 16
[class "order"]
service = outer
rate = 60
priority = 0
worth = 3
target = 1500ms
patience = 5s
work = 30ms
returns = 1
calls = relay:1
[class "browse"]
service = outer
rate = 140
priority = 2
target = 1500ms
patience = 5s
work = 30ms
returns = 1
calls = relay:1
[class "relay"]
service = middle
work = 20ms
calls = gather:1
[class "gather"]
service = inner
work = 20ms
calls = fetch:4
[class "fetch"]
service = deep
work = 50ms
`

// The deepest service rejects 45 % of its calls for 8 s. Guards against retries that do not
// let more requests complete than if they are spent on the calls that come first, and against
// urgent requests that complete less often than others.
func TestRetriesByPositionCompleteMore(t *testing.T) {
	is := is.New(t)
	g, err := ParseCallGraph("chain", []byte(chainText))
	is.NoErr(err)
	byPosition, even := 0.0, 0.0
	for seed := range uint64(5) {
		r := Run(g, testLoad(t, g, "reject"), testStrategy(t, "plan"), seed)
		is.True(r.PerClass["order"] > r.PerClass["browse"])
		byPosition += r.TriggerWorth / 5
		even += Run(g, testLoad(t, g, "reject"), testStrategy(t, "even"), seed).TriggerWorth / 5
	}
	t.Logf("evenly %.3f, by position %.3f", even, byPosition)
	is.True(byPosition > 1.2*even)
}

// Nothing is rejected. Guards against calls that the retry budget treats differently then.
func TestRetriesByPositionChangeNothingWithoutRejections(t *testing.T) {
	is := is.New(t)
	g, err := ParseCallGraph("chain", []byte(chainText))
	is.NoErr(err)
	a, b := Run(g, testLoad(t, g, "surge"), testStrategy(t, "plan"), 1), Run(g, testLoad(t, g, "surge"), testStrategy(t, "even"), 1)
	a.Strategy, b.Strategy = "", ""
	is.Equal(a, b)
}
