package meter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxOrganisations and maxLabelValues bound the distinct values of a label, so that
	// many organisations or routes do not create unbounded metrics. Further values are
	// recorded under overflowValue.
	maxOrganisations = 1024
	maxLabelValues   = 256
	overflowValue    = "others"
)

type (
	// labelValues is the bounded set of values that a label has had. The zero value is
	// ready to use. It is safe for concurrent use.
	labelValues struct {
		// mu guards seen.
		mu   sync.Mutex
		seen map[string]struct{}
	}

	// gaugeKey identifies a gauge with one label.
	gaugeKey struct{ name, label, value string }

	// decisionKey identifies the metrics of one outcome of gate decisions.
	decisionKey struct{ outcome string }

	decisionMetrics struct {
		count  tally.Counter
		waited tally.Histogram
	}
)

// bounded returns the value, or overflowValue if the value is new and limit distinct
// values have been seen.
func (l *labelValues) bounded(value string, limit int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[string]struct{}{}
	}
	if _, known := l.seen[value]; known {
		return value
	}
	if len(l.seen) >= limit {
		return overflowValue
	}
	l.seen[value] = struct{}{}
	return value
}

// LabelledGauge returns a gauge with one label. Only the first maxLabelValues values of
// the label get a gauge of their own; the others share one.
func (m *Meter) LabelledGauge(name, label, value string) tally.Gauge {
	key := gaugeKey{name, label, value}
	found, ok := m.gauges.Load(key)
	if !ok {
		values, _ := m.gaugeLabelValues.LoadOrStore(name, &labelValues{})
		bounded := values.(*labelValues).bounded(value, maxLabelValues)
		gauge := m.scope.Tagged(map[string]string{label: bounded}).Gauge(name)
		if bounded == overflowValue && value != overflowValue {
			return gauge
		}
		found, _ = m.gauges.LoadOrStore(key, gauge)
	}
	return found.(tally.Gauge)
}

// ObserveDecision records the outcome of a gate's decision on a call, and the time that
// the call waited for a slot.
func (m *Meter) ObserveDecision(outcome string, waited time.Duration) {
	key := decisionKey{outcome}
	found, ok := m.decisions.Load(key)
	if !ok {
		scope := m.scope.Tagged(map[string]string{"outcome": outcome})
		found, _ = m.decisions.LoadOrStore(key, &decisionMetrics{
			count: scope.Counter("calls_decided"), waited: scope.Histogram("call_waited_seconds", latencyBuckets),
		})
	}
	d := found.(*decisionMetrics)
	d.count.Inc(1)
	d.waited.RecordDuration(waited)
}
