package load

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// recoveredFraction is the part of the goodput before the trigger that counts as
	// recoveredFraction.
	recoveredFraction = 0.95
	// recoveryWindowSeconds is the number of seconds that must hold in a row.
	recoveryWindowSeconds = 3
	// maxLatencyMicros bounds the histograms, in microseconds.
	maxLatencyMicros = 60_000_000
)

// ClassResult holds the figures of one organisation and class.
type ClassResult struct {
	Organisation fleet.OrganisationID `json:"organisation"`
	Class        string               `json:"class"`
	Arrivals     int                  `json:"arrivals"`
	Succeeded    int                  `json:"whole"`
	// Goodput is whole requests a second.
	Goodput float64 `json:"goodput"`
	// TriesPerArrival is how many requests were sent for each arrival.
	TriesPerArrival float64 `json:"tries"`
	P50Ms           float64 `json:"p50Ms"`
	P99Ms           float64 `json:"p99Ms"`
}

// Results are the four measures of one run, and what they are made of.
type Results struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Scale    string `json:"scale"`
	// Goodput is whole requests a second over the measured time, DuringTrigger
	// while triggers last, and ActionsWhole the part of actions that succeeded.
	Goodput               float64 `json:"goodput"`
	TriggerGoodput        float64 `json:"duringTrigger"`
	ActionSuccessFraction float64 `json:"actionsWhole"`
	// RecoverySeconds is the time from the end of the triggers until goodput is
	// back for good; -1 where it never was.
	RecoverySeconds float64 `json:"recoverySeconds"`
	// WorstShareFraction is the lowest of the organisations' goodput over what each was
	// due while triggers lasted, and Worst the organisation.
	WorstShareFraction float64              `json:"worstShare"`
	WorstOrganisation  fleet.OrganisationID `json:"worst"`
	// WrongRefusalFraction is the part of arrivals of organisations within their rate
	// that were refused for rate.
	WrongRefusalFraction float64       `json:"wronglyRefused"`
	ByClass              []ClassResult `json:"rows"`
	// SuccessesPerSecond is whole requests in each second.
	SuccessesPerSecond []float64 `json:"timeline"`
}

// ComputeResults computes the measures of a run.
func ComputeResults(s *Scenario, policy string, outcomes []Outcome) *Results {
	m := &Results{Scenario: s.Name, Policy: policy, Seed: s.Seed, Scale: s.Scale}
	m.ByClass = classResults(s, outcomes)
	m.SuccessesPerSecond = successesPerSecond(s, outcomes)
	m.Goodput = lo.Mean(m.SuccessesPerSecond)
	from, until := int(s.TriggerStart()/time.Second), int(s.TriggerEnd()/time.Second)
	if until > from {
		m.TriggerGoodput = lo.Mean(m.SuccessesPerSecond[from:min(until, len(m.SuccessesPerSecond))])
	}
	m.ActionSuccessFraction = actionSuccessFraction(outcomes)
	m.RecoverySeconds = recoverySeconds(m.SuccessesPerSecond, from, until)
	m.WorstOrganisation, m.WorstShareFraction = worstOrganisation(s, outcomes)
	m.WrongRefusalFraction = wrongRefusalFraction(s, outcomes)
	return m
}

type classKey struct {
	organisation fleet.OrganisationID
	class        string
}

