package consensus

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bootstrapCluster simulates configured voters that exchange hellos, crash, lose their folders and restart.
type bootstrapCluster struct {
	t          *rapid.T
	now        time.Duration
	names      []string
	machines   map[string]*Bootstrapper // nil: down
	folders    map[string]folder
	lastID     uint64
	delayed    []func()
	groups     map[uint64]map[string]uint64 // by group ID: the voters that have been in it, as voter IDs by name
	folderLost bool                         // at least one folder was lost
}

type folder struct {
	identity  Identity
	bootstrap *Bootstrap
}

// inGroup reports whether the folder's voter is in the group with an ID.
func (f folder) inGroup(group uint64) bool {
	return f.bootstrap != nil && f.bootstrap.GroupID() == group
}

func (c *bootstrapCluster) start(name string) {
	f := c.folders[name]
	if f.identity.ID == 0 {
		c.lastID++
		f.identity.ID = c.lastID
	}
	f.identity.Incarnation++
	c.folders[name] = f
	m, err := NewBootstrapper(name, f.identity, c.names, initialPolicy, f.bootstrap)
	if err != nil {
		c.t.Fatal(err)
	}
	c.machines[name] = m
}

// receive delivers a hello to a voter and persists its group. It fails the test if the voter changes its group, or is
// in a group that does not contain its ID.
func (c *bootstrapCluster) receive(name string, h Hello) {
	m := c.machines[name]
	if m == nil {
		return
	}
	if err := m.Receive(c.now, h); err != nil && !errors.Is(err, ErrNotInGroup) {
		c.t.Fatal(err)
	}
	f := c.folders[name]
	if f.bootstrap != nil && !f.inGroup(m.Bootstrap().GroupID()) {
		c.t.Fatalf("%s was in %v and is now in %v", name, f.bootstrap, m.Bootstrap())
	}
	if m.Bootstrap() == nil {
		return
	}
	f.bootstrap = m.Bootstrap()
	c.folders[name] = f
	group := f.bootstrap.GroupID()
	if c.groups[group] == nil {
		c.groups[group] = map[string]uint64{}
	}
	c.groups[group][name] = f.identity.ID
	if f.bootstrap.Voters[name] != f.identity.ID {
		c.t.Fatalf("%s with ID %x is in %v, which does not contain it", name, f.identity.ID, f.bootstrap)
	}
}

// step performs a randomly drawn action.
func (c *bootstrapCluster) step() {
	c.now += time.Duration(rapid.IntRange(0, 400).Draw(c.t, "ms")) * time.Millisecond
	name := rapid.SampledFrom(c.names).Draw(c.t, "who")
	switch rapid.IntRange(0, 9).Draw(c.t, "what") {
	case 0:
		if c.machines[name] == nil {
			c.start(name)
		}
	case 1:
		c.machines[name] = nil
	case 2:
		c.loseFolder(name)
	case 3, 4:
		c.deliverDelayed()
	default:
		c.sendHellos(name)
	}
}

// loseFolder deletes a voter's folder with a drawn probability, but never the last folder of a group: no voter can
// detect that loss, so operators have to handle it.
func (c *bootstrapCluster) loseFolder(name string) {
	inGroup := 0
	for _, f := range c.folders {
		if f.bootstrap != nil {
			inGroup++
		}
	}
	if rapid.IntRange(0, 3).Draw(c.t, "lost") == 0 && c.folders[name].identity.ID > 0 && inGroup != 1 {
		c.machines[name], c.folderLost = nil, true
		delete(c.folders, name)
	}
}

// deliverDelayed delivers one of the delayed hellos.
func (c *bootstrapCluster) deliverDelayed() {
	if len(c.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.delayed)-1).Draw(c.t, "which")
	deliver := c.delayed[i]
	c.delayed = slices.Delete(c.delayed, i, i+1)
	deliver()
}

// sendHellos sends a voter's hello to all others. Some hellos are delayed or lost.
func (c *bootstrapCluster) sendHellos(name string) {
	m := c.machines[name]
	if m == nil {
		return
	}
	h := m.Hello()
	for _, to := range c.names {
		switch {
		case to == name:
		case rapid.IntRange(0, 3).Draw(c.t, "arrives") > 0:
			c.receive(to, h)
		case len(c.delayed) < 20:
			c.delayed = append(c.delayed, func() { c.receive(to, h) })
		}
	}
}

// groupsWithMajority returns the groups of which a majority of the voters still has the folder. A folder belongs to one
// group only, so two such groups need a voter that lost its folder and joined a second group.
func (c *bootstrapCluster) groupsWithMajority() (groups []uint64) {
	for group, voters := range c.groups {
		n := 0
		for name, id := range voters {
			if f := c.folders[name]; f.identity.ID == id && f.inGroup(group) {
				n++
			}
		}
		if n > len(c.names)/2 {
			groups = append(groups, group)
		}
	}
	return groups
}

// exchangeHellos starts all voters and delivers the hellos of each to all others, twice.
func (c *bootstrapCluster) exchangeHellos() {
	for _, name := range c.names {
		if c.machines[name] == nil {
			c.start(name)
		}
	}
	for range 2 {
		for _, name := range c.names {
			for _, to := range c.names {
				if to != name {
					c.receive(to, c.machines[name].Hello())
				}
			}
		}
	}
}

