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

// Self is what a decider's folder says of it.
type Self struct {
	ID   uint64 `cbor:"1,keyasint"` // drawn when the folder was made: one without its folder is another decider
	Life uint64 `cbor:"2,keyasint"` // counts the starts with this folder
}

// Bootstrap says who began a consensus group, and with which policy. These two are the same in all of its deciders and never change.
type Bootstrap struct {
	Deciders map[string]uint64 `cbor:"1,keyasint"` // by name
	First    []byte            `cbor:"2,keyasint"` // the policy in force before any change
	// Joined are the deciders of the time at which this one took the place of another; nil: it was there at the beginning.
	Joined map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Known are the deciders that this one knows of without any log.
func (f Bootstrap) Known() map[string]uint64 {
	if f.Joined != nil {
		return f.Joined
	}
	return f.Deciders
}

// Group tells consensus groups apart: those of other deciders, or that began with another policy.
func (f Bootstrap) Group() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, name := range slices.Sorted(maps.Keys(f.Deciders)) {
		var id [8]byte
		binary.BigEndian.PutUint64(id[:], f.Deciders[name])
		_, _ = d.WriteString(name) // a Digest never fails
		_, _ = d.Write(append(id[:], 0))
	}
	_, _ = d.Write(f.First)
	return d.Sum64()
}

// ids lists the deciders in order.
func (f Bootstrap) ids() []uint64 { return slices.Sorted(maps.Values(f.Known())) }

