package meter

import "github.com/plantainramp/plantainramp/pkg/memory"

// UpdateBudget sets the gauges of a budget for messages of a kind. The refused reservations count
// since the start of the node.
func (m *Meter) UpdateBudget(kind string, b *memory.Budget) {
	m.LabelledGauge("budget_bytes", "kind", kind).Update(float64(b.Used()))
	m.LabelledGauge("budget_limit_bytes", "kind", kind).Update(float64(b.Limit))
	m.LabelledGauge("budget_refused", "kind", kind).Update(float64(b.Refused()))
}
