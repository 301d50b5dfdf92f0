package meter

import (
	"testing"
	"time"
)

// What counting one call costs at its gate.
func BenchmarkObserveDecision(b *testing.B) {
	m := New()
	for b.Loop() {
		m.ObserveDecision("answered", 3*time.Millisecond)
	}
}

func BenchmarkObserveResponse(b *testing.B) {
	m := New()
	for b.Loop() {
		m.ObserveResponse("organisation", 1, 200, 3*time.Millisecond)
	}
}
