package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawMember draws what might be said of a member.
func drawMember(t *rapid.T) Member {
	return Member{Name: "a", Address: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"),
		Life:        Life{rapid.Uint64Range(1, 2).Draw(t, "life"), rapid.Uint64Range(1, 2).Draw(t, "nonce")},
		Incarnation: rapid.Uint32Range(0, 2).Draw(t, "incarnation"), State: State(rapid.IntRange(0, 3).Draw(t, "state"))}
}

// TestNewerIsSemilattice: which of two goes before the other does not depend on who hears what first, or how often.
func TestNewerIsSemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMember(t), drawMember(t), drawMember(t)
		if Newer(a, b) != Newer(b, a) {
			t.Errorf("%+v, %+v: the order matters", a, b)
		}
		if Newer(Newer(a, b), c) != Newer(a, Newer(b, c)) {
			t.Errorf("%+v, %+v, %+v: the grouping matters", a, b, c)
		}
		if Newer(a, a) != a {
			t.Errorf("%+v: twice is not once", a)
		}
	})
}

// TestMergeIgnoresOrder has machines hear the same of others in different orders and more than once: they hold the same.
func TestMergeIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		said := rapid.SliceOfN(rapid.Custom(drawMember), 1, 8).Draw(t, "said")
		want := said[0]
		for _, m := range said {
			want = Newer(want, m)
		}
		order := rapid.Permutation(said).Draw(t, "order")
		m := New(0, Settings{Name: "self", Address: "s", LifeNonce: 9})
		for i, member := range append(order, said[0]) {
			if err := m.Merge(time.Duration(i), []Member{member}, "b"); err != nil {
				t.Fatal(err)
			}
		}
		if got, ok := m.Member("a"); !ok || got != want {
			t.Errorf("it holds %+v, want %+v", got, want)
		}
	})
}

// testFleet steps machines in simulated time. cut tells which datagrams get lost.
type testFleet struct {
	t        testing.TB
	now      Time
	machines map[string]*Machine // by address
	order    []string
	lost     func(from, to string) bool
	stopped  map[string]bool
	changes  map[string][]Change
	packets  int
}

func newTestFleet(t testing.TB, n int) *testFleet {
	w := &testFleet{t: t, machines: map[string]*Machine{}, stopped: map[string]bool{}, changes: map[string][]Change{},
		lost: func(string, string) bool { return false }}
	for i := range n {
		w.add(fmt.Sprintf("n%d", i), fmt.Sprintf("a%d", i), uint64(i+1), 1)
	}
	return w
}

func (w *testFleet) add(name, address string, nonce, number uint64) *Machine {
	m := New(w.now, Settings{Name: name, Address: address, Peers: []string{"a0", "a1"}, Seed: 7, LifeNonce: nonce, LifeNumber: number})
	if w.machines[address] == nil {
		w.order = append(w.order, address)
	}
	w.machines[address] = m
	return m
}

// run steps all machines for some time, messages taking no time but their turn.
func (w *testFleet) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 50 * time.Millisecond {
		for _, a := range w.order {
			if !w.stopped[a] {
				w.machines[a].Tick(w.now)
				w.deliver(a)
			}
		}
	}
}

// deliver sends on what a machine has to say, and what is answered.
func (w *testFleet) deliver(a string) {
	m := w.machines[a]
	sends, changes := m.TakeOutput()
	w.changes[a] = append(w.changes[a], changes...)
	for _, s := range sends {
		w.packets++
		to := w.machines[s.To]
		if to == nil || w.stopped[s.To] || w.lost(a, s.To) {
			continue
		}
		self, bears := m.Self()
		if !bears {
			continue
		}
		if err := to.Merge(w.now, append([]Member{self}, m.Broadcasts(12, to.self)...), self.Name); err != nil {
			w.t.Error(err)
		}
		to.Receive(w.now, a, self.Name, self.Life, s.Message)
		w.deliver(s.To)
	}
}

// stateOf tells what a machine holds of a member.
func (w *testFleet) stateOf(address, name string) State {
	m, ok := w.machines[address].Member(name)
	if !ok {
		return numStates
	}
	return m.State
}

// expectState fails unless all that run hold the member in that state.
func (w *testFleet) expectState(name string, want State) {
	w.t.Helper()
	for _, a := range w.order {
		if self, _ := w.machines[a].Self(); !w.stopped[a] && self.Name != name {
			if got := w.stateOf(a, name); got != want {
				w.t.Errorf("at %v %s holds %s as %v, want %v", w.now, a, name, got, want)
			}
		}
	}
}

