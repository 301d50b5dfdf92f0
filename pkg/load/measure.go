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
	// recovered is the part of the goodput before the trigger that counts as
	// recovered.
	recovered = 0.95
	// recoveryWindow is the number of seconds that must hold in a row.
	recoveryWindow = 3
	// maxLatency bounds the histograms, in microseconds.
	maxLatency = 60_000_000
)

// Row holds the figures of one organisation and class.
type Row struct {
	Organisation fleet.OrganisationID `json:"organisation"`
	Class        string               `json:"class"`
	Arrivals     int                  `json:"arrivals"`
	Whole        int                  `json:"whole"`
	// Goodput is whole requests a second.
	Goodput float64 `json:"goodput"`
	// Tries is how many requests were sent for each arrival.
	Tries float64 `json:"tries"`
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// Measures are the four measures of one run, and what they are made of.
type Measures struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Scale    string `json:"scale"`
	// Goodput is whole requests a second over the measured time, DuringTrigger
	// while triggers last, and ActionsWhole the part of actions that succeeded.
	Goodput       float64 `json:"goodput"`
	DuringTrigger float64 `json:"duringTrigger"`
	ActionsWhole  float64 `json:"actionsWhole"`
	// RecoverySeconds is the time from the end of the triggers until goodput is
	// back for good; -1 where it never was.
	RecoverySeconds float64 `json:"recoverySeconds"`
	// WorstShare is the lowest of the organisations' goodput over what each was
	// due while triggers lasted, and Worst the organisation.
	WorstShare float64              `json:"worstShare"`
	Worst      fleet.OrganisationID `json:"worst"`
	// WronglyRefused is the part of arrivals of organisations within their rate
	// that were refused for rate.
	WronglyRefused float64 `json:"wronglyRefused"`
	Rows           []Row   `json:"rows"`
	// Timeline is whole requests in each second.
	Timeline []float64 `json:"timeline"`
}

// Measure computes the measures of a run.
func Measure(s *Scenario, policy string, outcomes []Outcome) *Measures {
	m := &Measures{Scenario: s.Name, Policy: policy, Seed: s.Seed, Scale: s.Scale}
	m.Rows = rows(s, outcomes)
	m.Timeline = timeline(s, outcomes)
	m.Goodput = lo.Mean(m.Timeline)
	from, until := int(s.TriggerStart()/time.Second), int(s.TriggerEnd()/time.Second)
	if until > from {
		m.DuringTrigger = lo.Mean(m.Timeline[from:min(until, len(m.Timeline))])
	}
	m.ActionsWhole = actionsWhole(outcomes)
	m.RecoverySeconds = recovery(m.Timeline, from, until)
	m.Worst, m.WorstShare = worst(s, outcomes)
	m.WronglyRefused = wronglyRefused(s, outcomes)
	return m
}

type rowKey struct {
	organisation fleet.OrganisationID
	class        string
}

