package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/route"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

const (
	serviceCount      = 77
	organisationCount = 500
	ticketCount       = 10_000
)

// memberCounts are the numbers of members for which the benchmarks run. They show
// how cost grows with the size of the fleet.
var memberCounts = []int{100, 1400, 10_000}

func newRecord(b testing.TB, kind platformlog.Kind, body any) platformlog.Record {
	r, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), kind, body)
	if err != nil {
		b.Fatal(err)
	}
	return r
}

func memberRecord(b testing.TB, i int) platformlog.Record {
	return newRecord(b, state.RecordMemberJoin, state.Member{
		ID: fleet.MemberID(fleet.NewID()), Instance: fleet.InstanceName(fmt.Sprintf("calendar-%d", i)),
		Service:     fleet.ServiceName(fmt.Sprintf("service-%d", i%serviceCount)),
		DataCentre:  fleet.DataCentre(fmt.Sprintf("dc-%d", i%12)),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7002", i>>16, i>>8&255, i&255), AdminAddress: "10.0.0.1:7003", Slots: 45,
	})
}

func organisationTicket(number, against fleet.TicketNumber, id string) ticket.Ticket {
	return ticket.Ticket{
		Number: number, Author: "awa", Reason: "a reason of ordinary length for a change",
		Against:       map[ticket.Ref]fleet.TicketNumber{{Kind: ticket.KindOrganisation, Name: id}: against},
		Organisations: []ticket.Organisation{{ID: fleet.OrganisationID(id), Rate: 100, Burst: 50, Weight: 1}},
	}
}

// newFollower returns a follower whose state has the given number of members and
// ticketCount verdicts.
func newFollower(b testing.TB, members int) *config.Follower {
	f := &config.Follower{Clock: clock.System{}, Logger: logs.Discard()}
	var records []platformlog.Record
	for i := range members {
		records = append(records, memberRecord(b, i))
	}
	last := map[string]fleet.TicketNumber{}
	for i := range ticketCount {
		id := fmt.Sprintf("organisation-%d", i%organisationCount)
		number := fleet.TicketNumber(i + 1)
		records = append(records, newRecord(b, ticket.RecordKind, organisationTicket(number, last[id], id)))
		last[id] = number
	}
	f.ApplyRecords(0, records)
	return f
}

// BenchmarkSlopeChange measures the cost of one new record: copying the state,
// applying the record and building the view.
func BenchmarkSlopeChange(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			f := newFollower(b, n)
			endpoints := &route.Endpoints{Clock: clock.System{}}
			f.OnChange = endpoints.Update
			b.ResetTimer()
			for i := range b.N {
				f.ApplyRecords(f.View().State.NextOffset, []platformlog.Record{memberRecord(b, n+i%1000)})
			}
		})
	}
}

// BenchmarkSlopeSnapshot measures the cost and the size of one packed state.
func BenchmarkSlopeSnapshot(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			s := newFollower(b, n).View().State
			var size int
			for b.Loop() {
				packed, _, err := s.Pack()
				if err != nil {
					b.Fatal(err)
				}
				size = len(packed)
			}
			b.ReportMetric(float64(size)/1024, "KB")
		})
	}
}

// BenchmarkSlopeMemory measures the memory used by a state and its view.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newFollower(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB-held")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(f)
		})
	}
}

// BenchmarkSlopePick measures the cost of choosing an instance of one service.
func BenchmarkSlopePick(b *testing.B) {
	for _, n := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			f := newFollower(b, n)
			endpoints := &route.Endpoints{Clock: clock.System{}}
			endpoints.Update(f.View())
			for b.Loop() {
				endpoints.Pick(f.View(), "service-1", "dc-1", nil)
			}
		})
	}
}