// TestJoinFailRefuteLeave starts from two known addresses, loses one member, gets it back, and says farewell to another.
func TestJoinFailRefuteLeave(t *testing.T) {
	for _, n := range []int{3, 10, 50} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newTestFleet(t, n)
			w.run(20*time.Second + time.Duration(2*n)*time.Second) // each has tried each
			for i := range n {
				w.expectState(fmt.Sprintf("n%d", i), Alive)
			}
			last := fmt.Sprintf("%d", n-1)
			w.stopped["a"+last] = true
			w.run(60 * time.Second)
			w.expectState("n"+last, Dead)
			w.stopped["a"+last] = false
			w.run(20 * time.Second)
			w.expectState("n"+last, Alive)
			if self, _ := w.machines["a"+last].Self(); self.Incarnation == 0 {
				t.Error("it lives on without having refuted that it is gone")
			}
			w.machines["a1"].Leave()
			w.run(10 * time.Second)
			w.expectState("n1", Left)
		})
	}
}

// TestLossCausesNoFalseDead: with a fifth of all messages lost nobody is buried that lives.
func TestLossCausesNoFalseDead(t *testing.T) {
	w := newTestFleet(t, 20)
	lost := 0
	w.lost = func(string, string) bool { lost++; return lost*7919%5 == 0 }
	w.run(3 * time.Minute)
	for _, a := range w.order {
		for _, c := range w.changes[a] {
			if c.Member.State == Dead {
				t.Errorf("%s buried %s", a, c.Member.Name)
			}
		}
	}
}

// TestPartitionHeals cuts the fleet into halves for long, and into ones: behind the cut all find each other again.
func TestPartitionHeals(t *testing.T) {
	for _, tt := range []struct {
		name string
		cut  func(from, to string) bool
	}{
		{"halves", func(from, to string) bool { return (from < "a5") != (to < "a5") }},
		{"ones", func(string, string) bool { return true }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestFleet(t, 10)
			w.run(20 * time.Second)
			w.lost = tt.cut
			w.run(2 * time.Minute)
			if w.stateOf("a0", "n9") != Dead {
				t.Errorf("a0 holds n9 as %v behind a cut", w.stateOf("a0", "n9"))
			}
			w.lost = func(string, string) bool { return false }
			w.run(time.Minute)
			for i := range 10 {
				w.expectState(fmt.Sprintf("n%d", i), Alive)
			}
		})
	}
}

// TestOneWayLossRaisesLocalHealth has a member hear all, and none hear it: it is buried, and buries nobody itself.
func TestOneWayLossRaisesLocalHealth(t *testing.T) {
	w := newTestFleet(t, 10)
	w.run(20 * time.Second)
	w.lost = func(from, _ string) bool { return from == "a3" }
	w.run(90 * time.Second)
	w.expectState("n3", Dead)
	gone := 0
	for _, m := range w.machines["a3"].Members() {
		if m.State == Dead {
			gone++
		}
	}
	if gone > 0 {
		t.Errorf("it buried %d that it hears", gone)
	}
	if w.machines["a3"].LocalHealth() == 0 {
		t.Error("it does not know that it does badly")
	}
	w.lost = func(string, string) bool { return false }
	w.run(30 * time.Second)
	w.expectState("n3", Alive)
}

// TestRestartIsLaterLife has a sidecar start again, with a clock that went back: it is the same member in a later life.
func TestRestartIsLaterLife(t *testing.T) {
	w := newTestFleet(t, 5)
	w.add("n4", "a4", 5, 1000)
	w.run(20 * time.Second)
	before, _ := w.machines["a0"].Member("n4")
	w.add("n4", "a4", 77, 3) // its clock says that it started before its former life
	w.run(20 * time.Second)
	after, _ := w.machines["a0"].Member("n4")
	if after.State != Alive || after.Life.Compare(before.Life) <= 0 || after.Life.Nonce != 77 {
		t.Errorf("it is held as %+v, before as %+v", after, before)
	}
	w.machines["a4"].MarkJoined()
	if err := w.machines["a4"].Merge(w.now, []Member{before}, "n0"); err != nil {
		t.Fatal(err)
	}
	if self, bears := w.machines["a4"].Self(); !bears || self.Life != after.Life {
		t.Errorf("what is held of its former life made it %+v, bears its name %v", self, bears)
	}
}

