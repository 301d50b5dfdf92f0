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
	// recoveredFraction is the fraction of the goodput before the triggers at which
	// goodput counts as recovered.
	recoveredFraction = 0.95
	// recoveryWindowSeconds is the number of consecutive seconds over which goodput must
	// have recovered on average.
	recoveryWindowSeconds = 3
	// maxLatencyMicros is the highest latency that the histograms record; higher ones
	// count as this.
	maxLatencyMicros = 60_000_000
)

// ClassResult holds the results of one organisation and class.
type ClassResult struct {
	Organisation fleet.OrganisationID `json:"organisation"`
	Class        string               `json:"class"`
	Arrivals     int                  `json:"arrivals"`
	Succeeded    int                  `json:"whole"`
	// Goodput is successful requests per second.
	Goodput float64 `json:"goodput"`
	// TriesPerArrival is the mean number of requests sent per arrival.
	TriesPerArrival float64 `json:"tries"`
	// P50Ms and P99Ms are latencies of successful requests, retries included.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// Results holds the measures of one run of a scenario, and the data behind them.
type Results struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Scale    string `json:"scale"`
	// Goodput is successful requests per second over the measured time, TriggerGoodput
	// the same from the start of the first trigger to the end of the last, and
	// ActionSuccessFraction the fraction of actions that succeeded.
	Goodput               float64 `json:"goodput"`
	TriggerGoodput        float64 `json:"duringTrigger"`
	ActionSuccessFraction float64 `json:"actionsWhole"`
	// RecoverySeconds is the time from the end of the triggers until goodput has
	// recovered and stays so; -1 if it never does.
	RecoverySeconds float64 `json:"recoverySeconds"`
	// WorstShareFraction is the lowest ratio of an organisation's goodput to its fair
	// share while triggers last, and WorstOrganisation the organisation with that ratio.
	WorstShareFraction float64              `json:"worstShare"`
	WorstOrganisation  fleet.OrganisationID `json:"worst"`
	// WrongRefusalFraction is the fraction of tries that were refused for rate, among the
	// tries made while their organisation was within its rate.
	WrongRefusalFraction float64       `json:"wronglyRefused"`
	ByClass              []ClassResult `json:"rows"`
	// SuccessesPerSecond counts successful requests by the second of their arrival.
	SuccessesPerSecond []float64 `json:"timeline"`
}

// ComputeResults computes the results of a run. Policy labels the policy that the nodes
// ran with.
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

// successesPerSecond counts successful requests by the second of their arrival.
func successesPerSecond(s *Scenario, outcomes []Outcome) []float64 {
	counts := make([]float64, int(s.Duration/time.Second))
	for _, o := range outcomes {
		if second := int(o.Arrival / time.Second); o.Succeeded && second < len(counts) {
			counts[second]++
		}
	}
	return counts
}

// actionSuccessFraction returns the fraction of actions that succeeded; 1 if there were
// none.
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

// recoverySeconds returns the number of seconds from triggerEnd to the first second from
// which mean goodput is recovered both over the next recoveryWindowSeconds and over the
// rest of the run. It returns -1 if goodput never recovers, and 0 if there are no triggers
// or no measured time before or after them.
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

// worstOrganisation returns the organisation with the lowest ratio of goodput to fair
// share while triggers last, or over the whole run without triggers, and that ratio. It
// returns "" and 1 if no organisation has a share. Fair shares divide the total goodput evenly, up to the requests of each organisation or to
// its rate, whichever is lower.
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

// fairShares divides total evenly, limits each share to the demand of its organisation,
// and divides the rest among the others (max-min fairness).
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

// attempt is one try of a request.
type attempt struct {
	at             time.Duration
	refusedForRate bool
}

// wrongRefusalFraction returns the fraction of tries that were refused for rate, among
// the tries made while their organisation was within its rate. Only the last try of a
// request can have been refused for rate.
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

// countWithinRate counts the tries of an organisation in the seconds in which it was
// within its rate, and those of them that were refused for rate. It applies all tries to
// one token bucket. It excludes each second in which the bucket ran empty, and the next
// one, because which calls the nodes refuse then is not determined.
func (s *Scenario) countWithinRate(id fleet.OrganisationID, list []attempt) (counted, refused int) {
	slices.SortFunc(list, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
	rate, limited := s.Rates[id]
	excluded := map[time.Duration]bool{}
	tokens, last := s.Bursts[id], time.Duration(0)
	for _, t := range list {
		tokens = min(tokens+rate.TokensIn(t.at-last), s.Bursts[id])
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
