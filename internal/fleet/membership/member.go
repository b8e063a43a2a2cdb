// Package membership maintains the list of the fleet's members and detects failed members. It implements SWIM (Das,
// Gupta and Motivala 2002) with Lifeguard's local health, dynamic suspicion timeouts and nacks (Dadgar, Phillips and
// Currey 2018).
//
// The package is a deterministic state machine: its inputs are messages and the time, its outputs are messages and
// membership changes. It has no clock, socket or goroutine; the same seed and events always produce the same output. A
// Machine must not be used by two goroutines at once.
//
// It differs from the published protocols in two ways. First, a member is identified by its name, and each process of
// the member has a ProcessIncarnation that takes precedence over the SWIM incarnation. A restarted process is therefore
// the same member, but state of the earlier process never applies to it. Second, a message received directly from a
// suspect counts as evidence against the suspicion.
package membership

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the host's monotonic clock, from any origin that the host chooses.
type Time = time.Duration

// ProcessIncarnation identifies one process of a member, from its start to its end. A later process has a higher
// number. The nonce distinguishes two processes that chose the same number independently.
type ProcessIncarnation struct {
	Number uint64 `cbor:"1,keyasint"`
	Nonce  uint64 `cbor:"2,keyasint"`
}

// Compare orders process incarnations by number, then by nonce.
func (p ProcessIncarnation) Compare(o ProcessIncarnation) int {
	return cmp.Or(cmp.Compare(p.Number, o.Number), cmp.Compare(p.Nonce, o.Nonce))
}

// String implements fmt.Stringer.
func (p ProcessIncarnation) String() string { return fmt.Sprintf("%d.%016x", p.Number, p.Nonce) }

// State is the state of a member. For the same process and incarnation, a higher State overrides a lower one.
type State uint8

// The states of a member.
const (
	Alive   State = iota
	Suspect       // failed a probe and may still refute the suspicion
	Dead          // did not refute the suspicion in time
	Left          // announced that it is leaving
	numStates
)

var stateNames = [numStates]string{"alive", "suspect", "gone", "left"}

// String implements fmt.Stringer.
func (s State) String() string {
	if s < numStates {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Member is the state of one member as members exchange it. The zero ProcessIncarnation is invalid.
type Member struct {
	Name               string             `cbor:"1,keyasint"`
	Address            string             `cbor:"2,keyasint"` // to which messages are sent
	ProcessIncarnation ProcessIncarnation `cbor:"3,keyasint"`
	// Incarnation is the SWIM incarnation. Only the member itself increments it, to refute the state that others hold
	// of this process.
	Incarnation uint32 `cbor:"4,keyasint"`
	State       State  `cbor:"5,keyasint"`
}

// Compare orders states of one member. The greater state overrides the lesser one, regardless of the sender and of the
// order of arrival, so machines that have received the same states converge.
func (m Member) Compare(o Member) int {
	return cmp.Or(
		m.ProcessIncarnation.Compare(o.ProcessIncarnation),
		cmp.Compare(m.Incarnation, o.Incarnation),
		cmp.Compare(m.State, o.State),
		cmp.Compare(m.Address, o.Address),
	)
}

// Newer returns the greater of two states of one member, as ordered by Compare.
func Newer(a, b Member) Member {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

// Present reports whether the member counts as part of the fleet, that is, whether it is Alive or Suspect.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspect }

const (
	maxNameBytes    = 64
	maxAddressBytes = 64
)

// ErrInvalidMember is wrapped by the errors of Merge for a received member whose fields are invalid.
var ErrInvalidMember = errors.New("invalid member")

func (m Member) validate() error {
	switch {
	case m.Name == "" || len(m.Name) > maxNameBytes:
		return fmt.Errorf("%w: name of %d bytes, want 1 to %d", ErrInvalidMember, len(m.Name), maxNameBytes)
	case len(m.Address) == 0 || len(m.Address) > maxAddressBytes:
		return fmt.Errorf("%w %q: address of %d bytes, want 1 to %d",
			ErrInvalidMember, m.Name, len(m.Address), maxAddressBytes)
	case m.State >= numStates:
		return fmt.Errorf("%w %q: unknown %v", ErrInvalidMember, m.Name, m.State)
	case m.ProcessIncarnation == ProcessIncarnation{}:
		return fmt.Errorf("%w %q: no process incarnation", ErrInvalidMember, m.Name)
	}
	return nil
}
