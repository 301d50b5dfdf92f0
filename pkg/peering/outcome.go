package peering

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// bodyField is the number of the field Outcome.body.
const bodyField = 5

// decodeOutcome decodes an outcome. The body of a large one is part of the payload: a copy
// would take as much memory again.
func decodeOutcome(payload []byte) (*linkrpc.Outcome, error) {
	var body []byte
	if len(payload) > memory.SmallBytes {
		payload, body = splitBody(payload)
	}
	outcome := &linkrpc.Outcome{}
	if err := proto.Unmarshal(payload, outcome); err != nil {
		return nil, err
	}
	if body != nil {
		outcome.Body = body
	}
	return outcome, nil
}

// splitBody returns the fields of an encoded outcome without the body, and the body. It
// returns the payload itself, and nil, if that cannot be decoded.
func splitBody(payload []byte) (others, body []byte) {
	for rest := payload; len(rest) > 0; {
		number, kind, tagBytes := protowire.ConsumeTag(rest)
		if tagBytes < 0 {
			return payload, nil
		}
		valueBytes := protowire.ConsumeFieldValue(number, kind, rest[tagBytes:])
		if valueBytes < 0 {
			return payload, nil
		}
		field := rest[:tagBytes+valueBytes]
		if number == bodyField && kind == protowire.BytesType {
			body, _ = protowire.ConsumeBytes(rest[tagBytes:])
		} else {
			others = append(others, field...)
		}
		rest = rest[len(field):]
	}
	return others, body
}
