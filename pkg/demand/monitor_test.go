package demand

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

func snapshotOf(list ...directory.Entry) func() *directory.Snapshot {
	s := &directory.Snapshot{Services: map[fleet.ServiceName][]directory.Entry{}}
	for _, e := range list {
		s.Services[e.Service] = append(s.Services[e.Service], e)
	}
	return func() *directory.Snapshot { return s }
}

func newMonitor(fakeClock *clock.Fake) *Monitor {
	return &Monitor{
		Clock: fakeClock, LocalNode: "a", Service: "front", View: func() *routing.View { return nil },
		Load:      func() *linkrpc.Load { return &linkrpc.Load{Limit: 50} },
		Directory: snapshotOf(directory.Entry{Node: "a", Service: "front", Slots: 50}, directory.Entry{Node: "d", Service: "deep", Slots: 10}),
	}
}

// deepReport reports that one browse request takes 0.5 s of slot time at the
// deep service and that all slots of the service are in use.
func deepReport() *linkrpc.Status {
	return &linkrpc.Status{
		Node: "d", Service: "deep", Load: &linkrpc.Load{Limit: 10, InFlight: 10},
		Costs: []*linkrpc.Cost{{Route: "browse", Service: "deep", SlotUs: 500_000, Weight: 10}},
	}
}

// A peer reports numbers that are none. Guards against a plan that turns all requests away,
// or none, until the node restarts.
func TestMalformedReportsDoNotSpoilPlan(t *testing.T) {
	for name, number := range map[string]float32{"NaN": float32(math.NaN()), "infinite": float32(math.Inf(1)), "negative": -5, "zero": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake := &clock.Fake{}
			m := newMonitor(fake)
			admitted, arrived := 0, 0
			for range 40 {
				for range 25 {
					m.ObserveArrival("browse")
					arrived++
					if ok, _ := m.Admit("browse"); ok {
						admitted++
					}
				}
				m.HandleStatus(deepReport())
				m.HandleStatus(&linkrpc.Status{
					Node: "x", Offers: []*linkrpc.Offer{{Route: "browse", Rate: number}, nil},
					Costs: []*linkrpc.Cost{{Route: "browse", Service: "deep", SlotUs: 500_000, Weight: number}, nil},
				})
				fake.Advance(PlanInterval)
				m.Tick()
			}
			is.True(float64(admitted) < 0.35*float64(arrived))
			is.True(float64(admitted) > 0.1*float64(arrived))
		})
	}
}

func TestRejectsDemandBeyondCapacity(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	m := newMonitor(fake)
	admitted, arrived := 0, 0
	for range 40 {
		for range 25 { // 100 per second, with capacity for 18
			m.ObserveArrival("browse")
			arrived++
			if ok, _ := m.Admit("browse"); ok {
				admitted++
			}
			ok, _ := m.Admit("elsewhere")
			is.True(ok)
		}
		m.HandleStatus(deepReport())
		fake.Advance(PlanInterval)
		m.Tick()
	}
	is.True(float64(admitted) < 0.35*float64(arrived))
	is.True(float64(admitted) > 0.1*float64(arrived))
}

// Without any report, no request is rejected: unknown load is no reason to
// shed.
func TestAdmitsAllWithoutReports(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	m := newMonitor(fake)
	for range 20 {
		m.ObserveArrival("browse")
		ok, _ := m.Admit("browse")
		is.True(ok)
		fake.Advance(PlanInterval)
		m.Tick()
	}
}

// The reported load of an unresponsive node expires, and the node counts with
// its slots from the directory.
func TestUnresponsiveNodeCountsWithItsSlots(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	m := newMonitor(fake)
	m.HandleStatus(deepReport())
	m.Tick()
	is.Equal(m.lastPlan.services["deep"].Running, 10.0)
	fake.Advance(reportLifetime + time.Second)
	m.Tick()
	is.Equal(m.lastPlan.services["deep"].Running, 0.0)
	is.Equal(m.lastPlan.services["deep"].Slots, 10.0)
}

func TestCostsIncludeCalledServices(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	m := newMonitor(fake)
	m.HandleStatus(&linkrpc.Status{
		Node: "d", Service: "deep", Load: &linkrpc.Load{Limit: 10},
		Costs: []*linkrpc.Cost{{Route: "peek", Service: "deep", SlotUs: 40_000, Weight: 5}},
	})
	for i := range 50 {
		expires := fake.Now().Add(time.Duration(i+1) * time.Second)
		x := m.ObserveStart("browse", expires)
		m.ObserveCall("peek", expires)
		m.ObserveCall("peek", expires)
		m.ObserveEnd(x)
		m.ObserveSlotTime("browse", 100*time.Millisecond)
	}
	fake.Advance(PlanInterval)
	for range lowLoadReportIntervals - 1 {
		m.Tick()
	}
	status := m.Tick()
	found := map[string]uint32{}
	for _, c := range status.Costs {
		found[c.Service] = c.SlotUs
	}
	is.True(found["front"] > 99_000 && found["front"] < 101_000)
	is.True(found["deep"] > 79_000 && found["deep"] < 81_000)
}

// An instance whose node has sent no report counts with its slots, unless its data centre is
// excluded. Guards against requests that are admitted for capacity that no call may use.
func TestExcludedDataCentreIsNoCapacity(t *testing.T) {
	is := is.New(t)
	m := newMonitor(&clock.Fake{})
	m.Directory = snapshotOf(directory.Entry{Node: "d", Service: "deep", DataCentre: "x", Slots: 10}, directory.Entry{Node: "e", Service: "deep", DataCentre: "y", Slots: 4})
	is.Equal(m.services()["deep"].Slots, 14.0)
	m.Excluded = func(dataCentre fleet.DataCentre) bool { return dataCentre == "x" }
	is.Equal(m.services()["deep"].Slots, 4.0)
}
