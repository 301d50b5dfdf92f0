package node_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/plantainramp/plantainramp/pkg/action"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// loopbackBytes returns the number of bytes that the loopback device has received.
func loopbackBytes(b *testing.B) float64 {
	text, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		b.Skip("needs /proc/net/dev")
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			n, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return n
		}
	}
	return 0
}

// BenchmarkControlMessage measures the CPU time and the bytes on the wire of a control
// message and its reply, for both ends together.
func BenchmarkControlMessage(b *testing.B) {
	c := newCluster(b, http.HandlerFunc(respond), "showcase", "calendar")
	pool := &peer.Pool{Secret: c.settings[0].PeerSecret, Clock: clock.System{}}
	client := pool.Get(c.settings[0].PeersAddress).Client()
	ctx := context.Background()
	messages := []struct {
		name string
		send func(i int) error
	}{
		{"exchange", func(int) error {
			_, err := client.Exchange(ctx, &peerrpc.ExchangeRequest{Member: "0123456789abcdef01234567", NextOffset: 1 << 20})
			return err
		}},
		{"borrow", func(int) error {
			_, err := client.Borrow(ctx, &peerrpc.BorrowRequest{
				Borrower: "0123456789abcdef01234567", Wanted: []*peerrpc.Want{{Organisation: "dakar", Tokens: 1}},
				Settled: []*peerrpc.Settle{{Loan: 1, Slot: 3, Epoch: 40, Organisation: "dakar", Spent: 1}},
			})
			return err
		}},
		{"recall", func(int) error {
			_, err := client.Recall(ctx, &peerrpc.RecallRequest{IntentId: "0123456789abcdef01234567"})
			return err
		}},
	}
	for _, message := range messages {
		b.Run(message.name, func(b *testing.B) {
			for i := range 100 {
				if err := message.send(i); err != nil {
					b.Fatal(err)
				}
			}
			bytesBefore, cpuBefore := loopbackBytes(b), cpuTime()
			b.ResetTimer()
			for i := range b.N {
				if err := message.send(i); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(b.N)/1000, "cpu-us/op")
			b.ReportMetric((loopbackBytes(b)-bytesBefore)/float64(b.N), "bytes/op")
		})
	}
}

// BenchmarkIntent measures the CPU time to record an intent, with many concurrent
// writers. It includes the writers, the recorder and the log.
func BenchmarkIntent(b *testing.B) {
	c := newCluster(b, http.HandlerFunc(respond), "showcase", "calendar")
	pool := &peer.Pool{Secret: c.settings[0].PeerSecret, Clock: clock.System{}}
	client := pool.Get(c.settings[0].PeersAddress).Client()
	cpuBefore := cpuTime()
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := fleet.NewID() + "00000000"
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			reply, err := client.Intend(ctx, &peerrpc.IntendRequest{
				Partition: int32(action.PartitionOf(action.KeyDigest(key))),
				Intents:   []*peerrpc.Intent{{Id: fleet.NewID(), KeyDigest: key, BodyDigest: "0123456789abcdef", Writer: "0123456789abcdef01234567"}},
			})
			cancel()
			if err != nil || !reply.GetVerdicts()[0].GetDecided() {
				b.Errorf("intent not decided: %v", err)
			}
		}
	})
	b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(b.N)/1000, "cpu-us/op")
}

// BenchmarkConfirmation measures the latency of an action whose intent is recorded in
// the log, and for comparison that of a read with the same path.
func BenchmarkConfirmation(b *testing.B) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			c := newCluster(b, http.HandlerFunc(respond), "showcase", "calendar")
			client := &http.Client{}
			warmUp(client, "http://"+c.settings[0].CallersAddress+"/calendar/days", c.key)
			var times []time.Duration
			b.ResetTimer()
			for i := range b.N {
				req, _ := http.NewRequest(method, "http://"+c.settings[0].CallersAddress+"/calendar/days", nil)
				req.Header.Set("Authorization", "Bearer "+c.key)
				req.Header.Set("Idempotency-Key", fmt.Sprintf("%q", fleet.NewID()+strconv.Itoa(i)))
				start := time.Now()
				resp, err := client.Do(req)
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("%v %v", resp, err)
				}
				_ = resp.Body.Close()
				times = append(times, time.Since(start))
			}
			b.ReportMetric(float64(quantile(times, 0.5).Microseconds()), "p50-us")
			b.ReportMetric(float64(quantile(times, 0.99).Microseconds()), "p99-us")
		})
	}
}
