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
	"github.com/fxamacker/cbor/v2"
)

// Identity is what a decider's folder says of it.
type Identity struct {
	ID          uint64 `cbor:"1,keyasint"` // drawn when the folder was made: one without its folder is another decider
	Incarnation uint64 `cbor:"2,keyasint"` // counts the starts with this folder
}

// Bootstrap says who began a consensus group, and with which policy. These two are the same in all of its deciders and never change.
type Bootstrap struct {
	Voters        map[string]uint64 `cbor:"1,keyasint"` // by name
	InitialPolicy []byte            `cbor:"2,keyasint"` // the policy in force before any change
	// VotersAtJoin are the deciders of the time at which this one took the place of another; nil: it was there at the beginning.
	VotersAtJoin map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// KnownVoters are the deciders that this one knows of without any log.
func (f Bootstrap) KnownVoters() map[string]uint64 {
	if f.VotersAtJoin != nil {
		return f.VotersAtJoin
	}
	return f.Voters
}

// GroupID tells consensus groups apart: those of other deciders, or that began with another policy.
func (f Bootstrap) GroupID() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, name := range slices.Sorted(maps.Keys(f.Voters)) {
		var id [8]byte
		binary.BigEndian.PutUint64(id[:], f.Voters[name])
		_, _ = d.WriteString(name) // a Digest never fails
		_, _ = d.Write(append(id[:], 0))
	}
	_, _ = d.Write(f.InitialPolicy)
	return d.Sum64()
}

// voterIDs lists the deciders in order.
func (f Bootstrap) voterIDs() []uint64 { return slices.Sorted(maps.Values(f.KnownVoters())) }

