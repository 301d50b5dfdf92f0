package mesh

// wakeSignal wakes a loop. Signals that the loop has not taken yet count as one.
type wakeSignal chan struct{}

func newWakeSignal() wakeSignal { return make(wakeSignal, 1) }

// send wakes the loop. It does not wait.
func (s wakeSignal) send() {
	select {
	case s <- struct{}{}:
	default:
	}
}