// Hello is what a decider that is of no consensus group yet tells the others, and what they answer.
type Hello struct {
	Name      string     `cbor:"1,keyasint"`
	ID        uint64     `cbor:"2,keyasint"`
	Named     uint64     `cbor:"3,keyasint"` // sum over the names of all deciders and the first policy, as its file has them
	Bootstrap *Bootstrap `cbor:"4,keyasint,omitempty"`
	// Deciders are those of now, by the log of one that is of the consensus.
	Deciders map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// helloFor is how long a Hello counts.
const helloFor = TickEvery * 40

// Why a decider stays out of a consensus.
var (
	// ErrLeftOut says that there is a consensus group that does not have this decider with this folder: it is a further one, or it has lost what it
	// promised and must not vote as if it knew. It waits until it is given the place of one that is gone.
	ErrLeftOut = errors.New("consensus: there is one already, without this decider and folder; it is to be given a place")
	// ErrOtherFile says that another decider's file names other deciders, or another first policy.
	ErrOtherFile = errors.New("consensus: the files of two deciders differ in the deciders or in the first policy")
)

// Bootstrapper decides when a consensus group is bootstrapped: once all deciders that the file names are there, and none of them remembers one. Danger:
// were some enough, a majority that has lost its folders would found a second one beside the first.
type Bootstrapper struct {
	name  string
	self  Self
	want  Bootstrap // its IDs are not known yet
	heard map[string]heard
	found *Bootstrap
}

type heard struct {
	id uint64
	at Time
}

// NewBootstrapper returns the machine of a decider whose file names all deciders, itself among them, and the first policy. known is what its
// folder says; nil: nothing.
func NewBootstrapper(name string, self Self, named []string, first []byte, known *Bootstrap) (*Bootstrapper, error) {
	f := &Bootstrapper{name: name, self: self, want: Bootstrap{Deciders: map[string]uint64{}, First: first}, heard: map[string]heard{}, found: known}
	for _, n := range named {
		f.want.Deciders[n] = 0
	}
	_, there := f.want.Deciders[name]
	switch {
	case len(f.want.Deciders) != len(named) || len(named) != 3 && len(named) != 5:
		return nil, fmt.Errorf("consensus: deciders %v: three or five are needed, each named once", named)
	case !there:
		return nil, fmt.Errorf("consensus: %q is none of the deciders %v", name, named)
	case self.ID == 0:
		return nil, errors.New("consensus: a decider without an id")
	case known != nil && known.Known()[name] != self.ID:
		return nil, fmt.Errorf("consensus: the folder of %s is another decider's", name)
	}
	return f, nil
}

// Bootstrap is the consensus group that the decider is of; nil: none yet.
func (f *Bootstrapper) Bootstrap() *Bootstrap { return f.found }

// Hello returns what is to be told the others, and what is to be answered to them.
func (f *Bootstrapper) Hello() Hello {
	return Hello{Name: f.name, ID: f.self.ID, Named: f.want.Group(), Bootstrap: f.found}
}

// Heard takes in what another decider says. Once Bootstrap is not nil the host keeps it before it says Hello again.
func (f *Bootstrapper) Heard(now Time, h Hello) error {
	if f.found != nil {
		return nil
	}
	if _, named := f.want.Deciders[h.Name]; !named || h.Name == f.name || h.ID == 0 {
		return fmt.Errorf("consensus: a hello of %.80q, which is none of the other deciders", h.Name)
	}
	if g := h.Bootstrap; g != nil {
		switch {
		case g.Deciders[f.name] == f.self.ID: // it was there
			f.found = &Bootstrap{Deciders: g.Deciders, First: g.First}
		case h.Deciders[f.name] == f.self.ID: // it was given a place
			f.found = &Bootstrap{Deciders: g.Deciders, First: g.First, Joined: h.Deciders}
		default:
			return fmt.Errorf("%w (%s, by %s)", ErrLeftOut, f.name, h.Name)
		}
		return nil
	}
	if h.Named != f.want.Group() {
		delete(f.heard, h.Name)
		return fmt.Errorf("%w (%s)", ErrOtherFile, h.Name)
	}
	f.heard[h.Name] = heard{h.ID, now}
	bootstrap := Bootstrap{Deciders: map[string]uint64{f.name: f.self.ID}, First: f.want.First}
	for name, o := range f.heard {
		if now-o.at < helloFor {
			bootstrap.Deciders[name] = o.id
		}
	}
	if len(bootstrap.Deciders) == len(f.want.Deciders) && len(slices.Compact(bootstrap.ids())) == len(bootstrap.Deciders) {
		f.found = &bootstrap
	}
	return nil
}

// Envelope is what deciders of a consensus group send each other.
type Envelope struct {
	Group uint64 `cbor:"1,keyasint"`
	From  uint64 `cbor:"2,keyasint"`
	Life  uint64 `cbor:"3,keyasint"`
	Text  []byte `cbor:"4,keyasint"`
	// Lives are the last that its sender has heard of the other deciders.
	Lives map[uint64]uint64 `cbor:"5,keyasint,omitempty"`
}

// guard holds what is heard of deciders against what was heard before. Danger: one whose folder is an older copy has forgotten votes
// and entries that it told the others of; a majority that counts on these would be none. What one has heard of a life all hear from
// it, the one with the older copy too. Not found out is an older copy whose later lives nobody has heard of who answers; to wait
// for those who do not would have one lost decider and one that starts anew stop all changes.
type guard struct {
	group   uint64
	self    Self
	members []uint64 // while one takes the place of another, both
	lives   map[uint64]uint64
}

var (
	errStranger   = errors.New("consensus: a message of no decider of this group")
	errFormerLife = errors.New("consensus: a message of a decider's former life, or of one whose folder is an older copy")
)

// open takes an envelope apart, and tells which lives were not heard of before.
func (g *guard) open(text []byte) (e Envelope, news map[uint64]uint64, err error) {
	if err := cbor.Unmarshal(text, &e); err != nil {
		return e, nil, fmt.Errorf("consensus: an envelope that cannot be read: %w", err)
	}
	switch known := g.lives[e.From]; {
	case e.Group != g.group || !slices.Contains(g.members, e.From) || e.From == g.self.ID || e.Life == 0:
		return e, nil, fmt.Errorf("%w: group %x, decider %x", errStranger, e.Group, e.From)
	case e.Lives[g.self.ID] > g.self.Life:
		return e, nil, fmt.Errorf("%w: this is its life %d, decider %x has heard of %d", ErrForgot, g.self.Life, e.From, e.Lives[g.self.ID])
	case e.Life < known:
		return e, nil, fmt.Errorf("%w: decider %x, life %d, heard of %d", errFormerLife, e.From, e.Life, known)
	}
	news = map[uint64]uint64{}
	hear := func(id, life uint64) {
		if id != g.self.ID && slices.Contains(g.members, id) && life > g.lives[id] {
			g.lives[id], news[id] = life, life
		}
	}
	hear(e.From, e.Life)
	for id, life := range e.Lives {
		hear(id, life)
	}
	return e, news, nil
}

// String implements fmt.Stringer.
func (f Bootstrap) String() string {
	var parts []string
	for name, id := range f.Deciders {
		parts = append(parts, fmt.Sprintf("%s=%x", name, id))
	}
	slices.SortFunc(parts, cmp.Compare)
	return fmt.Sprintf("group %x of %s", f.Group(), strings.Join(parts, ", "))
}
