// Package fleet defines the identifiers and units that all other packages share,
// such as those of organisations, services, instances, data centres and calls.
package fleet

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// OrganisationID identifies an organisation by the name used in tickets.
	OrganisationID string
	// ServiceName identifies a service. It is the first path segment of a call.
	ServiceName string
	// DataCentre identifies a data centre.
	DataCentre string
	// Region identifies a group of data centres.
	Region string
	// InstanceName identifies an upstream instance. It stays the same across
	// restarts.
	InstanceName string
	// MemberID identifies one incarnation of the node beside an instance. A
	// restarted node gets a new MemberID.
	MemberID string
	// RequestID identifies a request from its root call through every hop.
	RequestID string
	// CallID identifies one attempt to execute a call at one node.
	CallID string
	// KeyID is the public part of a caller's API key.
	KeyID string
	// TicketNumber is the number that an operator assigns to a change ticket.
	TicketNumber uint64
	// Class is the priority of a call. Calls of a lower class are shed first.
	Class int
	// Tokens is a number of calls that the rate limit of an organisation allows.
	// It can be fractional.
	Tokens float64
)

// Incarnation identifies one start of an instance. It is comparable.
type Incarnation struct {
	Instance InstanceName
	// StartUnixMs is the start time by the clock of the instance, as Unix time in
	// milliseconds; 0 if it is not known.
	StartUnixMs int64
}

// Classes of calls, in the order in which they are shed.
const (
	ClassLow Class = iota
	ClassNormal
	ClassHigh
	ClassCritical
	// ClassCount is the number of classes.
	ClassCount = 4
)

var classNames = [ClassCount]string{"low", "normal", "high", "critical"}

// UnknownClassError reports a class name that does not exist.
type UnknownClassError struct {
	Name string
}

// Error implements error.
func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("class %q is not one of low, normal, high, critical", e.Name)
}

// ParseClass returns the class with the given name, or *UnknownClassError.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, &UnknownClassError{Name: name}
}

// String returns the name of the class, or "unknown" if c is out of range.
func (c Class) String() string {
	if c < 0 || int(c) >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// MarshalText encodes the class as its name.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText decodes the name of a class. It returns *UnknownClassError for
// other text.
func (c *Class) UnmarshalText(text []byte) error {
	class, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = class
	return nil
}

// Rate is a number of calls per second.
type Rate float64

// TokensIn returns the number of tokens that accrue at this rate during d.
func (r Rate) TokensIn(d time.Duration) Tokens {
	return Tokens(float64(r) * d.Seconds())
}

// NewID returns 96 random bits in hexadecimal. It is used for all ids that must
// be unique, such as those of requests, calls, members and records.
func NewID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// RendezvousScore ranks a member for a key by rendezvous hashing. The member with
// the highest score owns the key.
func RendezvousScore(key string, member MemberID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(member))
	return d.Sum64()
}
