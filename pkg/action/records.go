// Package action runs non-idempotent calls at most once for each organisation
// and idempotency key. The writer of an action records its intent in the log
// before it runs anything; the first intent for a key in offset order wins, for
// every node and for good. Recorders, one for each partition of the keys, batch
// the intents of many writers; they only read out the order and hold nothing
// that the log does not.
package action

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// Kinds of records in intent streams.
const (
	RecordIntents platformlog.Kind = "intents"
	RecordRenewal platformlog.Kind = "renewal"
	RecordOutcome platformlog.Kind = "outcomes"
)

// Partitions is the number of intent streams.
const Partitions = 16

type (
	// IntentID names one intent.
	IntentID string
	// KeyDigest stands for an organisation and its idempotency key.
	KeyDigest string
	// BodyDigest stands for the request that the key came with.
	BodyDigest string
)

// Intent says that its writer is about to run an action.
type Intent struct {
	ID     IntentID       `json:"id"`
	Key    KeyDigest      `json:"key"`
	Body   BodyDigest     `json:"body"`
	Writer fleet.MemberID `json:"writer"`
}

// Renewal replaces an intent that its writer has abandoned. It counts only
// while that intent is still first for its key.
type Renewal struct {
	Abandoned IntentID `json:"abandoned"`
	Intent    Intent   `json:"intent"`
}

// Outcome is the answer of an action that has run, for repeats that come after
// its writer has gone.
type Outcome struct {
	Intent IntentID  `json:"intent"`
	Key    KeyDigest `json:"key"`
	// Reply is a RunReply message.
	Reply []byte `json:"answer"`
}

func keyDigest(c *call.Call) KeyDigest {
	sum := sha256.Sum256([]byte(string(c.Organisation) + "\x00" + string(c.Service) + "\x00" + c.IdempotencyKey))
	return KeyDigest(hex.EncodeToString(sum[:16]))
}

func bodyDigest(c *call.Call) BodyDigest {
	sum := sha256.New()
	_, _ = sum.Write([]byte(c.Method + " " + c.Path + "\x00"))
	_, _ = sum.Write(c.Body)
	return BodyDigest(hex.EncodeToString(sum.Sum(nil)[:8]))
}

// PartitionOf returns the partition of a key.
func PartitionOf(key KeyDigest) int {
	return int(xxhash.Sum64String(string(key)) % Partitions)
}

func (i *Intent) toMessage() *peerrpc.Intent {
	return &peerrpc.Intent{Id: string(i.ID), KeyDigest: string(i.Key), BodyDigest: string(i.Body), Writer: string(i.Writer)}
}

func intentFromMessage(m *peerrpc.Intent) Intent {
	return Intent{
		ID: IntentID(m.GetId()), Key: KeyDigest(m.GetKeyDigest()),
		Body: BodyDigest(m.GetBodyDigest()), Writer: fleet.MemberID(m.GetWriter()),
	}
}

func outcomeFromMessage(m *peerrpc.Outcome) *Outcome {
	encoded, err := proto.Marshal(m.GetAnswer())
	if err != nil {
		encoded = nil
	}
	return &Outcome{Intent: IntentID(m.GetIntentId()), Key: KeyDigest(m.GetKeyDigest()), Reply: encoded}
}

// decodeReply returns a recorded answer, or nil where there is none.
func decodeReply(encoded []byte) *peerrpc.RunReply {
	reply := new(peerrpc.RunReply)
	if len(encoded) == 0 || proto.Unmarshal(encoded, reply) != nil {
		return nil
	}
	return reply
}

// Senders of messages to members.
type (
	intendFunc func(ctx context.Context, recorder fleet.MemberID, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error)
	recallFunc func(ctx context.Context, writer fleet.MemberID, req *peerrpc.RecallRequest) (*peerrpc.RecallReply, error)
)