// Hello is what a decider that is of no consensus group yet tells the others, and what they answer.
type Hello struct {
	Name       string     `cbor:"1,keyasint"`
	ID         uint64     `cbor:"2,keyasint"`
	ConfigHash uint64     `cbor:"3,keyasint"` // sum over the names of all deciders and the first policy, as its file has them
	Bootstrap  *Bootstrap `cbor:"4,keyasint,omitempty"`
	// Voters are those of now, by the log of one that is of the consensus.
	Voters map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// helloLifetime is how long a Hello counts.
const helloLifetime = TickInterval * 40

// Why a decider stays out of a consensus.
var (
	// ErrNotInGroup says that there is a consensus group that does not have this decider with this folder: it is a further one, or it has lost what it
	// promised and must not vote as if it knew. It waits until it is given the place of one that is gone.
	ErrNotInGroup = errors.New("consensus: there is one already, without this decider and folder; it is to be given a place")
	// ErrConfigMismatch says that another decider's file names other deciders, or another first policy.
	ErrConfigMismatch = errors.New("consensus: the files of two deciders differ in the deciders or in the first policy")
)

// Bootstrapper decides when a consensus group is bootstrapped: once all deciders that the file names are there, and none of them remembers one. Danger:
// were some enough, a majority that has lost its folders would found a second one beside the first.
type Bootstrapper struct {
	name       string
	identity   Identity
	configured Bootstrap // its IDs are not known yet
	hellos     map[string]receivedHello
	bootstrap  *Bootstrap
}

type receivedHello struct {
	id         uint64
	receivedAt Time
}

// NewBootstrapper returns the machine of a decider whose file names all deciders, itself among them, and the first policy. known is what its
// folder says; nil: nothing.
func NewBootstrapper(name string, self Identity, named []string, first []byte, known *Bootstrap) (*Bootstrapper, error) {
	f := &Bootstrapper{name: name, identity: self, configured: Bootstrap{Voters: map[string]uint64{}, InitialPolicy: first}, hellos: map[string]receivedHello{}, bootstrap: known}
	for _, n := range named {
		f.configured.Voters[n] = 0
	}
	_, there := f.configured.Voters[name]
	switch {
	case len(f.configured.Voters) != len(named) || len(named) != 3 && len(named) != 5:
		return nil, fmt.Errorf("consensus: deciders %v: three or five are needed, each named once", named)
	case !there:
		return nil, fmt.Errorf("consensus: %q is none of the deciders %v", name, named)
	case self.ID == 0:
		return nil, errors.New("consensus: a decider without an id")
	case known != nil && known.KnownVoters()[name] != self.ID:
		return nil, fmt.Errorf("consensus: the folder of %s is another decider's", name)
	}
	return f, nil
}

// Bootstrap is the consensus group that the decider is of; nil: none yet.
func (f *Bootstrapper) Bootstrap() *Bootstrap { return f.bootstrap }

// Hello returns what is to be told the others, and what is to be answered to them.
func (f *Bootstrapper) Hello() Hello {
	return Hello{Name: f.name, ID: f.identity.ID, ConfigHash: f.configured.GroupID(), Bootstrap: f.bootstrap}
}

// Receive takes in what another decider says. Once Bootstrap is not nil the host keeps it before it says Hello again.
func (f *Bootstrapper) Receive(now Time, h Hello) error {
	if f.bootstrap != nil {
		return nil
	}
	if _, named := f.configured.Voters[h.Name]; !named || h.Name == f.name || h.ID == 0 {
		return fmt.Errorf("consensus: a hello of %.80q, which is none of the other deciders", h.Name)
	}
	if g := h.Bootstrap; g != nil {
		switch {
		case g.Voters[f.name] == f.identity.ID: // it was there
			f.bootstrap = &Bootstrap{Voters: g.Voters, InitialPolicy: g.InitialPolicy}
		case h.Voters[f.name] == f.identity.ID: // it was given a place
			f.bootstrap = &Bootstrap{Voters: g.Voters, InitialPolicy: g.InitialPolicy, VotersAtJoin: h.Voters}
		default:
			return fmt.Errorf("%w (%s, by %s)", ErrNotInGroup, f.name, h.Name)
		}
		return nil
	}
	if h.ConfigHash != f.configured.GroupID() {
		delete(f.hellos, h.Name)
		return fmt.Errorf("%w (%s)", ErrConfigMismatch, h.Name)
	}
	f.hellos[h.Name] = receivedHello{h.ID, now}
	bootstrap := Bootstrap{Voters: map[string]uint64{f.name: f.identity.ID}, InitialPolicy: f.configured.InitialPolicy}
	for name, o := range f.hellos {
		if now-o.receivedAt < helloLifetime {
			bootstrap.Voters[name] = o.id
		}
	}
	if len(bootstrap.Voters) == len(f.configured.Voters) && len(slices.Compact(bootstrap.voterIDs())) == len(bootstrap.Voters) {
		f.bootstrap = &bootstrap
	}
	return nil
}

// Envelope is what deciders of a consensus group send each other.
type Envelope struct {
	GroupID     uint64 `cbor:"1,keyasint"`
	From        uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Payload     []byte `cbor:"4,keyasint"`
	// Incarnations are the last that its sender has heard of the other deciders.
	Incarnations map[uint64]uint64 `cbor:"5,keyasint,omitempty"`
}

// envelopeVerifier holds what is heard of deciders against what was heard before. Danger: one whose folder is an older copy has forgotten votes
// and entries that it told the others of; a majority that counts on these would be none. What one has heard of a life all hear from
// it, the one with the older copy too. Not found out is an older copy whose later lives nobody has heard of who answers; to wait
// for those who do not would have one lost decider and one that starts anew stop all changes.
type envelopeVerifier struct {
	groupID      uint64
	identity     Identity
	members      []uint64 // while one takes the place of another, both
	incarnations map[uint64]uint64
}

var (
	errUnknownSender    = errors.New("consensus: a message of no decider of this group")
	errStaleIncarnation = errors.New("consensus: a message of a decider's former life, or of one whose folder is an older copy")
)

// open takes an envelope apart, and tells which lives were not heard of before.
func (g *envelopeVerifier) open(text []byte) (e Envelope, news map[uint64]uint64, err error) {
	if err := cbor.Unmarshal(text, &e); err != nil {
		return e, nil, fmt.Errorf("consensus: an envelope that cannot be read: %w", err)
	}
	switch known := g.incarnations[e.From]; {
	case e.GroupID != g.groupID || !slices.Contains(g.members, e.From) || e.From == g.identity.ID || e.Incarnation == 0:
		return e, nil, fmt.Errorf("%w: group %x, decider %x", errUnknownSender, e.GroupID, e.From)
	case e.Incarnations[g.identity.ID] > g.identity.Incarnation:
		return e, nil, fmt.Errorf("%w: this is its life %d, decider %x has heard of %d", ErrLostState, g.identity.Incarnation, e.From, e.Incarnations[g.identity.ID])
	case e.Incarnation < known:
		return e, nil, fmt.Errorf("%w: decider %x, life %d, heard of %d", errStaleIncarnation, e.From, e.Incarnation, known)
	}
	news = map[uint64]uint64{}
	hear := func(id, life uint64) {
		if id != g.identity.ID && slices.Contains(g.members, id) && life > g.incarnations[id] {
			g.incarnations[id], news[id] = life, life
		}
	}
	hear(e.From, e.Incarnation)
	for id, life := range e.Incarnations {
		hear(id, life)
	}
	return e, news, nil
}

// String implements fmt.Stringer.
func (f Bootstrap) String() string {
	var parts []string
	for name, id := range f.Voters {
		parts = append(parts, fmt.Sprintf("%s=%x", name, id))
	}
	slices.SortFunc(parts, cmp.Compare)
	return fmt.Sprintf("group %x of %s", f.GroupID(), strings.Join(parts, ", "))
}