// TestBootstrappedOnce checks that lost hellos and folders never lead to two groups with a majority each, that a voter
// that has lost its folder does not rejoin its group, and that all voters are in one group if no folder was lost.
func TestBootstrappedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &bootstrapCluster{
			t:        t,
			now:      time.Hour,
			names:    []string{"a", "b", "c"},
			machines: map[string]*Bootstrapper{},
			folders:  map[string]folder{},
			groups:   map[uint64]map[string]uint64{},
		}
		if rapid.Bool().Draw(t, "five") {
			c.names = append(c.names, "d", "e")
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c.step()
		}
		if groups := c.groupsWithMajority(); len(groups) > 1 {
			t.Fatalf("groups %x each have a majority", groups)
		}
		if c.folderLost {
			return
		}
		c.exchangeHellos()
		if len(c.groups) != 1 {
			t.Fatalf("groups %v after all hellos were received and no folder was lost, want one group",
				slices.Collect(maps.Keys(c.groups)))
		}
	})
}

var testVoters = []string{"a", "b", "c"}

func newTestBootstrapper(t *testing.T, name string, id uint64, policy string, known *Bootstrap) *Bootstrapper {
	t.Helper()
	b, err := NewBootstrapper(name, Identity{id, 1}, testVoters, []byte(policy), known)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// receiveHello delivers a hello to a bootstrapper and checks the error.
func receiveHello(t *testing.T, b *Bootstrapper, now time.Duration, h Hello, want error) {
	t.Helper()
	if err := b.Receive(now, h); !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
}

// TestBootstrapper checks the conditions under which a group is formed, and that a voter that has lost its folder joins
// the group only after it has replaced its former identity.
func TestBootstrapper(t *testing.T) {
	a := newTestBootstrapper(t, "a", 1, "x", nil)
	b := newTestBootstrapper(t, "b", 2, "x", nil)
	c := newTestBootstrapper(t, "c", 3, "x", nil)
	receiveHello(t, a, 1, b.Hello(), nil)
	if a.Bootstrap() != nil {
		t.Error("two of three voters formed a group")
	}
	receiveHello(t, a, 1+helloLifetime, c.Hello(), nil)
	if a.Bootstrap() != nil {
		t.Error("an expired hello counted towards the bootstrap")
	}
	otherPolicy := newTestBootstrapper(t, "b", 2, "y", nil)
	receiveHello(t, a, 1+helloLifetime, otherPolicy.Hello(), ErrConfigMismatch)
	receiveHello(t, a, 1+helloLifetime, b.Hello(), nil)
	if a.Bootstrap() == nil || a.Bootstrap().Voters["c"] != 3 {
		t.Fatalf("bootstrap %v after the hellos of all three voters", a.Bootstrap())
	}
	receiveHello(t, b, 1, a.Hello(), nil)
	if b.Bootstrap() == nil || b.Bootstrap().GroupID() != a.Bootstrap().GroupID() {
		t.Errorf("bootstrap of b is %v, want that of a: %v", b.Bootstrap(), a.Bootstrap())
	}
	// c restarts without its folder, so it has a new ID that the group does not contain.
	withNewFolder := newTestBootstrapper(t, "c", 9, "x", nil)
	receiveHello(t, withNewFolder, 1, a.Hello(), ErrNotInGroup)
	receiveHello(t, withNewFolder, 1, b.Hello(), ErrNotInGroup)
	if withNewFolder.Bootstrap() != nil {
		t.Errorf("a voter that has lost its folder joined %v", withNewFolder.Bootstrap())
	}
	if _, err := NewBootstrapper("c", Identity{9, 1}, testVoters, nil, a.Bootstrap()); err == nil {
		t.Error("a folder of another voter was accepted")
	}
	// The group replaces c's former ID by the new one. c then joins, and restarts from its persisted bootstrap.
	helloAfterReplacement := a.Hello()
	helloAfterReplacement.Voters = map[string]uint64{"a": 1, "b": 2, "c": 9}
	receiveHello(t, withNewFolder, 2, helloAfterReplacement, nil)
	got := withNewFolder.Bootstrap()
	if got == nil || got.GroupID() != a.Bootstrap().GroupID() || got.KnownVoters()["c"] != 9 {
		t.Fatalf("bootstrap %v after replacing the former ID of c", got)
	}
	restarted, err := NewBootstrapper("c", Identity{9, 2}, testVoters, nil, got)
	if err != nil || restarted.Bootstrap() == nil {
		t.Errorf("restarted as %v, error %v", restarted, err)
	}
}

// TestBootstrapperRejects checks that invalid configurations and hellos are rejected.
func TestBootstrapperRejects(t *testing.T) {
	for _, tt := range []struct {
		name   string
		voters []string
	}{
		{"no voters", nil},
		{"two voters", []string{"a", "b"}},
		{"duplicate voter", []string{"a", "b", "b"}},
		{"own name missing", []string{"b", "c", "d"}},
		{"four voters", []string{"a", "b", "c", "d"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := NewBootstrapper("a", Identity{1, 1}, tt.voters, nil, nil); err == nil {
				t.Errorf("voters %v were accepted", tt.voters)
			}
		})
	}
	for _, tt := range []struct {
		name  string
		hello Hello
	}{
		{"empty hello", Hello{}},
		{"unknown voter", Hello{Name: "z", ID: 4}},
		{"own hello", Hello{Name: "a", ID: 1}},
		{"hello without an ID", Hello{Name: "b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if err := newTestBootstrapper(t, "a", 1, "x", nil).Receive(1, tt.hello); err == nil {
				t.Errorf("%+v was accepted", tt.hello)
			}
		})
	}
}
