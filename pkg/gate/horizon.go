package gate

import "math"

// maxHorizons bounds the entrances whose horizons are kept.
const maxHorizons = 8192

// horizons tells what a gate that has forgotten attempts can still say of them. It keeps two
// numbers for each entrance, so that "the attempt is not known" is never taken for "it has
// not run". The zero value has forgotten nothing.
type horizons struct {
	byEntrance map[uint64]horizon
	// dropped reports that the horizons of some entrances were dropped: an entrance without
	// one may have had any.
	dropped bool
}

// horizon is how far the attempts of an entrance have been forgotten.
type horizon struct {
	// attempt is the highest number of an attempt that arrived and was forgotten.
	attempt uint64
	// fence is the highest number of an attempt that was fenced and whose fence was removed.
	fence uint64
}

// noteAttempt notes that an attempt that arrived is forgotten.
func (h *horizons) noteAttempt(key attemptKey) {
	updated := h.get(key)
	updated.attempt = max(updated.attempt, numberOf(key))
	h.set(key, updated)
}

// noteFence notes that a fence is removed. The attempts of an entrance that is not named
// have no order, so that the fence of one says nothing of the others.
func (h *horizons) noteFence(key attemptKey) {
	if key.entrance == 0 {
		return
	}
	updated := h.get(key)
	updated.fence = max(updated.fence, numberOf(key))
	h.set(key, updated)
}

// mayHaveRun reports whether an attempt that is not known may have arrived earlier.
func (h *horizons) mayHaveRun(key attemptKey) bool {
	return key.number() <= h.get(key).attempt
}

// mayHaveFenced reports whether an attempt that is not known may have been fenced. Of a
// dropped horizon it is taken that it was not: fences outlast all messages in transit but
// those of a node that stood still.
func (h *horizons) mayHaveFenced(key attemptKey) bool {
	return key.number() <= h.get(key).fence
}

// get returns the horizon of the entrance of an attempt.
func (h *horizons) get(key attemptKey) horizon {
	known, found := h.byEntrance[key.entrance]
	if !found && h.dropped {
		return horizon{attempt: math.MaxUint64}
	}
	return known
}

func (h *horizons) set(key attemptKey, updated horizon) {
	if _, found := h.byEntrance[key.entrance]; !found && len(h.byEntrance) >= maxHorizons {
		h.byEntrance, h.dropped = nil, true
	}
	if h.byEntrance == nil {
		h.byEntrance = map[uint64]horizon{}
	}
	h.byEntrance[key.entrance] = updated
}

// numberOf returns the number of an attempt. Those of an entrance that is not named have no
// order: one that is forgotten stands for all.
func numberOf(key attemptKey) uint64 {
	if key.entrance == 0 {
		return math.MaxUint64
	}
	return key.number()
}
