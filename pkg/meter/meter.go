// Package meter records request counts and latencies by organisation and class, and
// other metrics of a node, with tally, and exposes them in the Prometheus text format.
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

// reportInterval is the interval at which recorded values reach the exposed metrics.
const reportInterval = time.Second

// latencyBuckets holds the upper bounds of the buckets of all latency histograms.
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

// Meter holds the metrics of one node. It is safe for concurrent use.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	// responses maps responseKey to *responseMetrics.
	responses sync.Map
	// refusals maps refusalKey to tally.Counter.
	refusals sync.Map
	// gauges maps gaugeKey to tally.Gauge.
	gauges sync.Map
	// decisions maps decisionKey to *decisionMetrics.
	decisions sync.Map
	// gaugeLabelValues maps the name of a gauge to its *labelValues.
	gaugeLabelValues sync.Map
	organisations    labelValues
}

// New returns a meter whose metric names start with plantainramp. It reports in the
// background until Close.
func New() *Meter {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "plantainramp", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Handler returns the handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close reports the values recorded so far and stops further reports.
func (m *Meter) Close() error { return m.closer.Close() }

// Gauge returns the gauge of a name, without labels.
func (m *Meter) Gauge(name string) tally.Gauge { return m.scope.Gauge(name) }

// ObserveResponse counts a response and records its latency.
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

// ObserveRefusal counts a request that was refused with a problem of the given kind.
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

// CountAbandoned counts a request whose caller left before the response, at the part of
// the node that noticed it. Stage tells whether the part had sent the request on, and
// whether it did so after the caller had left.
func (m *Meter) CountAbandoned(part, stage string) {
	m.scope.Tagged(map[string]string{"part": part, "stage": stage}).Counter("requests_abandoned").Inc(1)
}

// CountStrayResponse counts a response of the instance that belongs to no call, and whether
// the next response on its connection was awaited.
func (m *Meter) CountStrayResponse(skipped bool) {
	m.scope.Tagged(map[string]string{"skipped": strconv.FormatBool(skipped)}).Counter("responses_stray").Inc(1)
}

// CountJoinedResponse counts a response of the instance that goes on with another one.
func (m *Meter) CountJoinedResponse() { m.scope.Counter("responses_joined").Inc(1) }

// CountForeignAnswer counts an answer that a gate returned for another request.
func (m *Meter) CountForeignAnswer() { m.scope.Counter("answers_foreign").Inc(1) }

// CountPanic counts a piece of work that panicked.
func (m *Meter) CountPanic() { m.scope.Counter("panics").Inc(1) }
