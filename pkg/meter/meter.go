// Package meter counts and times requests with tally, for each organisation and
// class, and serves the figures as text.
package meter

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

const reportInterval = time.Second

// latencyBuckets are upper bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

type responseKey struct {
	organisation fleet.OrganisationID
	class        fleet.Class
	status       int
}

type refusalKey struct {
	organisation fleet.OrganisationID
	class        fleet.Class
	kind         problem.Kind
}

type responseMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

// Meter holds the metrics of one node.
type Meter struct {
	scope     tally.Scope
	closer    io.Closer
	handler   http.Handler
	responses sync.Map
	refusals  sync.Map
	gauges    sync.Map
	decisions sync.Map
	// gaugeLabelValues holds the labels of each gauge by its name.
	gaugeLabelValues sync.Map
	organisations    labelValues
}

// New returns a meter whose metrics start with plantainramp.
func New() *Meter {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "plantainramp", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Handler serves the metrics as text.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close stops the reports.
func (m *Meter) Close() error { return m.closer.Close() }

// Gauge returns a gauge.
func (m *Meter) Gauge(name string) tally.Gauge { return m.scope.Gauge(name) }

// ObserveResponse counts an answer and its latency.
func (m *Meter) ObserveResponse(organisation fleet.OrganisationID, class fleet.Class, status int, latency time.Duration) {
	key := responseKey{organisation, class, status}
	found, ok := m.responses.Load(key)
	if !ok {
		found, _ = m.responses.LoadOrStore(key, m.newResponseMetrics(key))
	}
	s := found.(*responseMetrics)
	s.count.Inc(1)
	s.latency.RecordDuration(latency)
}

func (m *Meter) newResponseMetrics(key responseKey) *responseMetrics {
	tags := map[string]string{"organisation": m.organisations.bounded(string(key.organisation), maxOrganisations), "class": key.class.String()}
	latencyScope := m.scope.Tagged(tags)
	countScope := latencyScope.Tagged(map[string]string{"status": strconv.Itoa(key.status)})
	return &responseMetrics{
		count:   countScope.Counter("requests_served"),
		latency: latencyScope.Histogram("request_seconds", latencyBuckets),
	}
}

// ObserveRefusal counts a refusal.
func (m *Meter) ObserveRefusal(organisation fleet.OrganisationID, class fleet.Class, kind problem.Kind) {
	key := refusalKey{organisation, class, kind}
	found, ok := m.refusals.Load(key)
	if !ok {
		counter := m.scope.Tagged(map[string]string{
			"organisation": m.organisations.bounded(string(organisation), maxOrganisations), "class": class.String(), "kind": string(kind),
		}).Counter("requests_refused")
		found, _ = m.refusals.LoadOrStore(key, counter)
	}
	found.(tally.Counter).Inc(1)
}