// TestDuplicateNameSupersedesOlder has a second process come under a name that one bears: the younger one bears it, and the older one
// says so and is silent. They do not fight.
func TestDuplicateNameSupersedesOlder(t *testing.T) {
	w := newTestFleet(t, 5)
	w.run(20 * time.Second)
	for _, m := range w.machines {
		m.MarkJoined()
	}
	young := w.add("n4", "b4", 77, 2)
	w.run(20 * time.Second)
	young.MarkJoined()
	w.run(40 * time.Second)
	if _, bears := w.machines["a4"].Self(); bears {
		t.Error("the older one still bears the name")
	}
	own := slices.ContainsFunc(w.changes["a4"], func(c Change) bool { return c.Superseded && c.Member.Address == "b4" })
	if self, bears := young.Self(); !bears || self.Incarnation > 1 || !own {
		t.Errorf("the younger one is %+v, bears the name %v, the older one was told %v", self, bears, own)
	}
	if m, _ := w.machines["a0"].Member("n4"); m.Address != "b4" || m.State != Alive {
		t.Errorf("it is held as %+v", m)
	}
}

// TestMessageRateIndependentOfFleetSize: what a sidecar sends a second for membership does not grow with the fleet.
func TestMessageRateIndependentOfFleetSize(t *testing.T) {
	perSecond := func(n int) float64 {
		w := newTestFleet(t, n)
		w.run(30 * time.Second)
		before := w.packets
		w.run(20 * time.Second)
		return float64(w.packets-before) / 20 / float64(n)
	}
	if few, many := perSecond(10), perSecond(100); many > 1.2*few || many > 5 {
		t.Errorf("%.1f messages a second and member at 10 members, %.1f at 100", few, many)
	}
}

// FuzzMerge takes in anything that might be said.
func FuzzMerge(f *testing.F) {
	f.Add("a", "x", uint64(1), uint64(2), uint32(3), uint8(1), uint8(1), "self")
	f.Add("self", "", uint64(0), uint64(0), uint32(0), uint8(9), uint8(3), "")
	f.Fuzz(func(t *testing.T, name, address string, number, nonce uint64, incarnation uint32, state, kind uint8, target string) {
		m := New(0, Settings{Name: "self", Address: "s", LifeNonce: 9})
		err := m.Merge(1, []Member{{name, address, Life{number, nonce}, incarnation, State(state)}}, name)
		if err == nil && (name == "" || state >= uint8(numStates)) {
			t.Errorf("%q in state %d was taken", name, state)
		}
		m.Receive(2, address, name, Life{number, nonce}, Message{Kind: MessageKind(kind), Seq: 1, Target: target, TargetAddress: address})
		for i := range 20 {
			m.Tick(time.Duration(i) * time.Second)
			m.TakeOutput()
		}
		if len(m.peers) > 1 {
			t.Errorf("it holds %d members of one", len(m.peers))
		}
	})
}

// TestRestartAfterClockStep has a sidecar start again while the clock of day has stepped, and hear of its former life
// only after it has given up to catch up: that one is over, whatever its number. One that lives elsewhere under a
// higher number goes before it.
func TestRestartAfterClockStep(t *testing.T) {
	const began = 10_000_000 // of the former life, in milliseconds
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		for _, tt := range []struct {
			name   string
			former Member
			bears  bool
		}{
			{"alive by hearsay, at the own address", Member{Address: "a0", State: Alive}, true},
			{"suspected, at the own address", Member{Address: "a0", State: Suspect, Incarnation: 3}, true},
			{"gone, at another address", Member{Address: "b0", State: Dead}, true},
			{"left, at another address", Member{Address: "b0", State: Left}, true},
			{"alive at another address", Member{Address: "b0", State: Alive}, step > 0},
		} {
			t.Run(fmt.Sprintf("%s, %v", tt.name, step), func(t *testing.T) {
				number := uint64(began + (time.Second + step).Milliseconds())
				m := New(0, Settings{Name: "n0", Address: "a0", Seed: 7, LifeNonce: 2, LifeNumber: number})
				m.MarkJoined()
				tt.former.Name, tt.former.Life = "n0", Life{Number: began, Nonce: 1}
				if err := m.Merge(1, []Member{tt.former}, "n1"); err != nil {
					t.Fatal(err)
				}
				self, bears := m.Self()
				if bears != tt.bears || bears && self.Life.Compare(tt.former.Life) <= 0 || self.Life.Nonce != 2 {
					t.Errorf("it is %+v, bears its name %v, want %v", self, bears, tt.bears)
				}
			})
		}
	}
}
