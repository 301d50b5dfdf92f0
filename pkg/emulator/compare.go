package emulator

import (
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Row is the mean of the runs of one way under one load.
type Row struct {
	Load, Way string
	Runs      int
	// The means of the fields of Result of the same names.
	Worth, TriggerWorth, Used, Wasted, WorstClass float64
	// Slowest is the slowest recovery, or NeverRecovered.
	Slowest time.Duration
}

// Compare plays each load on each shape by each way with each seed, several runs
// at once, and returns a row for each load and way, and one for all loads of each way.
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
