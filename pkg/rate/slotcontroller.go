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
	// claimInterval is the period in which vacant slots are looked for.
	claimInterval = 500 * time.Millisecond
	// claimDelayPerRank is how long each next-ranked member holds back its claim.
	claimDelayPerRank = time.Second
	// initialClaimDelay is how long a member waits, from when it is listed, before it
	// claims a slot that nobody ever held, so that the members of a fleet that
	// starts divide the slots from the beginning.
	initialClaimDelay = time.Second
	// roundsPerRebalance is the number of rounds between two gifts of slots in use.
	roundsPerRebalance = 4
	// maxSettleWait bounds the wait for loans to be settled at a stop.
	maxSettleWait = 400 * time.Millisecond
	// inUseReleaseDivisor is the part of its excess that a holder gives away at once from
	// slots in use, so that most of what an organisation is due stays lendable
	// meanwhile. Rested slots go all at once.
	inUseReleaseDivisor = 8
)

// SlotController takes vacant rate slots for this node and gives away slots that
// another member should hold. All fields must be set.
type SlotController struct {
	Allocator *Allocator
	Log       *platformlog.Client
	Logger    *logs.Logger

	vacantSince map[int]time.Time
	// listedSince is when the node first saw itself on the list.
	listedSince time.Time
	rounds      int
}

// Run claims and balances until ctx ends.
func (c *SlotController) Run(ctx context.Context) {
	c.vacantSince = map[int]time.Time{}
	jitteredInterval := func() time.Duration { return claimInterval/2 + rand.N(claimInterval) }
	clock.Every(ctx, c.Allocator.Clock, jitteredInterval, c.round)
}

// rankOf returns how many members come before this one for a slot.
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
		c.Logger.WithError(err).Warn("slots not claimed yet")
		return
	}
	_ = c.Allocator.Follower.ReadLog(ctx, 0)
}

// claims returns claims for slots that have been vacant for as long as this
// node's rank asks for.
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

// releaseExcess releases misplaced slots if this node holds more than an even share:
// all that have rested and, if used is set, some of the others.
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
		c.Logger.WithField("slots", len(releases)).Info("rate slots given away")
	}
	return releases
}

// misplaced tells whether this node holds a slot whose first-ranked member is
// another.
func (c *SlotController) misplaced(v *config.View, slot int) bool {
	return v.State.Slots[slot].Holder == c.Allocator.Self && rankOf(v, slot, c.Allocator.Self) > 0
}

// ReleaseAll gives every slot back, at the stop of a node. It waits a moment for
// loans to be settled, since slots with nothing lent out can be lent from again at
// once.
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
		c.Logger.WithError(err).Warn("slots not given back; their successors will wait")
	}
}

// appendRecord adds a appendRecord that names slots, if it names any.
func (c *SlotController) appendRecord(records []platformlog.Record, kind platformlog.Kind, body slotRecord) []platformlog.Record {
	if body.Empty() {
		return records
	}
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), kind, body)
	if err != nil {
		c.Logger.WithError(err).Error("slot record not written")
		return records
	}
	return append(records, record)
}

// slotRecord is a claim or a release.
type slotRecord interface {
	Empty() bool
}
