package consensus

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Identity is what a voter's folder says of it.
type Identity struct {
	// ID is drawn at random when the folder is made: a sidecar that has lost its folder is another voter.
	ID uint64 `cbor:"1,keyasint"`
	// Incarnation counts the starts with this folder, from 1.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Bootstrap says by which voters a consensus group was formed, and with which policy. These two are the same on all of
// its voters and never change.
type Bootstrap struct {
	Voters        map[string]uint64 `cbor:"1,keyasint"` // IDs by name
	InitialPolicy []byte            `cbor:"2,keyasint"` // the policy in force before any change
	// VotersAtJoin are the voters at the time when this one replaced another; nil: it was there at the bootstrap.
	VotersAtJoin map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// KnownVoters are the voters that this one knows of without any log.
func (b Bootstrap) KnownVoters() map[string]uint64 {
	if b.VotersAtJoin != nil {
		return b.VotersAtJoin
	}
	return b.Voters
}

// GroupID tells groups apart: those of other voters, or that began with another policy. Of a configuration whose IDs
// are not known yet (0) it is the hash of names and policy.
func (b Bootstrap) GroupID() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, name := range slices.Sorted(maps.Keys(b.Voters)) {
		var id [8]byte
		binary.BigEndian.PutUint64(id[:], b.Voters[name])
		_, _ = d.WriteString(name) // a Digest never fails
		_, _ = d.Write(append(id[:], 0))
	}
	_, _ = d.Write(b.InitialPolicy)
	return d.Sum64()
}

// String implements fmt.Stringer.
func (b Bootstrap) String() string {
	var parts []string
	for name, id := range b.Voters {
		parts = append(parts, fmt.Sprintf("%s=%x", name, id))
	}
	slices.SortFunc(parts, cmp.Compare)
	return fmt.Sprintf("group %x of %s", b.GroupID(), strings.Join(parts, ", "))
}

// voterIDs lists the IDs of the known voters in order.
func (b Bootstrap) voterIDs() []uint64 { return slices.Sorted(maps.Values(b.KnownVoters())) }

// Hello is what a voter that is in no group yet sends the others, and what they reply.
type Hello struct {
	Name       string     `cbor:"1,keyasint"`
	ID         uint64     `cbor:"2,keyasint"`
	ConfigHash uint64     `cbor:"3,keyasint"`           // of the voters' names and the initial policy in its settings
	Bootstrap  *Bootstrap `cbor:"4,keyasint,omitempty"` // nil: it is in no group
	// Voters are the present ones by the log of a sender that is in a group.
	Voters map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// helloLifetime is for how long a Hello counts towards a bootstrap.
const helloLifetime = TickInterval * 40

// Errors for which a voter stays out of a group.
var (
	// ErrNotInGroup says that there is a group without this voter and folder. Either the voter is none of the group's,
	// or it has lost its folder, and must not vote as if it remembered. It waits until it replaces a voter.
	ErrNotInGroup = errors.New("consensus: there is a group without this voter and folder; it is to replace a voter")
	// ErrConfigMismatch says that another voter's settings have other voters, or another initial policy.
	ErrConfigMismatch = errors.New("consensus: two voters' settings differ in the voters or in the initial policy")
)

// Bootstrapper decides when a group is formed: once all configured voters are there, and none of them is in one. A
// majority would not do: one that has lost its folders would form a second group next to the first.
type Bootstrapper struct {
	name       string
	identity   Identity
	configured Bootstrap // with IDs of 0, as they are not known yet
	hellos     map[string]receivedHello
	bootstrap  *Bootstrap
}

type receivedHello struct {
	id         uint64
	receivedAt Time
}

// NewBootstrapper returns the bootstrapper of a voter whose settings name all voters, itself among them, and the
// initial policy. known is the group that its folder is of; nil: none.
func NewBootstrapper(
	name string, identity Identity, voters []string, initialPolicy []byte, known *Bootstrap,
) (*Bootstrapper, error) {
	b := &Bootstrapper{
		name:       name,
		identity:   identity,
		configured: Bootstrap{Voters: map[string]uint64{}, InitialPolicy: initialPolicy},
		hellos:     map[string]receivedHello{},
		bootstrap:  known,
	}
	for _, voter := range voters {
		b.configured.Voters[voter] = 0
	}
	_, named := b.configured.Voters[name]
	switch {
	case len(b.configured.Voters) != len(voters) || len(voters) != 3 && len(voters) != 5:
		return nil, fmt.Errorf("consensus: voters %v: three or five are needed, each named once", voters)
	case !named:
		return nil, fmt.Errorf("consensus: %q is none of the voters %v", name, voters)
	case identity.ID == 0:
		return nil, errors.New("consensus: a voter without an ID")
	case known != nil && known.KnownVoters()[name] != identity.ID:
		return nil, fmt.Errorf("consensus: the folder of %s is another voter's", name)
	}
	return b, nil
}

// Bootstrap is the group that the voter is in; nil: none yet.
func (b *Bootstrapper) Bootstrap() *Bootstrap { return b.bootstrap }

// Hello returns what is to be sent to the other voters, and what is to be replied to them.
func (b *Bootstrapper) Hello() Hello {
	return Hello{Name: b.name, ID: b.identity.ID, ConfigHash: b.configured.GroupID(), Bootstrap: b.bootstrap}
}

// Receive takes in another voter's hello. It returns ErrNotInGroup or ErrConfigMismatch where that keeps this voter out
// of a group, and another error for a hello that is none of a voter's. The host persists the Bootstrap, once there is
// one, before it sends Hello again.
func (b *Bootstrapper) Receive(now Time, h Hello) error {
	if b.bootstrap != nil {
		return nil
	}
	if _, named := b.configured.Voters[h.Name]; !named || h.Name == b.name || h.ID == 0 {
		return fmt.Errorf("consensus: a hello of %.80q, which is none of the other voters", h.Name)
	}
	if h.Bootstrap != nil {
		return b.join(h)
	}
	if h.ConfigHash != b.configured.GroupID() {
		delete(b.hellos, h.Name)
		return fmt.Errorf("%w (%s)", ErrConfigMismatch, h.Name)
	}
	b.hellos[h.Name] = receivedHello{h.ID, now}
	b.bootstrapIfComplete(now)
	return nil
}

// join takes in the hello of a voter that is in a group, which this one is in too or is not.
func (b *Bootstrapper) join(h Hello) error {
	group := Bootstrap{Voters: h.Bootstrap.Voters, InitialPolicy: h.Bootstrap.InitialPolicy}
	switch {
	case group.Voters[b.name] == b.identity.ID: // it was there at the bootstrap
	case h.Voters[b.name] == b.identity.ID: // it has replaced a voter
		group.VotersAtJoin = h.Voters
	default:
		return fmt.Errorf("%w (%s, by %s)", ErrNotInGroup, b.name, h.Name)
	}
	b.bootstrap = &group
	return nil
}

// bootstrapIfComplete forms a group, where all configured voters have sent a hello lately and have different IDs.
func (b *Bootstrapper) bootstrapIfComplete(now Time) {
	group := Bootstrap{Voters: map[string]uint64{b.name: b.identity.ID}, InitialPolicy: b.configured.InitialPolicy}
	for name, hello := range b.hellos {
		if now-hello.receivedAt < helloLifetime {
			group.Voters[name] = hello.id
		}
	}
	complete := len(group.Voters) == len(b.configured.Voters)
	if complete && len(slices.Compact(group.voterIDs())) == len(group.Voters) {
		b.bootstrap = &group
	}
}
