// Package action runs a non-idempotent call, an action, at most once for each
// organisation, service and idempotency key. The node that received the call, its
// writer, records an intent in the platform log before it runs the action. The intent
// with the lowest offset for a key is the first one, and every node accepts only that
// one. Each partition of the keys has a recorder: a member that batches the intents of
// many writers into few appends. A recorder derives its state from the log alone, so
// any member can take over.
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

// Kinds of records in intent streams. The bodies are a list of Intent, one Renewal
// and a list of Outcome.
const (
	RecordIntents platformlog.Kind = "intents"
	RecordRenewal platformlog.Kind = "renewal"
	RecordOutcome platformlog.Kind = "outcomes"
)

// Partitions is the number of partitions of the keys. Each has its own intent stream.
const Partitions = 16

type (
	// IntentID identifies an intent.
	IntentID string
	// KeyDigest is a digest of an organisation, a service and an idempotency key, in
	// hexadecimal.
	KeyDigest string
	// BodyDigest is a digest of a request's method, path and body, in hexadecimal. It
	// detects a key that is reused for another request.
	BodyDigest string
)

// Intent announces that its writer is about to run an action.
type Intent struct {
	ID     IntentID       `json:"id"`
	Key    KeyDigest      `json:"key"`
	Body   BodyDigest     `json:"body"`
	Writer fleet.MemberID `json:"writer"`
}

// Renewal replaces an intent that its writer has abandoned. It is ignored unless that
// intent is the first one for its key.
type Renewal struct {
	Abandoned IntentID `json:"abandoned"`
	Intent    Intent   `json:"intent"`
}

// Outcome is the recorded reply of an action that has run. It answers repeated
// requests when the writer is no longer available.
type Outcome struct {
	Intent IntentID  `json:"intent"`
	Key    KeyDigest `json:"key"`
	// Reply is an encoded RunReply message.
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

// decodeReply decodes a recorded RunReply. It returns nil if encoded is empty or
// invalid.
func decodeReply(encoded []byte) *peerrpc.RunReply {
	reply := new(peerrpc.RunReply)
	if len(encoded) == 0 || proto.Unmarshal(encoded, reply) != nil {
		return nil
	}
	return reply
}

// Functions that send a request to the member given by its id.
type (
	intendFunc func(ctx context.Context, recorder fleet.MemberID, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error)
	recallFunc func(ctx context.Context, writer fleet.MemberID, req *peerrpc.RecallRequest) (*peerrpc.RecallReply, error)
)
