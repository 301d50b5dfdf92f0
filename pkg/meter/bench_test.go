package meter

import (
	"testing"
	"time"
)

// BenchmarkObserveDecision measures the cost of recording one call at its gate.
func BenchmarkObserveDecision(b *testing.B) {
	m := New()
	for b.Loop() {
		m.ObserveDecision("answered", 3*time.Millisecond)
	}
}

// BenchmarkObserveResponse measures the cost of recording one response.
func BenchmarkObserveResponse(b *testing.B) {
	m := New()
	for b.Loop() {
		m.ObserveResponse("organisation", 1, 200, 3*time.Millisecond)
	}
}
