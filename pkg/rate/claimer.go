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
	// claimEvery is the period in which vacant slots are looked for.
	claimEvery = 500 * time.Millisecond
	// claimRank is how long each next-ranked member holds back its claim.
	claimRank = time.Second
	// gatherTime is how long a member waits, from when it is listed, before it
	// claims a slot that nobody ever held, so that the members of a fleet that
	// starts divide the slots from the beginning.
	gatherTime = time.Second
	// balanceRounds is the number of rounds between two gifts of slots in use.
	balanceRounds = 4
	// settleWait bounds the wait for loans to be settled at a stop.
	settleWait = 400 * time.Millisecond
	// giftPart is the part of its excess that a holder gives away at once from
	// slots in use, so that most of what an organisation is due stays lendable
	// meanwhile. Rested slots go all at once.
	giftPart = 8
)

// Claimer takes vacant rate slots for this node and gives away slots that
// another member should hold. All fields must be set.
type Claimer struct {
	Lender *Lender
	Log    *platformlog.Client
	Logger *logs.Logger

	vacant map[int]time.Time
	// listed is when the node first saw itself on the list.
	listed time.Time
	rounds int
}

// Run claims and balances until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	c.vacant = map[int]time.Time{}
	period := func() time.Duration { return claimEvery/2 + rand.N(claimEvery) }
	clock.Every(ctx, c.Lender.Clock, period, c.round)
}

// rankOf returns how many members come before this one for a slot.
func rankOf(v *config.View, slot int, self fleet.MemberID) int {
	owner := "slot." + strconv.Itoa(slot)
	own := fleet.RendezvousScore(owner, self)
	rank := 0
	for _, m := range v.Members {
		if m.ID != self && fleet.RendezvousScore(owner, m.ID) > own {
			rank++
		}
	}
	return rank
}

func (c *Claimer) round(ctx context.Context) {
	v := c.Lender.Follower.View()
	if v.Member(c.Lender.Self) == nil {
		return
	}
	if c.listed.IsZero() {
		c.listed = c.Lender.Clock.Now()
	}
	records := c.record(nil, state.RecordSlotClaim, state.SlotClaim{Member: c.Lender.Self, Slots: c.claims(v)})
	c.rounds++
	gifts := c.giveAway(v, c.rounds%balanceRounds == 0)
	records = c.record(records, state.RecordSlotRelease, state.SlotRelease{Member: c.Lender.Self, Slots: gifts})
	if len(records) == 0 {
		return
	}
	if _, err := c.Log.Append(ctx, platformlog.StreamConfig, records...); err != nil {
		c.Logger.WithError(err).Warn("slots not claimed yet")
		return
	}
	_ = c.Lender.Follower.ReadLog(ctx, 0)
}

// claims returns claims for slots that have been vacant for as long as this
// node's rank asks for.
func (c *Claimer) claims(v *config.View) []state.ClaimedSlot {
	var claims []state.ClaimedSlot
	now := c.Lender.Clock.Now()
	for i, slot := range v.State.Slots {
		if slot.Holder != "" {
			delete(c.vacant, i)
			continue
		}
		since, seen := c.vacant[i]
		if !seen {
			since = now
			c.vacant[i] = now
		}
		if slot.Epoch == 0 && now.Sub(c.listed) < gatherTime {
			continue
		}
		if now.Sub(since) < time.Duration(rankOf(v, i, c.Lender.Self))*claimRank {
			continue
		}
		claims = append(claims, state.ClaimedSlot{Slot: i, PreviousEpoch: slot.Epoch})
	}
	return claims
}

// giveAway releases misplaced slots if this node holds more than an even share:
// all that have rested and, if used is set, some of the others.
func (c *Claimer) giveAway(v *config.View, used bool) []state.ReleasedSlot {
	even := (state.SlotCount + len(v.Members) - 1) / len(v.Members)
	excess := c.Lender.Held() - even
	if excess <= 0 {
		return nil
	}
	inUse := 0
	if used {
		inUse = (excess + giftPart - 1) / giftPart
	}
	var releases []state.ReleasedSlot
	for i := 0; i < len(v.State.Slots) && len(releases) < excess; i++ {
		if !c.misplaced(v, i) {
			continue
		}
		rested := c.Lender.Rested(i)
		if !rested && inUse == 0 {
			continue
		}
		release, dropped := c.Lender.Drop(i)
		if !dropped {
			continue
		}
		releases = append(releases, release)
		if !rested {
			inUse--
		}
	}
	if len(releases) > 0 {
		c.Logger.WithField("slots", len(releases)).Info("rate slots given away")
	}
	return releases
}

// misplaced tells whether this node holds a slot whose first-ranked member is
// another.
func (c *Claimer) misplaced(v *config.View, slot int) bool {
	return v.State.Slots[slot].Holder == c.Lender.Self && rankOf(v, slot, c.Lender.Self) > 0
}

// ReleaseAll gives every slot back, at the stop of a node. It waits a moment for
// loans to be settled, since slots with nothing lent out can be lent from again at
// once.
func (c *Claimer) ReleaseAll(ctx context.Context) {
	c.Lender.Close()
	for end := c.Lender.Clock.Now().Add(settleWait); !c.Lender.Settled() && c.Lender.Clock.Now().Before(end); {
		_ = clock.Sleep(ctx, c.Lender.Clock, settleEvery)
	}
	records := c.record(nil, state.RecordSlotRelease, state.SlotRelease{Member: c.Lender.Self, Slots: c.Lender.Releases()})
	if len(records) == 0 {
		return
	}
	if _, err := c.Log.Append(ctx, platformlog.StreamConfig, records...); err != nil {
		c.Logger.WithError(err).Warn("slots not given back; their successors will wait")
	}
}

// record adds a record that names slots, if it names any.
func (c *Claimer) record(records []platformlog.Record, kind platformlog.Kind, body slotRecord) []platformlog.Record {
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
