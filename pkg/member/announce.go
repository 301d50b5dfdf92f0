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
	// announceRetryDelay is the wait before an announcement is repeated.
	announceRetryDelay = time.Second
	// maxLeaveAttempts is the number of appends tried before a member leaves
	// unannounced.
	maxLeaveAttempts = 2
)

// EndedError reports that the fleet has taken this member off the list, so
// that it must start anew under a new id.
type EndedError struct {
	Member   fleet.MemberID
	Evidence state.Evidence
}

// Error implements error.
func (e *EndedError) Error() string {
	return "member " + string(e.Member) + " was taken off the list: " + string(e.Evidence)
}

// Announcer puts this node on the list of members and takes it off.
type Announcer struct {
	Gossiper *Gossiper
	Member   state.Member
}

// Join announces the member until the list shows it or ctx ends. Repeats are
// ignored by the fold.
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
			a.Gossiper.Logger.WithError(err).Warn("member not announced yet")
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

// Ended returns *EndedError once the list has dropped the member.
func (a *Announcer) Ended() error {
	evidence, ended := a.Gossiper.Follower.View().State.Ended[a.Member.ID]
	if !ended {
		return nil
	}
	return &EndedError{Member: a.Member.ID, Evidence: evidence}
}

// Leave takes the member off the list. It gives up where the log is out; then
// neighbours will notice the end.
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
