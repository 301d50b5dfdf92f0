package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// warmUpTime exceeds the time for which a node ramps up the limit of a cold upstream.
const warmUpTime = 5500 * time.Millisecond

// responseBody is the body of a small JSON response.
var responseBody = []byte(`{"homes":[{"id":1,"town":"Saint-Louis"},{"id":2,"town":"Ziguinchor"}]}`)

func respond(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(responseBody)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAddedLatency measures the latency that two nodes on the path add to a call. It
// alternates between direct calls to the upstream and calls through the nodes, both at a
// fixed rate.
func BenchmarkAddedLatency(b *testing.B) {
	for _, rate := range []int{500, 1500} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			c := newCluster(b, http.HandlerFunc(respond), "showcase", "calendar")
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			nodesURL := "http://" + c.settings[0].CallersAddress + "/calendar/days"
			directURL := "http://" + c.settings[1].UpstreamAddress + "/days"
			warmUp(client, nodesURL, c.key)
			b.ResetTimer()
			var directTimes, nodesTimes []time.Duration
			for range max(b.N/rate/2, 3) {
				directTimes = append(directTimes, callAtRate(b, client, directURL, "x", rate, rate)...)
				nodesTimes = append(nodesTimes, callAtRate(b, client, nodesURL, c.key, rate, rate)...)
			}
			b.ReportMetric(0, "ns/op")
			for _, q := range []float64{0.5, 0.99} {
				d, n := quantile(directTimes, q), quantile(nodesTimes, q)
				b.ReportMetric(float64(d.Microseconds()), fmt.Sprintf("direct-p%g-us", q*100))
				b.ReportMetric(float64((n - d).Microseconds()), fmt.Sprintf("added-p%g-us", q*100))
			}
		})
	}
}

// warmUp makes calls for warmUpTime. The calls may be refused.
func warmUp(client *http.Client, url, key string) {
	for end := time.Now().Add(warmUpTime); time.Now().Before(end); {
		_, _ = get(client, url, key)
	}
}

// callAtRate starts n calls at a rate in calls per second, without waiting for earlier
// calls to finish, and returns their latencies.
func callAtRate(b *testing.B, client *http.Client, url, key string, rate, n int) []time.Duration {
	times := make([]time.Duration, n)
	var group sync.WaitGroup
	benchStart := time.Now()
	for i := range n {
		time.Sleep(time.Until(benchStart.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		group.Go(func() {
			start := time.Now()
			if status, err := get(client, url, key); err != nil || status != http.StatusOK {
				b.Errorf("status %d: %v", status, err)
			}
			times[i] = time.Since(start)
		})
	}
	group.Wait()
	return times
}

// quantile returns the quantile q of times, with q from 0 to 1.
func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(float64(len(sorted)-1)*q)]
}

// BenchmarkCall measures CPU time and allocations of a call in the client, the upstream
// and, in the second case, two nodes.
func BenchmarkCall(b *testing.B) {
	for _, path := range []string{"direct", "nodes"} {
		b.Run(path, func(b *testing.B) {
			c := newCluster(b, http.HandlerFunc(respond), "showcase", "calendar")
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			url, key := "http://"+c.settings[1].UpstreamAddress+"/days", "x"
			if path == "nodes" {
				url, key = "http://"+c.settings[0].CallersAddress+"/calendar/days", c.key
			}
			b.ReportAllocs()
			warmUp(client, url, key)
			cpuBefore := cpuTime()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if status, err := get(client, url, key); err != nil || status != http.StatusOK {
						b.Errorf("status %d: %v", status, err)
					}
				}
			})
			b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(b.N)/1000, "cpu-us/op")
		})
	}
}
