package node

import "time"

// SetCallsTimeout replaces the bound of the wait for calls in flight. Call it before the
// node stops.
func (n *Node) SetCallsTimeout(d time.Duration) { n.callsTimeout = d }
