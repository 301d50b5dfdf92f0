package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// coldLoad returns the usual load, in which a fraction of the instances of the bottleneck becomes
// cold for 4 s.
func coldLoad(g *CallGraph, instanceFraction, factor float64, slowStart bool) *Load {
	b, _ := g.Bottleneck()
	cold := Window{From: 12 * time.Second, Until: 16 * time.Second}
	return &Load{
		Name: "cold", Duration: 36 * time.Second, BaseFactor: 1, SlowStart: slowStart,
		// The trigger without an effect makes the result cover the time from the cold start on.
		Surges:     []Surge{{Window{From: 10 * time.Second, Until: 22 * time.Second}, 1}},
		ColdStarts: []ColdStart{{cold, b.Name, instanceFraction, 0.15, factor}},
	}
}

// A third of the instances fails what exceeds a small load for 4 s. Guards against a slow start
// that serves callers worse than none.
func TestSlowStartServesColdInstancesBetter(t *testing.T) {
	for _, name := range []string{"teranga", "escalera"} {
		g := testCallGraph(t, name)
		worth := map[bool]float64{}
		for _, slowStart := range []bool{false, true} {
			seeds := Seeds(11, 3)
			for _, seed := range seeds {
				worth[slowStart] += Run(g, coldLoad(g, 0.34, 0, slowStart), testStrategy(t, "plan"), seed).TriggerWorth / float64(len(seeds))
			}
		}
		t.Logf("%s: worth %.4f without, %.4f with slow start", name, worth[false], worth[true])
		is.New(t).True(worth[true] > worth[false])
	}
}
