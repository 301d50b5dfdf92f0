// Package member maintains the member list of the fleet. It announces the local member
// in the platform log, distributes config records between peers by gossip, and detects
// failed members by heartbeats.
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
	// readersPerDataCentre is the number of members of each data centre that read the
	// log continuously, the readers.
	readersPerDataCentre = 2
	// readerPollWait is the long-poll wait of a reader.
	readerPollWait = 2 * time.Second
	// nonReaderInterval is the average time between two reads of the log by a member
	// that is not a reader.
	nonReaderInterval = time.Minute
	// pullInterval is the average time between two exchanges with a random peer.
	pullInterval = time.Second
	// pushFanout is the maximum number of peers that new records are sent to
	// immediately.
	pushFanout = 3
	// maxRecordsBytes bounds the total size of the records in one message.
	maxRecordsBytes = 64 << 10
	// exchangeTimeout bounds an exchange that this node starts, including the fetch of
	// a snapshot if one is needed.
	exchangeTimeout = time.Second
	// logRetryDelay is the minimum delay after a failed read of the log. A random
	// delay of up to the same length is added.
	logRetryDelay = 500 * time.Millisecond
)

// Gossiper distributes config records to all nodes. A few readers in each data centre
// read them from the log; the other nodes receive them from peers. All exported fields
// must be set. It is safe for concurrent use.
type Gossiper struct {
	// Self and DataCentre identify the local member.
	Self       fleet.MemberID
	DataCentre fleet.DataCentre
	// Seeds are peer addresses that are used while no other member is known.
	Seeds    []string
	Follower *config.Follower
	Pool     *peer.Pool
	Clock    clock.Clock
	// Start is the zero point of the clock readings sent to peers.
	Start  time.Time
	Logger *logs.Logger
	// Disabled turns off gossip: records received from peers are ignored.
	Disabled bool
}

// isReader reports whether the local member is a reader of its data centre. The readers
// are chosen by rendezvous hashing.
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

// FollowLog reads the log until ctx ends and pushes new records to peers. Readers use
// long polling; other members read once in nonReaderInterval on average.
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
			g.Logger.WithError(err).Debug("cannot read log; will retry")
		}
		if g.Follower.View().State.NextOffset > before {
			g.push(ctx, before)
		}
		_ = clock.Sleep(ctx, g.Clock, g.readDelay(reader, err))
	}
}

// readDelay returns the delay before the next read of the log, given the result of the
// last one.
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

// Pull makes an exchange with a random peer once in pullInterval on average, until ctx
// ends. It delivers records that were lost when peers pushed them.
func (g *Gossiper) Pull(ctx context.Context) {
	period := func() time.Duration { return pullInterval/2 + rand.N(pullInterval) }
	clock.Every(ctx, g.Clock, period, func(ctx context.Context) {
		if address := g.randomPeerAddress(); address != "" {
			_ = g.Exchange(ctx, address)
		}
	})
}

// randomPeerAddress returns the address of a random member, in three of four cases from
// the local data centre. If no other member is known, it returns the address of a seed.
// It returns "" if the local member was chosen or there is no address.
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

// Exchange sends the next offset of the local state to a peer, and applies the newer
// records that the peer responds with.
func (g *Gossiper) Exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p := g.Pool.Get(address)
	before := g.Follower.View().State.NextOffset
	sent := g.Clock.Now()
	reply, err := p.Client().Exchange(ctx, &peerrpc.ExchangeRequest{Member: string(g.Self), NextOffset: int64(before)})
	if err != nil {
		p.CloseIdleConnections()
		return err
	}
	p.SetClock(sent, g.Clock.Now(), reply.GetClock())
	g.applyFromPeer(ctx, address, platformlog.Offset(reply.GetNextOffset()), platformlog.Offset(reply.GetRecordsFrom()), reply.GetRecords())
	return nil
}

// applyFromPeer applies records, starting at offset from, of a peer whose next offset is
// peerOffset. If they don't continue the local state, it installs a snapshot of the
// peer's state. It pushes new records to other peers.
func (g *Gossiper) applyFromPeer(ctx context.Context, address string, peerOffset, from platformlog.Offset, records []*peerrpc.ConfigRecord) {
	before := g.Follower.View().State.NextOffset
	if peerOffset <= before || g.Disabled {
		return
	}
	if len(records) == 0 || g.Follower.ApplyRecords(from, fromMessages(records)) == before {
		g.installSnapshotFrom(ctx, address)
	}
	if g.Follower.View().State.NextOffset > before {
		g.push(ctx, before)
	}
}

// installSnapshotFrom replaces the state by that of a peer if the latter is newer. It does
// nothing if address is "".
func (g *Gossiper) installSnapshotFrom(ctx context.Context, address string) {
	if address == "" {
		return
	}
	reply, err := g.Pool.Get(address).Client().Snapshot(ctx, &peerrpc.SnapshotRequest{})
	if err != nil {
		g.Logger.WithError(err).Debug("cannot fetch snapshot from peer")
		return
	}
	snapshot, err := state.Unpack(reply.GetState(), reply.GetDigest())
	if err != nil {
		g.Logger.WithError(err).Warn("cannot use snapshot from peer")
		return
	}
	if g.Follower.Install(snapshot) {
		g.Logger.WithField("next", snapshot.NextOffset).Info("snapshot from peer installed")
	}
}

// push sends the records from offset from on to random peers, without waiting for the
// responses.
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
			_, _ = g.Pool.Get(address).Client().Exchange(ctx, req)
		}()
	}
}

// HandleExchange handles an Exchange request: it applies the records in the request and
// returns records that the peer is missing.
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
