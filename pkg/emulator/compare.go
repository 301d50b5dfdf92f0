package emulator

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Row summarises all emulations of one strategy under one load. It is encoded as
// JSON under its field names. Way is the name of the strategy, Runs the number of
// emulations.
type Row struct {
	Load, Way string
	Runs      int
	// These are the means of the fields of Result with the same names.
	Worth, TriggerWorth, Used, Wasted, WorstClass float64
	// Slowest is the longest recovery, or NeverRecovered if any did not recover.
	Slowest time.Duration
}

// Compare emulates each combination of call graph, named load, strategy and seed,
// several at once. It returns a row for each load and strategy, and for each
// strategy a row over all loads.
func Compare(graphs []*CallGraph, loads []string, strategies []Strategy, seeds []uint64) []Row {
	var results []*Result
	var mu sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for _, g := range graphs {
		bottleneck, _ := g.Bottleneck()
		for _, l := range Loads(bottleneck.Name) {
			if !slices.Contains(loads, l.Name) {
				continue
			}
			for _, strategy := range strategies {
				for _, seed := range seeds {
					group.Go(func() {
						semaphore <- struct{}{}
						defer func() { <-semaphore }()
						r := Run(g, &l, strategy, seed)
						mu.Lock()
						defer mu.Unlock()
						results = append(results, r)
					})
				}
			}
		}
	}
	group.Wait()
	return summarise(results, loads, strategies)
}

func summarise(results []*Result, loads []string, strategies []Strategy) []Row {
	var list []Row
	for _, name := range append(slices.Clone(loads), "all") {
		for _, strategy := range strategies {
			matching := lo.Filter(results, func(r *Result, _ int) bool { return r.Strategy == strategy.Name && (name == "all" || r.Load == name) })
			if len(matching) > 0 {
				list = append(list, meanRow(name, strategy.Name, matching))
			}
		}
	}
	return list
}

func meanRow(load, strategy string, results []*Result) Row {
	row := Row{Load: load, Way: strategy, Runs: len(results)}
	average := func(value func(r *Result) float64) float64 { return lo.SumBy(results, value) / float64(len(results)) }
	row.Worth = average(func(r *Result) float64 { return r.Worth })
	row.TriggerWorth = average(func(r *Result) float64 { return r.TriggerWorth })
	row.Used = average(func(r *Result) float64 { return r.Used })
	row.Wasted = average(func(r *Result) float64 { return r.Wasted })
	row.WorstClass = average(func(r *Result) float64 { return r.WorstClass })
	for _, r := range results {
		if r.Recovery == NeverRecovered {
			row.Slowest = NeverRecovered
			break
		}
		row.Slowest = max(row.Slowest, r.Recovery)
	}
	return row
}