func classResults(s *Scenario, outcomes []Outcome) []ClassResult {
	byKey := map[classKey]*ClassResult{}
	latencies := map[classKey]*hdrhistogram.Histogram{}
	for _, o := range outcomes {
		key := classKey{o.Traffic.Organisation, o.Traffic.Class}
		result := byKey[key]
		if result == nil {
			result = &ClassResult{Organisation: key.organisation, Class: key.class}
			byKey[key] = result
			latencies[key] = hdrhistogram.New(1, maxLatencyMicros, 3)
		}
		result.Arrivals++
		result.TriesPerArrival += float64(len(o.TryTimes))
		if o.Succeeded {
			result.Succeeded++
			_ = latencies[key].RecordValue(min(o.Latency.Microseconds(), maxLatencyMicros))
		}
	}
	var list []ClassResult
	for key, result := range byKey {
		result.TriesPerArrival /= float64(result.Arrivals)
		result.Goodput = float64(result.Succeeded) / s.Duration.Seconds()
		result.P50Ms = float64(latencies[key].ValueAtQuantile(50)) / 1000
		result.P99Ms = float64(latencies[key].ValueAtQuantile(99)) / 1000
		list = append(list, *result)
	}
	slices.SortFunc(list, func(a, b ClassResult) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	return list
}

// successesPerSecond counts whole requests by the second of their arrival.
func successesPerSecond(s *Scenario, outcomes []Outcome) []float64 {
	counts := make([]float64, int(s.Duration/time.Second))
	for _, o := range outcomes {
		if second := int(o.Arrival / time.Second); o.Succeeded && second < len(counts) {
			counts[second]++
		}
	}
	return counts
}

func actionSuccessFraction(outcomes []Outcome) float64 {
	all, succeeded := 0, 0
	for _, o := range outcomes {
		if !o.Traffic.Action {
			continue
		}
		all++
		if o.Succeeded {
			succeeded++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(succeeded) / float64(all)
}

// recoverySeconds returns the seconds after the trigger's end from which goodput is
// back in recoveryWindow seconds in a row and stays back on average.
func recoverySeconds(goodput []float64, triggerStart, triggerEnd int) float64 {
	if triggerEnd <= triggerStart || triggerEnd >= len(goodput) || triggerStart == 0 {
		return 0
	}
	threshold := lo.Mean(goodput[:triggerStart]) * recoveredFraction
	for second := triggerEnd; second+recoveryWindowSeconds <= len(goodput); second++ {
		if lo.Mean(goodput[second:second+recoveryWindowSeconds]) >= threshold && lo.Mean(goodput[second:]) >= threshold {
			return float64(second - triggerEnd)
		}
	}
	return -1
}

// worstOrganisation compares each organisation's goodput with its part of the whole goodput
// when that is shared out evenly up to what each organisation asked for and may
// ask for.
func worstOrganisation(s *Scenario, outcomes []Outcome) (fleet.OrganisationID, float64) {
	from, until := s.TriggerStart(), s.TriggerEnd()
	if until <= from {
		from, until = 0, s.Duration
	}
	demand, succeeded := map[fleet.OrganisationID]float64{}, map[fleet.OrganisationID]float64{}
	total := 0.0
	for _, o := range outcomes {
		if o.Arrival < from || o.Arrival >= until {
			continue
		}
		demand[o.Traffic.Organisation]++
		if o.Succeeded {
			succeeded[o.Traffic.Organisation]++
			total++
		}
	}
	for id, rate := range s.Rates {
		demand[id] = math.Min(demand[id], float64(rate)*(until-from).Seconds())
	}
	fairShare := fairShares(total, demand)
	var worstID fleet.OrganisationID
	lowest := math.Inf(1)
	for _, id := range slices.Sorted(maps.Keys(fairShare)) {
		if fairShare[id] > 0 && succeeded[id]/fairShare[id] < lowest {
			worstID, lowest = id, succeeded[id]/fairShare[id]
		}
	}
	if math.IsInf(lowest, 1) {
		return "", 1
	}
	return worstID, lowest
}

// fairShares divides total evenly, nobody getting more than it asked for.
func fairShares(total float64, demand map[fleet.OrganisationID]float64) map[fleet.OrganisationID]float64 {
	shares := map[fleet.OrganisationID]float64{}
	ids := slices.SortedFunc(maps.Keys(demand), func(a, b fleet.OrganisationID) int {
		return cmp.Or(cmp.Compare(demand[a], demand[b]), cmp.Compare(a, b))
	})
	for i, id := range ids {
		shares[id] = math.Min(demand[id], total/float64(len(ids)-i))
		total -= shares[id]
	}
	return shares
}

// attempt is one try of an organisation.
type attempt struct {
	at             time.Duration
	refusedForRate bool
}

// wrongRefusalFraction returns the part of the tries that were refused for rate while
// their organisation was within it.
func wrongRefusalFraction(s *Scenario, outcomes []Outcome) float64 {
	attempts := map[fleet.OrganisationID][]attempt{}
	for _, o := range outcomes {
		for i, at := range o.TryTimes {
			last := i == len(o.TryTimes)-1
			id := o.Traffic.Organisation
			attempts[id] = append(attempts[id], attempt{at: at, refusedForRate: last && o.RefusedForRate})
		}
	}
	counted, wrong := 0, 0
	for id, list := range attempts {
		n, refused := s.countWithinRate(id, list)
		counted += n
		wrong += refused
	}
	if counted == 0 {
		return 0
	}
	return float64(wrong) / float64(counted)
}

// countWithinRate counts the tries of an organisation in seconds in which it was within its
// rate, and those of them that were refused for it. It plays the tries to one token
// bucket; a second in which that ran empty, and the next one, are left out, since
// which calls are refused then is up to the nodes.
func (s *Scenario) countWithinRate(id fleet.OrganisationID, list []attempt) (counted, refused int) {
	slices.SortFunc(list, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
	rate, limited := s.Rates[id]
	excluded := map[time.Duration]bool{}
	tokens, last := s.Bursts[id], time.Duration(0)
	for _, t := range list {
		tokens = min(tokens+rate.Over(t.at-last), s.Bursts[id])
		last = t.at
		if tokens < 1 && limited {
			second := t.at.Truncate(time.Second)
			excluded[second], excluded[second+time.Second] = true, true
			continue
		}
		tokens--
	}
	for _, t := range list {
		if excluded[t.at.Truncate(time.Second)] {
			continue
		}
		counted++
		if t.refusedForRate {
			refused++
		}
	}
	return counted, refused
}
