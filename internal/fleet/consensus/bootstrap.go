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

// Identity identifies a voter. It is stored in the voter's folder.
type Identity struct {
	// ID is drawn at random when the folder is created, so a sidecar that has lost its folder is a different voter.
	ID uint64 `cbor:"1,keyasint"`
	// Incarnation is the number of starts with this folder, from 1.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Bootstrap holds the voters that formed a consensus group, and the group's initial policy. Both are the same on all
// voters of the group and never change.
type Bootstrap struct {
	Voters        map[string]uint64 `cbor:"1,keyasint"` // IDs by name
	InitialPolicy []byte            `cbor:"2,keyasint"` // the policy in force before any change
	// VotersAtJoin holds the voters at the time when this voter replaced another one, as IDs by name. It is nil on a
	// voter that took part in the bootstrap.
	VotersAtJoin map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// KnownVoters returns the voters of the group as far as they are stored outside its log, as IDs by name.
func (b Bootstrap) KnownVoters() map[string]uint64 {
	if b.VotersAtJoin != nil {
		return b.VotersAtJoin
	}
	return b.Voters
}

// GroupID returns a hash of the voters' names and IDs and of the initial policy, which differs between groups. For a
// configuration whose IDs are not known yet (0) it depends on the names and the policy only.
func (b Bootstrap) GroupID() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, name := range slices.Sorted(maps.Keys(b.Voters)) {
		var id [8]byte
		binary.BigEndian.PutUint64(id[:], b.Voters[name])
		_, _ = d.WriteString(name) // writing to a Digest never fails
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

// voterIDs returns the IDs of the known voters in ascending order.
func (b Bootstrap) voterIDs() []uint64 { return slices.Sorted(maps.Values(b.KnownVoters())) }

// Hello is sent to the other voters by a voter that is in no group yet. Their replies are Hellos as well.
type Hello struct {
	Name       string     `cbor:"1,keyasint"`
	ID         uint64     `cbor:"2,keyasint"`
	ConfigHash uint64     `cbor:"3,keyasint"`           // of the voters' names and the initial policy in its settings
	Bootstrap  *Bootstrap `cbor:"4,keyasint,omitempty"` // nil: the sender is in no group
	// Voters holds the current voters according to the log of a sender that is in a group, as IDs by name.
	Voters map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// helloLifetime is how long a received Hello counts towards a bootstrap.
const helloLifetime = TickInterval * 40

// Errors that keep a voter out of a group.
var (
	// ErrNotInGroup is returned if there is a group that does not contain this voter with this folder. Either the voter
	// never belonged to the group, or it has lost its folder and could contradict its former votes. It waits until it
	// replaces a voter.
	ErrNotInGroup = errors.New("consensus: this voter with this folder is not in the group; it must replace a voter")
	// ErrConfigMismatch is returned if another voter's settings name different voters or a different initial policy.
	ErrConfigMismatch = errors.New("consensus: two voters' settings differ in the voters or in the initial policy")
)

// Bootstrapper decides when a group is formed: once all configured voters are reachable and none of them is in a group.
// A majority is not enough: voters that have lost their folders could form a second group next to the first one.
type Bootstrapper struct {
	name       string
	identity   Identity
	configured Bootstrap                // the IDs are 0, as they are not known yet
	hellos     map[string]receivedHello // by name
	bootstrap  *Bootstrap               // nil: the voter is in no group yet
}

type receivedHello struct {
	id         uint64
	receivedAt Time
}

// NewBootstrapper returns the Bootstrapper of a voter. voters are the names of all voters in its settings, including
// its own. known is the group stored in its folder, or nil.
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
		return nil, fmt.Errorf("consensus: voters %v: want three or five distinct names", voters)
	case !named:
		return nil, fmt.Errorf("consensus: %q is not one of the voters %v", name, voters)
	case identity.ID == 0:
		return nil, errors.New("consensus: missing voter ID")
	case known != nil && known.KnownVoters()[name] != identity.ID:
		return nil, fmt.Errorf("consensus: the folder of %s belongs to another voter", name)
	}
	return b, nil
}

// Bootstrap returns the group that the voter is in, or nil if it is in none yet.
func (b *Bootstrapper) Bootstrap() *Bootstrap { return b.bootstrap }

// Hello returns the message to send to the other voters, and to reply to theirs.
func (b *Bootstrapper) Hello() Hello {
	return Hello{Name: b.name, ID: b.identity.ID, ConfigHash: b.configured.GroupID(), Bootstrap: b.bootstrap}
}

// Receive handles the hello of another voter. It returns ErrNotInGroup or ErrConfigMismatch if the hello shows that
// this voter cannot be in the group, and another error for a hello that no other configured voter can have sent. Once
// Bootstrap returns a group, the host persists it before it sends Hello again.
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

// join handles the hello of a voter that is in a group. It joins the group if this voter belongs to it.
func (b *Bootstrapper) join(h Hello) error {
	group := Bootstrap{Voters: h.Bootstrap.Voters, InitialPolicy: h.Bootstrap.InitialPolicy}
	switch {
	case group.Voters[b.name] == b.identity.ID: // this voter took part in the bootstrap
	case h.Voters[b.name] == b.identity.ID: // this voter has replaced another one
		group.VotersAtJoin = h.Voters
	default:
		return fmt.Errorf("%w (voter %s, according to %s)", ErrNotInGroup, b.name, h.Name)
	}
	b.bootstrap = &group
	return nil
}

// bootstrapIfComplete forms a group if all other configured voters have sent a hello within helloLifetime and all IDs
// differ.
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
