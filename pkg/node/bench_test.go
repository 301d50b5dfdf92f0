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

// warmTime is longer than the ramp of a cold upstream.
const warmTime = 5500 * time.Millisecond

// answerBody is a small JSON answer.
var answerBody = []byte(`{"homes":[{"id":1,"town":"Saint-Louis"},{"id":2,"town":"Ziguinchor"}]}`)

func answer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answerBody)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAddedTime measures the time that two nodes on the path add to a call:
// calls to the upstream directly and through the nodes, in turn, at a fixed rate.
func BenchmarkAddedTime(b *testing.B) {
	for _, rate := range []int{500, 1500} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			m := newMesh(b, http.HandlerFunc(answer), "showcase", "calendar")
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			through := "http://" + m.settings[0].CallersAddress + "/calendar/days"
			direct := "http://" + m.settings[1].UpstreamAddress + "/days"
			warm(client, through, m.key)
			b.ResetTimer()
			var directs, throughs []time.Duration
			for range max(b.N/rate/2, 3) {
				directs = append(directs, pace(b, client, direct, "x", rate, rate)...)
				throughs = append(throughs, pace(b, client, through, m.key, rate, rate)...)
			}
			b.ReportMetric(0, "ns/op")
			for _, at := range []float64{0.5, 0.99} {
				d, t := quantile(directs, at), quantile(throughs, at)
				b.ReportMetric(float64(d.Microseconds()), fmt.Sprintf("direct-p%g-us", at*100))
				b.ReportMetric(float64((t - d).Microseconds()), fmt.Sprintf("added-p%g-us", at*100))
			}
		})
	}
}

// warm makes calls until the ramp of cold upstreams is over; refusals are allowed.
func warm(client *http.Client, url, key string) {
	for end := time.Now().Add(warmTime); time.Now().Before(end); {
		_, _ = get(client, url, key)
	}
}

// pace makes n calls at a rate, whatever their time, and returns their times.
func pace(b *testing.B, client *http.Client, url, key string, rate, n int) []time.Duration {
	times := make([]time.Duration, n)
	var group sync.WaitGroup
	began := time.Now()
	for i := range n {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
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

func quantile(times []time.Duration, at float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(float64(len(sorted)-1)*at)]
}

// BenchmarkCall measures processor time and allocations of a whole call: client,
// upstream and, in the second case, two nodes.
func BenchmarkCall(b *testing.B) {
	for _, path := range []string{"direct", "nodes"} {
		b.Run(path, func(b *testing.B) {
			m := newMesh(b, http.HandlerFunc(answer), "showcase", "calendar")
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			url, key := "http://"+m.settings[1].UpstreamAddress+"/days", "x"
			if path == "nodes" {
				url, key = "http://"+m.settings[0].CallersAddress+"/calendar/days", m.key
			}
			b.ReportAllocs()
			warm(client, url, key)
			before := processorTime()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if status, err := get(client, url, key); err != nil || status != http.StatusOK {
						b.Errorf("status %d: %v", status, err)
					}
				}
			})
			b.ReportMetric(float64(processorTime()-before)/float64(b.N)/1000, "cpu-us/op")
		})
	}
}
