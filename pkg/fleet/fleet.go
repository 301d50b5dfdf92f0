// Package fleet names the identifiers and units that every other package
// shares: organisations, services, instances, data centres and calls.
package fleet

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// OrganisationID names an organisation as tickets do.
	OrganisationID string
	// ServiceName names a service; it is the first path segment of a call.
	ServiceName string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a group of data centres.
	Region string
	// InstanceName names an upstream instance; it outlives restarts.
	InstanceName string
	// MemberID names one incarnation of the node beside an instance. A
	// restarted node has a new MemberID.
	MemberID string
	// RequestID names a whole request, from its root through every hop.
	RequestID string
	// CallID names one attempt to run one call at one node.
	CallID string
	// KeyID is the public part of a caller's key.
	KeyID string
	// TicketNumber is the number an operator gives to a change ticket.
	TicketNumber uint64
	// Class orders calls by importance; a lower class is shed earlier.
	Class int
	// Tokens counts calls that an organisation's rate allows.
	Tokens float64
)

// Classes of calls, from the first to be shed to the last.
const (
	ClassLow Class = iota
	ClassNormal
	ClassHigh
	ClassCritical
	// ClassCount is the number of classes.
	ClassCount = 4
)

var classNames = [ClassCount]string{"low", "normal", "high", "critical"}

// UnknownClassError reports a class name that is not one of the four.
type UnknownClassError struct {
	Name string
}

// Error implements error.
func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("class %q is not one of low, normal, high, critical", e.Name)
}

// ParseClass reads a class name. It returns *UnknownClassError otherwise.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return 0, &UnknownClassError{Name: name}
}

// String returns the name of the class.
func (c Class) String() string {
	if c < 0 || int(c) >= ClassCount {
		return "unknown"
	}
	return classNames[c]
}

// MarshalText writes the name of the class.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText reads the name of a class.
func (c *Class) UnmarshalText(text []byte) error {
	class, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = class
	return nil
}

// Rate is a number of calls a second.
type Rate float64

// TokensIn returns the tokens that the rate yields in d.
func (r Rate) TokensIn(d time.Duration) Tokens {
	return Tokens(float64(r) * d.Seconds())
}

// NewID returns 96 random bits in hexadecimal. It is used for every id that
// must never repeat: requests, calls, members and records.
func NewID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// RendezvousScore ranks a member for an owner key by rendezvous hashing: the member with
// the highest score owns the key.
func RendezvousScore(key string, member MemberID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(member))
	return d.Sum64()
}
