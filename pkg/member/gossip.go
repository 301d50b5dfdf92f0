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
	// readersPerDataCentre is the number of members of a data centre that follow the log.
	readersPerDataCentre = 2
	// readerPollWait is the long-poll wait of a reader.
	readerPollWait = 2 * time.Second
	// nonReaderInterval is the period in which every other member reads the log.
	nonReaderInterval = time.Minute
	// pullInterval is the period of exchanges with a random peer.
	pullInterval = time.Second
	// pushFanout is the number of peers told of news at once.
	pushFanout = 3
	// maxRecordsBytes bounds the records in one message, in bytes.
	maxRecordsBytes = 64 << 10
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// logRetryDelay is the wait after a read of the log failed.
	logRetryDelay = 500 * time.Millisecond
)

// Gossiper passes config records from the log to every node. All exported fields
// must be set.
type Gossiper struct {
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
func (g *Gossiper) isReader(v *config.View) bool {
	ownScore := fleet.RendezvousScore("reader", g.Self)
	higher := 0
	for _, m := range v.ByDataCentre[g.DataCentre] {
		if m.ID != g.Self && fleet.RendezvousScore("reader", m.ID) > ownScore {
			higher++
		}
	}
	return higher < readersPerDataCentre
}

// FollowLog follows the log until ctx ends: readers by long polls, others now
// and then.
func (g *Gossiper) FollowLog(ctx context.Context) {
	for ctx.Err() == nil {
		before := g.Follower.View().State.NextOffset
		wait := time.Duration(0)
		reader := g.isReader(g.Follower.View())
		if reader {
			wait = readerPollWait
		}
		err := g.Follower.ReadLog(ctx, wait)
		if err != nil {
			g.Logger.WithError(err).Debug("log not read")
		}
		if g.Follower.View().State.NextOffset > before {
			g.push(ctx, before)
		}
		_ = clock.Sleep(ctx, g.Clock, g.readDelay(reader, err))
	}
}

func (g *Gossiper) readDelay(reader bool, err error) time.Duration {
	switch {
	case err != nil:
		return logRetryDelay + rand.N(logRetryDelay)
	case reader:
		return 0
	default:
		return nonReaderInterval/2 + rand.N(nonReaderInterval)
	}
}

// Pull exchanges with a random peer each period until ctx ends.
func (g *Gossiper) Pull(ctx context.Context) {
	period := func() time.Duration { return pullInterval/2 + rand.N(pullInterval) }
	clock.Every(ctx, g.Clock, period, func(ctx context.Context) {
		if address := g.randomPeerAddress(); address != "" {
			_ = g.Exchange(ctx, address)
		}
	})
}

// randomPeerAddress returns a member's address, mostly near, or a seed's.
func (g *Gossiper) randomPeerAddress() string {
	v := g.Follower.View()
	members := v.ByDataCentre[g.DataCentre]
	if rand.IntN(4) == 0 || len(members) < 2 {
		members = v.Members
	}
	if len(members) > 0 {
		if m := members[rand.IntN(len(members))]; m.ID != g.Self {
			return m.PeerAddress
		}
	}
	if len(members) < 2 && len(g.Seeds) > 0 {
		return g.Seeds[rand.IntN(len(g.Seeds))]
	}
	return ""
}

// Exchange compares offsets with a peer and takes over what is missing here.
func (g *Gossiper) Exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p := g.Pool.At(address)
	before := g.Follower.View().State.NextOffset
	reply, err := p.Client().Exchange(ctx, &peerrpc.ExchangeRequest{Member: string(g.Self), NextOffset: int64(before)})
	if err != nil {
		p.DropConnections()
		return err
	}
	p.Learn(g.Clock.Now(), reply.GetClock())
	g.applyFromPeer(ctx, address, platformlog.Offset(reply.GetNextOffset()), platformlog.Offset(reply.GetRecordsFrom()), reply.GetRecords())
	return nil
}

// applyFromPeer folds records that came from a peer whose state reaches next. Where
// they do not join up, it takes the peer's whole state.
func (g *Gossiper) applyFromPeer(ctx context.Context, address string, peerOffset, from platformlog.Offset, records []*peerrpc.ConfigRecord) {
	before := g.Follower.View().State.NextOffset
	if peerOffset <= before || g.Off {
		return
	}
	if len(records) == 0 || g.Follower.ApplyRecords(from, fromMessages(records)) == before {
		g.installSnapshotFrom(ctx, address)
	}
	if g.Follower.View().State.NextOffset > before {
		g.push(ctx, before)
	}
}

func (g *Gossiper) installSnapshotFrom(ctx context.Context, address string) {
	if address == "" {
		return
	}
	reply, err := g.Pool.At(address).Client().Snapshot(ctx, &peerrpc.SnapshotRequest{})
	if err != nil {
		g.Logger.WithError(err).Debug("snapshot not had from peer")
		return
	}
	snapshot, err := state.Unpack(reply.GetState(), reply.GetDigest())
	if err != nil {
		g.Logger.WithError(err).Warn("snapshot of peer not usable")
		return
	}
	if g.Follower.Install(snapshot) {
		g.Logger.WithField("next", snapshot.NextOffset).Info("state taken from a peer")
	}
}

// push tells a few peers at once what has been folded since an offset.
func (g *Gossiper) push(ctx context.Context, from platformlog.Offset) {
	v := g.Follower.View()
	records := g.Follower.RecordsFrom(from, maxRecordsBytes)
	req := &peerrpc.ExchangeRequest{
		Member: string(g.Self), NextOffset: int64(v.State.NextOffset),
		RecordsFrom: int64(from), Records: toMessages(records),
	}
	for range pushFanout {
		address := g.randomPeerAddress()
		if address == "" {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			_, _ = g.Pool.At(address).Client().Exchange(ctx, req)
		}()
	}
}

// HandleExchange handles an exchange that a peer began.
func (g *Gossiper) HandleExchange(ctx context.Context, req *peerrpc.ExchangeRequest) *peerrpc.ExchangeReply {
	if len(req.GetRecords()) > 0 {
		address := ""
		if m := g.Follower.View().Member(fleet.MemberID(req.GetMember())); m != nil {
			address = m.PeerAddress
		}
		g.applyFromPeer(context.WithoutCancel(ctx), address, platformlog.Offset(req.GetNextOffset()), platformlog.Offset(req.GetRecordsFrom()), req.GetRecords())
	}
	next := g.Follower.View().State.NextOffset
	reply := &peerrpc.ExchangeReply{Member: string(g.Self), NextOffset: int64(next)}
	if wanted := platformlog.Offset(req.GetNextOffset()); wanted < next {
		reply.RecordsFrom = int64(wanted)
		reply.Records = toMessages(g.Follower.RecordsFrom(wanted, maxRecordsBytes))
	}
	reply.Clock = int64(g.Clock.Now().Sub(g.Start))
	return reply
}

func toMessages(records []platformlog.Record) []*peerrpc.ConfigRecord {
	messages := make([]*peerrpc.ConfigRecord, len(records))
	for i, r := range records {
		messages[i] = &peerrpc.ConfigRecord{Id: string(r.ID), Kind: string(r.Kind), Body: r.Body}
	}
	return messages
}

func fromMessages(messages []*peerrpc.ConfigRecord) []platformlog.Record {
	records := make([]platformlog.Record, len(messages))
	for i, m := range messages {
		records[i] = platformlog.Record{ID: platformlog.RecordID(m.GetId()), Kind: platformlog.Kind(m.GetKind()), Body: m.GetBody()}
	}
	return records
}
