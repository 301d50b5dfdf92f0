package member

import (
	"context"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/state"
)

const (
	// announceRetryDelay is the delay before another attempt to join.
	announceRetryDelay = time.Second
	// maxLeaveAttempts is the number of attempts to record that a member leaves,
	// before it stops without a record.
	maxLeaveAttempts = 2
)

// EndedError reports that the local member was removed from the member list. To join
// again, the node must restart with a new member id.
type EndedError struct {
	Member fleet.MemberID
	// Evidence is the recorded reason for the removal.
	Evidence state.Evidence
}

// Error implements error.
func (e *EndedError) Error() string {
	return "member " + string(e.Member) + " was removed from the member list: " + string(e.Evidence)
}

// Announcer adds the local member to the member list and removes it. Both fields must
// be set.
type Announcer struct {
	// Gossiper provides the log, the clock and the logger.
	Gossiper *Gossiper
	// Member is the local member.
	Member state.Member
}

// Join records that the member joins, and retries until the member list contains it or
// ctx ends. Repeated records have no effect on the state.
func (a *Announcer) Join(ctx context.Context) error {
	record, err := platformlog.NewRecord(platformlog.RecordID("join-"+a.Member.ID), state.RecordMemberJoin, a.Member)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if a.listed() {
			a.Gossiper.Logger.Info("member announced")
			return nil
		}
		if _, err := a.Gossiper.Follower.Log.Append(ctx, platformlog.StreamConfig, record); err != nil {
			a.Gossiper.Logger.WithError(err).Warn("cannot announce member; will retry")
		} else if a.Gossiper.Follower.ReadLog(ctx, 0) == nil && a.listed() {
			continue
		}
		_ = clock.Sleep(ctx, a.Gossiper.Clock, announceRetryDelay)
	}
	return ctx.Err()
}

func (a *Announcer) listed() bool {
	return a.Gossiper.Follower.View().Member(a.Member.ID) != nil
}

// Ended returns *EndedError if the member was removed from the member list, or nil.
func (a *Announcer) Ended() error {
	evidence, ended := a.Gossiper.Follower.View().State.Ended[a.Member.ID]
	if !ended {
		return nil
	}
	return &EndedError{Member: a.Member.ID, Evidence: evidence}
}

// Leave records that the member leaves. It returns an error if the log is not available;
// the neighbours of the member then detect its end.
func (a *Announcer) Leave(ctx context.Context) error {
	record, err := platformlog.NewRecord(platformlog.RecordID("leave-"+a.Member.ID), state.RecordMemberEnd,
		state.MemberEnd{Member: a.Member.ID, Evidence: state.EvidenceLeft, ReportedBy: a.Member.ID})
	if err != nil {
		return err
	}
	for range maxLeaveAttempts {
		if _, err = a.Gossiper.Follower.Log.Append(ctx, platformlog.StreamConfig, record); err == nil {
			return nil
		}
	}
	return err
}
