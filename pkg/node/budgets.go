package node

// memoryBytes is the memory that a node may take.
const memoryBytes = 128 << 20

const (
	// callerResponseBytes bounds the memory for large responses that callers have not read,
	// and upstreamResponseBytes that for those that are read from the upstream.
	callerResponseBytes   = memoryBytes / 10
	upstreamResponseBytes = memoryBytes / 16
)
