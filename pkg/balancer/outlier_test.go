package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shares returns the fraction of many calls that each candidate gets.
func shares(candidates []Candidate) []float64 {
	const calls = 20000
	random := rand.New(rand.NewPCG(1, 2))
	list := make([]float64, len(candidates))
	for range calls {
		list[Choose(candidates, random.Float64)] += 1.0 / calls
	}
	return list
}

// An instance is measured against the others of its service. Guards against one that gets calls
// as it looks idle, and against all being excluded at once.
func TestOutliers(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []Candidate
		outliers   int
	}{
		{"one rejects", []Candidate{{Rejected: 0.45}, {}, {}}, 1},
		{"one fails", []Candidate{{Failed: 0.3}, {}}, 1},
		{"one rejects and fails", []Candidate{{Rejected: 0.15, Failed: 0.15}, {}, {}}, 1},
		{"one rejects few", []Candidate{{Rejected: 0.2}, {}, {}}, 0},
		{"all reject alike", []Candidate{{Rejected: 0.45}, {Rejected: 0.5}, {Rejected: 0.4}, {Rejected: 0.52}}, 0},
		{"all fail", []Candidate{{Failed: 1}, {Failed: 1}, {Failed: 1}}, 0},
		{"most reject", []Candidate{{Rejected: 0.45}, {Rejected: 0.45}, {Rejected: 0.45}, {}}, 0},
		{"half reject", []Candidate{{Rejected: 0.45}, {Rejected: 0.45}, {}, {}}, 2},
		{"one fails where all reject", []Candidate{{Failed: 1}, {Rejected: 0.45}, {Rejected: 0.45}}, 1},
		{"alone", []Candidate{{Failed: 1}}, 0},
		{"malformed", []Candidate{{Failed: math.NaN()}, {Rejected: math.Inf(-1)}, {Rejected: -4}, {}}, 0},
		{"malformed, infinite", []Candidate{{Rejected: math.Inf(1)}, {}, {}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(Outliers(c.candidates)), c.outliers)
			for i, share := range shares(c.candidates) {
				fair := 1 / float64(len(c.candidates))
				if c.candidates[i].outlier {
					is.True(share > 0.05*fair && share < 0.4*fair)
				} else {
					is.True(share > 0.5*fair)
				}
			}
		})
	}
}

// Instances that reject fewer calls than an outlier get fewer calls, by the calls that they
// run.
func TestUsefulWorkWeighs(t *testing.T) {
	is := is.New(t)
	list := shares([]Candidate{{Rejected: 0.2, Staleness: 1}, {Staleness: 1}, {Staleness: 1}, {Staleness: 1}})
	is.True(list[0] < 0.9*list[1])
}

// An outlier in the other data centre does not draw calls there.
func TestOutlierElsewhereIsNotProbedFromHere(t *testing.T) {
	is := is.New(t)
	list := shares([]Candidate{{}, {}, {OtherDataCentre: true, Failed: 1}, {OtherDataCentre: true}})
	is.Equal(list[2]+list[3], 0.0)
}

// An outlier that is closed or unreachable is not probed.
func TestLastResortIsNotProbed(t *testing.T) {
	is := is.New(t)
	is.Equal(shares([]Candidate{{}, {}, {Failed: 1, LastResort: true}})[2], 0.0)
}

// All entrances read the same report. Guards against one that sends all their calls to the
// instance that was emptiest in it.
func TestStaleReportDoesNotDecideAlone(t *testing.T) {
	is := is.New(t)
	list := shares([]Candidate{{Limit: 10, InFlight: 2, Staleness: 1}, {Limit: 10, InFlight: 4, Staleness: 1}, {Limit: 10, InFlight: 4, Staleness: 1}, {Limit: 10, InFlight: 4, Staleness: 1}})
	is.True(list[0] > 0.25 && list[0] < 0.5)
}

// The share of the calls that are sent to the other data centre rises gradually where the
// fullness of the local instances is a mean of the past, and at once where it is exact.
func TestSpillIsGradual(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ inFlight, staleness, least, most float64 }{
		{2.9, 0, 0, 0}, {2.9, 1, 0, 0}, {3.1, 0, 1, 1}, {4.5, 0.5, 1, 1}, {4.5, 1, 0.4, 0.6}, {6.1, 1, 1, 1},
	} {
		other := shares([]Candidate{{Limit: 10, InFlight: c.inFlight, Staleness: c.staleness}, {Limit: 10, OtherDataCentre: true}})[1]
		is.True(other >= c.least-1e-9 && other <= c.most+1e-9)
	}
}

func TestEstimate(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000_000, 0)
	var none Estimate
	inFlight, staleness := none.InFlight(start, 3)
	is.Equal([]float64{inFlight, staleness}, []float64{3, 1})

	e := none.Updated(start, 4, 50*time.Millisecond, 1)
	for i := range 20 {
		e = e.Updated(start.Add(time.Duration(i)*100*time.Millisecond), 4, 50*time.Millisecond, 1)
	}
	now := e.At.Add(100 * time.Millisecond)
	e = e.Updated(now, 12, 50*time.Millisecond, 1)
	inFlight, staleness = e.InFlight(now, 1)
	is.Equal([]float64{inFlight, staleness}, []float64{12, 0}) // the report is new
	inFlight, _ = e.InFlight(now, 3)
	is.Equal(inFlight, 14.0) // two calls were sent since
	inFlight, staleness = e.InFlight(now.Add(time.Second), 1)
	is.True(inFlight > 4 && inFlight < 6) // the mean
	is.Equal(staleness, 1.0)
	inFlight, staleness = e.InFlight(now.Add(estimateLifetime+time.Millisecond), 2)
	is.Equal([]float64{inFlight, staleness}, []float64{2, 1}) // the report says nothing any more
}