func rows(s *Scenario, outcomes []Outcome) []Row {
	table := map[rowKey]*Row{}
	times := map[rowKey]*hdrhistogram.Histogram{}
	for _, o := range outcomes {
		key := rowKey{o.Traffic.Organisation, o.Traffic.Class}
		row := table[key]
		if row == nil {
			row = &Row{Organisation: key.organisation, Class: key.class}
			table[key] = row
			times[key] = hdrhistogram.New(1, maxLatency, 3)
		}
		row.Arrivals++
		row.Tries += float64(len(o.Tries))
		if o.Whole {
			row.Whole++
			_ = times[key].RecordValue(min(o.Took.Microseconds(), maxLatency))
		}
	}
	var list []Row
	for key, row := range table {
		row.Tries /= float64(row.Arrivals)
		row.Goodput = float64(row.Whole) / s.Duration.Seconds()
		row.P50Ms = float64(times[key].ValueAtQuantile(50)) / 1000
		row.P99Ms = float64(times[key].ValueAtQuantile(99)) / 1000
		list = append(list, *row)
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	return list
}

// timeline counts whole requests by the second of their arrival.
func timeline(s *Scenario, outcomes []Outcome) []float64 {
	line := make([]float64, int(s.Duration/time.Second))
	for _, o := range outcomes {
		if second := int(o.At / time.Second); o.Whole && second < len(line) {
			line[second]++
		}
	}
	return line
}

func actionsWhole(outcomes []Outcome) float64 {
	all, whole := 0, 0
	for _, o := range outcomes {
		if !o.Traffic.Action {
			continue
		}
		all++
		if o.Whole {
			whole++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(whole) / float64(all)
}

// recovery returns the seconds after the trigger's end from which goodput is
// back in recoveryWindow seconds in a row and stays back on average.
func recovery(line []float64, from, until int) float64 {
	if until <= from || until >= len(line) || from == 0 {
		return 0
	}
	want := lo.Mean(line[:from]) * recovered
	for second := until; second+recoveryWindow <= len(line); second++ {
		if lo.Mean(line[second:second+recoveryWindow]) >= want && lo.Mean(line[second:]) >= want {
			return float64(second - until)
		}
	}
	return -1
}

// worst compares each organisation's goodput with its part of the whole goodput
// when that is shared out evenly up to what each organisation asked for and may
// ask for.
func worst(s *Scenario, outcomes []Outcome) (fleet.OrganisationID, float64) {
	from, until := s.TriggerStart(), s.TriggerEnd()
	if until <= from {
		from, until = 0, s.Duration
	}
	asked, got := map[fleet.OrganisationID]float64{}, map[fleet.OrganisationID]float64{}
	total := 0.0
	for _, o := range outcomes {
		if o.At < from || o.At >= until {
			continue
		}
		asked[o.Traffic.Organisation]++
		if o.Whole {
			got[o.Traffic.Organisation]++
			total++
		}
	}
	for id, rate := range s.Rates {
		asked[id] = math.Min(asked[id], float64(rate)*(until-from).Seconds())
	}
	due := shareOut(total, asked)
	var name fleet.OrganisationID
	lowest := math.Inf(1)
	for _, id := range slices.Sorted(maps.Keys(due)) {
		if due[id] > 0 && got[id]/due[id] < lowest {
			name, lowest = id, got[id]/due[id]
		}
	}
	if math.IsInf(lowest, 1) {
		return "", 1
	}
	return name, lowest
}

// shareOut divides total evenly, nobody getting more than it asked for.
func shareOut(total float64, asked map[fleet.OrganisationID]float64) map[fleet.OrganisationID]float64 {
	due := map[fleet.OrganisationID]float64{}
	ids := slices.SortedFunc(maps.Keys(asked), func(a, b fleet.OrganisationID) int {
		return cmp.Or(cmp.Compare(asked[a], asked[b]), cmp.Compare(a, b))
	})
	for i, id := range ids {
		due[id] = math.Min(asked[id], total/float64(len(ids)-i))
		total -= due[id]
	}
	return due
}

// attempt is one try of an organisation.
type attempt struct {
	at       time.Duration
	overRate bool
}

// wronglyRefused returns the part of the tries that were refused for rate while
// their organisation was within it.
func wronglyRefused(s *Scenario, outcomes []Outcome) float64 {
	attempts := map[fleet.OrganisationID][]attempt{}
	for _, o := range outcomes {
		for i, at := range o.Tries {
			last := i == len(o.Tries)-1
			id := o.Traffic.Organisation
			attempts[id] = append(attempts[id], attempt{at: at, overRate: last && o.OverRate})
		}
	}
	all, wrong := 0, 0
	for id, list := range attempts {
		n, refused := s.judge(id, list)
		all += n
		wrong += refused
	}
	if all == 0 {
		return 0
	}
	return float64(wrong) / float64(all)
}

// judge counts the tries of an organisation in seconds in which it was within its
// rate, and those of them that were refused for it. It plays the tries to one token
// bucket; a second in which that ran empty, and the next one, are left out, since
// which calls are refused then is up to the nodes.
func (s *Scenario) judge(id fleet.OrganisationID, list []attempt) (all, refused int) {
	slices.SortFunc(list, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
	rate, limited := s.Rates[id]
	over := map[time.Duration]bool{}
	level, last := s.Bursts[id], time.Duration(0)
	for _, t := range list {
		level = min(level+rate.TokensIn(t.at-last), s.Bursts[id])
		last = t.at
		if level < 1 && limited {
			second := t.at.Truncate(time.Second)
			over[second], over[second+time.Second] = true, true
			continue
		}
		level--
	}
	for _, t := range list {
		if over[t.at.Truncate(time.Second)] {
			continue
		}
		all++
		if t.overRate {
			refused++
		}
	}
	return all, refused
}
