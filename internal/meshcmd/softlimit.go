package meshcmd

const (
	// ordinaryHeapBytes is the soft limit on the memory of the Go runtime while the node holds
	// little for callers. A larger heap costs memory all the time and saves little
	// processor time.
	ordinaryHeapBytes = 96 << 20
	// heapFraction is the largest soft limit, as a fraction of the memory that the settings
	// give the process. The rest is for the program itself and for what is allocated during a
	// collection.
	heapFraction = 0.7
	// headroom is by how much the limit rises with each byte that is held: with less, the
	// collector would run all the time.
	headroom = 2
	// limitStepBytes is the step of the limit, as each change stops the program for a moment.
	limitStepBytes = 8 << 20
)

// softLimit sets the soft limit on the memory of the Go runtime.
type softLimit struct {
	// memoryBytes is the memory of the process.
	memoryBytes int64
	// set applies a limit.
	set func(bytes int64)
	// current is the limit in force, or 0.
	current int64
}

// update sets the limit for a node that holds bytes for callers.
func (l *softLimit) update(held int64) {
	steps := (headroom*held + limitStepBytes - 1) / limitStepBytes
	limit := min(ordinaryHeapBytes+steps*limitStepBytes, int64(heapFraction*float64(l.memoryBytes)))
	if limit != l.current {
		l.current = limit
		l.set(limit)
	}
}
