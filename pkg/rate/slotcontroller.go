package rate

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/state"
)

const (
	// claimInterval is the average time between two rounds, which claim vacant slots.
	claimInterval = 500 * time.Millisecond
	// claimDelayPerRank is the delay of a claim for each member that ranks higher for
	// the slot.
	claimDelayPerRank = time.Second
	// initialClaimDelay is how long a member waits after it is listed before it claims
	// a slot that never had a holder. It lets the members of a starting fleet divide
	// the slots among them from the beginning.
	initialClaimDelay = time.Second
	// roundsPerRebalance is the number of rounds between two releases of slots in use.
	roundsPerRebalance = 4
	// maxSettleWait bounds how long a node that stops waits for grants to be settled.
	maxSettleWait = 400 * time.Millisecond
	// inUseReleaseDivisor divides the excess of a holder to give the number of slots in
	// use that it releases at once, so that most of an organisation's rate and burst
	// stays available during the handover. Idle slots are released all at once.
	inUseReleaseDivisor = 8
)

// SlotController claims vacant rate slots for this node and releases slots that another
// member should hold. All exported fields must be set.
type SlotController struct {
	Allocator *Allocator
	Log       *platformlog.Client
	Logger    *logs.Logger

	// vacantSince holds when this node first saw each vacant slot without a holder.
	vacantSince map[int]time.Time
	// listedSince is when this node first saw itself on the list of members. It is zero
	// before.
	listedSince time.Time
	// rounds counts the rounds in which this node was listed.
	rounds int
}

// Run claims and releases slots until ctx ends.
func (c *SlotController) Run(ctx context.Context) {
	c.vacantSince = map[int]time.Time{}
	jitteredInterval := func() time.Duration { return claimInterval/2 + rand.N(claimInterval) }
	clock.Every(ctx, c.Allocator.Clock, jitteredInterval, c.round)
}

// rankOf returns the number of other members that rank higher than self for a slot, by
// rendezvous hashing.
func rankOf(v *config.View, slot int, self fleet.MemberID) int {
	key := "slot." + strconv.Itoa(slot)
	ownScore := fleet.RendezvousScore(key, self)
	rank := 0
	for _, m := range v.Members {
		if m.ID != self && fleet.RendezvousScore(key, m.ID) > ownScore {
			rank++
		}
	}
	return rank
}

// round records the claims and releases that are due in one append to the log.
func (c *SlotController) round(ctx context.Context) {
	v := c.Allocator.Follower.View()
	if v.Member(c.Allocator.Self) == nil {
		return
	}
	if c.listedSince.IsZero() {
		c.listedSince = c.Allocator.Clock.Now()
	}
	records := c.appendRecord(nil, state.RecordSlotClaim, state.SlotClaim{Member: c.Allocator.Self, Slots: c.claims(v)})
	c.rounds++
	releases := c.releaseExcess(v, c.rounds%roundsPerRebalance == 0)
	records = c.appendRecord(records, state.RecordSlotRelease, state.SlotRelease{Member: c.Allocator.Self, Slots: releases})
	if len(records) == 0 {
		return
	}
	if _, err := c.Log.Append(ctx, platformlog.StreamConfig, records...); err != nil {
		c.Logger.WithError(err).Warn("cannot record claims and releases of rate slots")
		return
	}
	_ = c.Allocator.Follower.ReadLog(ctx, 0)
}

// claims returns claims for the slots that have been vacant for longer than the claim
// delay of this node.
func (c *SlotController) claims(v *config.View) []state.ClaimedSlot {
	var claims []state.ClaimedSlot
	now := c.Allocator.Clock.Now()
	for i, slot := range v.State.Slots {
		if slot.Holder != "" {
			delete(c.vacantSince, i)
			continue
		}
		since, seen := c.vacantSince[i]
		if !seen {
			since = now
			c.vacantSince[i] = now
		}
		if slot.Epoch == 0 && now.Sub(c.listedSince) < initialClaimDelay {
			continue
		}
		if now.Sub(since) < time.Duration(rankOf(v, i, c.Allocator.Self))*claimDelayPerRank {
			continue
		}
		claims = append(claims, state.ClaimedSlot{Slot: i, PreviousEpoch: slot.Epoch})
	}
	return claims
}

// releaseExcess releases misplaced slots, if this node holds more than an even share of
// all slots: those that are idle and, if includeInUse is set, some of those in use.
func (c *SlotController) releaseExcess(v *config.View, includeInUse bool) []state.ReleasedSlot {
	evenShare := (state.SlotCount + len(v.Members) - 1) / len(v.Members)
	excess := c.Allocator.HeldSlots() - evenShare
	if excess <= 0 {
		return nil
	}
	maxInUse := 0
	if includeInUse {
		maxInUse = (excess + inUseReleaseDivisor - 1) / inUseReleaseDivisor
	}
	var releases []state.ReleasedSlot
	for i := 0; i < len(v.State.Slots) && len(releases) < excess; i++ {
		if !c.misplaced(v, i) {
			continue
		}
		idle := c.Allocator.Idle(i)
		if !idle && maxInUse == 0 {
			continue
		}
		release, released := c.Allocator.Release(i)
		if !released {
			continue
		}
		releases = append(releases, release)
		if !idle {
			maxInUse--
		}
	}
	if len(releases) > 0 {
		c.Logger.WithField("slots", len(releases)).Info("releasing rate slots that other members should hold")
	}
	return releases
}

// misplaced reports whether this node holds a slot for which another member ranks
// highest.
func (c *SlotController) misplaced(v *config.View, slot int) bool {
	return v.State.Slots[slot].Holder == c.Allocator.Self && rankOf(v, slot, c.Allocator.Self) > 0
}

// ReleaseAll releases all slots of a node that stops. It waits up to maxSettleWait for
// grants to be settled, since the next holder of a slot without outstanding tokens can
// grant tokens at once.
func (c *SlotController) ReleaseAll(ctx context.Context) {
	c.Allocator.Close()
	for end := c.Allocator.Clock.Now().Add(maxSettleWait); !c.Allocator.Settled() && c.Allocator.Clock.Now().Before(end); {
		_ = clock.Sleep(ctx, c.Allocator.Clock, settleInterval)
	}
	records := c.appendRecord(nil, state.RecordSlotRelease, state.SlotRelease{Member: c.Allocator.Self, Slots: c.Allocator.ReleaseAll()})
	if len(records) == 0 {
		return
	}
	if _, err := c.Log.Append(ctx, platformlog.StreamConfig, records...); err != nil {
		c.Logger.WithError(err).Warn("cannot record the release of rate slots; their next holders wait until all grants expire")
	}
}

// appendRecord appends a claim or release to records, unless it contains no slots.
func (c *SlotController) appendRecord(records []platformlog.Record, kind platformlog.Kind, body slotRecord) []platformlog.Record {
	if body.Empty() {
		return records
	}
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), kind, body)
	if err != nil {
		c.Logger.WithError(err).Error("cannot encode a claim or release of rate slots")
		return records
	}
	return append(records, record)
}

// slotRecord is a claim or a release.
type slotRecord interface {
	Empty() bool
}
