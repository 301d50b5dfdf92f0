// Package member keeps the list of members: it announces this node in the log,
// spreads config records between peers, and watches neighbours for their end.
package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// readers is the number of members of a data centre that follow the log.
	readers = 2
	// readerWait is the long-poll wait of a reader.
	readerWait = 2 * time.Second
	// slowRead is the period in which every other member reads the log.
	slowRead = time.Minute
	// pullEvery is the period of exchanges with a random peer.
	pullEvery = time.Second
	// pushFanout is the number of peers told of news at once.
	pushFanout = 3
	// maxRecords bounds the records in one message, in bytes.
	maxRecords = 64 << 10
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// logPause is the wait after a read of the log failed.
	logPause = 500 * time.Millisecond
)

// Spread passes config records from the log to every node. All exported fields
// must be set.
type Spread struct {
	Self       fleet.MemberID
	DataCentre fleet.DataCentre
	Seeds      []string
	Follower   *config.Follower
	Pool       *peer.Pool
	Clock      clock.Clock
	Start      time.Time
	Logger     *logs.Logger
	// Off keeps records from peers from being used.
	Off bool
}

// isReader tells whether this node follows the log for its data centre.
func (s *Spread) isReader(v *config.View) bool {
	own := fleet.RendezvousScore("reader", s.Self)
	better := 0
	for _, m := range v.ByDataCentre[s.DataCentre] {
		if m.ID != s.Self && fleet.RendezvousScore("reader", m.ID) > own {
			better++
		}
	}
	return better < readers
}

// ReadLog follows the log until ctx ends: readers by long polls, others now
// and then.
func (s *Spread) ReadLog(ctx context.Context) {
	for ctx.Err() == nil {
		before := s.Follower.View().State.NextOffset
		wait := time.Duration(0)
		reader := s.isReader(s.Follower.View())
		if reader {
			wait = readerWait
		}
		err := s.Follower.ReadLog(ctx, wait)
		if err != nil {
			s.Logger.WithError(err).Debug("log not read")
		}
		if s.Follower.View().State.NextOffset > before {
			s.push(ctx, before)
		}
		_ = clock.Sleep(ctx, s.Clock, s.pause(reader, err))
	}
}

func (s *Spread) pause(reader bool, err error) time.Duration {
	switch {
	case err != nil:
		return logPause + rand.N(logPause)
	case reader:
		return 0
	default:
		return slowRead/2 + rand.N(slowRead)
	}
}

// Pull exchanges with a random peer each period until ctx ends.
func (s *Spread) Pull(ctx context.Context) {
	period := func() time.Duration { return pullEvery/2 + rand.N(pullEvery) }
	clock.Every(ctx, s.Clock, period, func(ctx context.Context) {
		if address := s.randomPeer(); address != "" {
			_ = s.Exchange(ctx, address)
		}
	})
}

// randomPeer returns a member's address, mostly near, or a seed's.
func (s *Spread) randomPeer() string {
	v := s.Follower.View()
	list := v.ByDataCentre[s.DataCentre]
	if rand.IntN(4) == 0 || len(list) < 2 {
		list = v.Members
	}
	if len(list) > 0 {
		if m := list[rand.IntN(len(list))]; m.ID != s.Self {
			return m.PeerAddress
		}
	}
	if len(list) < 2 && len(s.Seeds) > 0 {
		return s.Seeds[rand.IntN(len(s.Seeds))]
	}
	return ""
}

// Exchange compares offsets with a peer and takes over what is missing here.
func (s *Spread) Exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p := s.Pool.Get(address)
	before := s.Follower.View().State.NextOffset
	reply, err := p.Client().Exchange(ctx, &peerrpc.ExchangeRequest{Member: string(s.Self), NextOffset: int64(before)})
	if err != nil {
		p.CloseIdleConnections()
		return err
	}
	p.SetClock(s.Clock.Now(), reply.GetClock())
	s.adopt(ctx, address, platformlog.Offset(reply.GetNextOffset()), platformlog.Offset(reply.GetRecordsFrom()), reply.GetRecords())
	return nil
}

// adopt folds records that came from a peer whose state reaches next. Where
// they do not join up, it takes the peer's whole state.
func (s *Spread) adopt(ctx context.Context, address string, next, from platformlog.Offset, records []*peerrpc.ConfigRecord) {
	before := s.Follower.View().State.NextOffset
	if next <= before || s.Off {
		return
	}
	if len(records) == 0 || s.Follower.ApplyRecords(from, fromMessages(records)) == before {
		s.snapshotFrom(ctx, address)
	}
	if s.Follower.View().State.NextOffset > before {
		s.push(ctx, before)
	}
}

func (s *Spread) snapshotFrom(ctx context.Context, address string) {
	if address == "" {
		return
	}
	reply, err := s.Pool.Get(address).Client().Snapshot(ctx, &peerrpc.SnapshotRequest{})
	if err != nil {
		s.Logger.WithError(err).Debug("snapshot not had from peer")
		return
	}
	taken, err := state.Unpack(reply.GetState(), reply.GetDigest())
	if err != nil {
		s.Logger.WithError(err).Warn("snapshot of peer not usable")
		return
	}
	if s.Follower.Install(taken) {
		s.Logger.WithField("next", taken.NextOffset).Info("state taken from a peer")
	}
}

// push tells a few peers at once what has been folded since an offset.
func (s *Spread) push(ctx context.Context, since platformlog.Offset) {
	v := s.Follower.View()
	records := s.Follower.RecordsFrom(since, maxRecords)
	req := &peerrpc.ExchangeRequest{
		Member: string(s.Self), NextOffset: int64(v.State.NextOffset),
		RecordsFrom: int64(since), Records: toMessages(records),
	}
	for range pushFanout {
		address := s.randomPeer()
		if address == "" {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			_, _ = s.Pool.Get(address).Client().Exchange(ctx, req)
		}()
	}
}

// Answer handles an exchange that a peer began.
func (s *Spread) Answer(ctx context.Context, req *peerrpc.ExchangeRequest) *peerrpc.ExchangeReply {
	if len(req.GetRecords()) > 0 {
		address := ""
		if m := s.Follower.View().Member(fleet.MemberID(req.GetMember())); m != nil {
			address = m.PeerAddress
		}
		s.adopt(context.WithoutCancel(ctx), address, platformlog.Offset(req.GetNextOffset()), platformlog.Offset(req.GetRecordsFrom()), req.GetRecords())
	}
	next := s.Follower.View().State.NextOffset
	reply := &peerrpc.ExchangeReply{Member: string(s.Self), NextOffset: int64(next)}
	if asked := platformlog.Offset(req.GetNextOffset()); asked < next {
		reply.RecordsFrom = int64(asked)
		reply.Records = toMessages(s.Follower.RecordsFrom(asked, maxRecords))
	}
	reply.Clock = int64(s.Clock.Now().Sub(s.Start))
	return reply
}

func toMessages(records []platformlog.Record) []*peerrpc.ConfigRecord {
	list := make([]*peerrpc.ConfigRecord, len(records))
	for i, r := range records {
		list[i] = &peerrpc.ConfigRecord{Id: string(r.ID), Kind: string(r.Kind), Body: r.Body}
	}
	return list
}

func fromMessages(list []*peerrpc.ConfigRecord) []platformlog.Record {
	records := make([]platformlog.Record, len(list))
	for i, m := range list {
		records[i] = platformlog.Record{ID: platformlog.RecordID(m.GetId()), Kind: platformlog.Kind(m.GetKind()), Body: m.GetBody()}
	}
	return records
}
