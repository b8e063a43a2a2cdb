// Package membership keeps a list of the fleet's members and detects those that fail: SWIM (Das, Gupta and Motivala
// 2002) with Lifeguard's local health, dynamic suspicion timeouts and nacks (Dadgar, Phillips and Currey 2018).
//
// It is a stepped state machine: messages and the time go in, messages and changes come out. It has no clock, socket
// or goroutine; the same seed and events always give the same actions. A Machine must not be used by two goroutines
// at once.
//
// It differs from what is published in two ways. A member is known by its name, and each process of it has a number
// above the incarnation, so that a process that restarts is the same member but never its former self. And a message
// from a suspect itself counts against the suspicion.
package membership

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the host's monotonic clock, from any origin that the host chooses.
type Time = time.Duration

// ProcessIncarnation identifies one process of a member, from its start to its end. A later one has the higher number;
// the nonce tells two apart that took the same number unknown to each other.
type ProcessIncarnation struct {
	Number uint64 `cbor:"1,keyasint"`
	Nonce  uint64 `cbor:"2,keyasint"`
}

// Compare orders processes by number, then by nonce.
func (p ProcessIncarnation) Compare(o ProcessIncarnation) int {
	return cmp.Or(cmp.Compare(p.Number, o.Number), cmp.Compare(p.Nonce, o.Nonce))
}

// String implements fmt.Stringer.
func (p ProcessIncarnation) String() string { return fmt.Sprintf("%d.%016x", p.Number, p.Nonce) }

// State is the state of a member. A later one overrides an earlier one of the same process and incarnation.
type State uint8

// The states of a member.
const (
	Alive   State = iota
	Suspect       // it failed a probe, and may still refute the suspicion
	Dead          // it did not refute the suspicion in time
	Left          // it has announced that it leaves
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

// Member is the state of one member, as it is passed on. The zero ProcessIncarnation is no valid one.
type Member struct {
	Name               string             `cbor:"1,keyasint"`
	Address            string             `cbor:"2,keyasint"` // for messages
	ProcessIncarnation ProcessIncarnation `cbor:"3,keyasint"`
	// Incarnation is raised by the member alone, to refute what others hold of this process.
	Incarnation uint32 `cbor:"4,keyasint"`
	State       State  `cbor:"5,keyasint"`
}

// Compare orders states of one member: the greater overrides the lesser, no matter who sends it and in whatever order
// they arrive. So machines that have received the same hold the same.
func (m Member) Compare(o Member) int {
	return cmp.Or(
		m.ProcessIncarnation.Compare(o.ProcessIncarnation),
		cmp.Compare(m.Incarnation, o.Incarnation),
		cmp.Compare(m.State, o.State),
		cmp.Compare(m.Address, o.Address),
	)
}

// Newer returns the greater of two states of one member.
func Newer(a, b Member) Member {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

// Present reports whether the member counts as part of the fleet: it is Alive or Suspect.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspect }

const (
	maxNameBytes    = 64
	maxAddressBytes = 64
)

// ErrInvalidMember is wrapped by the errors of Merge: a member cannot be what it was received as.
var ErrInvalidMember = errors.New("invalid member")

func (m Member) validate() error {
	switch {
	case m.Name == "" || len(m.Name) > maxNameBytes:
		return fmt.Errorf("%w: a name of %d bytes, 1 to %d are allowed", ErrInvalidMember, len(m.Name), maxNameBytes)
	case len(m.Address) == 0 || len(m.Address) > maxAddressBytes:
		return fmt.Errorf("%w %q: an address of %d bytes, 1 to %d are allowed",
			ErrInvalidMember, m.Name, len(m.Address), maxAddressBytes)
	case m.State >= numStates:
		return fmt.Errorf("%w %q: %v is unknown", ErrInvalidMember, m.Name, m.State)
	case m.ProcessIncarnation == ProcessIncarnation{}:
		return fmt.Errorf("%w %q: no life", ErrInvalidMember, m.Name)
	}
	return nil
}
