package meter

// CountRetry counts a rejected or lost call by its position in the run that makes it and by
// what the retry budget decided.
func (m *Meter) CountRetry(position, decision string) {
	m.scope.Tagged(map[string]string{"position": position, "decision": decision}).Counter("retries").Inc(1)
}
