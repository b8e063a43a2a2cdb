package membership

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawMember draws a random state of member a.
func drawMember(t *rapid.T) Member {
	return Member{
		Name:               "a",
		Address:            rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"),
		ProcessIncarnation: ProcessIncarnation{rapid.Uint64Range(1, 2).Draw(t, "number"), rapid.Uint64Range(1, 2).Draw(t, "nonce")},
		Incarnation:        rapid.Uint32Range(0, 2).Draw(t, "incarnation"),
		State:              State(rapid.IntRange(0, 3).Draw(t, "state")),
	}
}

// TestNewerIsSemilattice checks that Newer is commutative, associative and idempotent.
func TestNewerIsSemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMember(t), drawMember(t), drawMember(t)
		if Newer(a, b) != Newer(b, a) {
			t.Errorf("%+v, %+v: not commutative", a, b)
		}
		if Newer(Newer(a, b), c) != Newer(a, Newer(b, c)) {
			t.Errorf("%+v, %+v, %+v: not associative", a, b, c)
		}
		if Newer(a, a) != a {
			t.Errorf("%+v: not idempotent", a)
		}
	})
}

// TestMergeIgnoresOrder merges the same states in random orders, one of them twice. The result must be the newest state.
func TestMergeIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		received := rapid.SliceOfN(rapid.Custom(drawMember), 1, 8).Draw(t, "received")
		want := received[0]
		for _, m := range received {
			want = Newer(want, m)
		}
		order := rapid.Permutation(received).Draw(t, "order")
		m := New(0, Settings{Name: "self", Address: "s", IncarnationNonce: 9})
		for i, member := range append(order, received[0]) {
			if err := m.Merge(time.Duration(i), []Member{member}, "b"); err != nil {
				t.Fatal(err)
			}
		}
		if got, ok := m.Member("a"); !ok || got != want {
			t.Errorf("merged %+v, want %+v", got, want)
		}
	})
}

// testFleet runs machines in simulated time. lost reports whether a datagram between two addresses is lost.
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
	f := &testFleet{
		t:        t,
		machines: map[string]*Machine{},
		lost:     func(string, string) bool { return false },
		stopped:  map[string]bool{},
		changes:  map[string][]Change{},
	}
	for i := range n {
		f.add(fmt.Sprintf("n%d", i), fmt.Sprintf("a%d", i), uint64(i+1), 1)
	}
	return f
}

func (f *testFleet) add(name, address string, nonce, number uint64) *Machine {
	seeds := []string{"a0", "a1"}
	settings := Settings{Name: name, Address: address, Peers: seeds, Seed: 7, IncarnationNonce: nonce, IncarnationNumber: number}
	m := New(f.now, settings)
	if f.machines[address] == nil {
		f.order = append(f.order, address)
	}
	f.machines[address] = m
	return m
}

// run advances the time by d and ticks all machines that are not stopped.
func (f *testFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for _, a := range f.order {
			if !f.stopped[a] {
				f.machines[a].Tick(f.now)
				f.deliver(a)
			}
		}
	}
}

// deliver delivers the messages of the machine at address a, and the replies to them.
func (f *testFleet) deliver(a string) {
	m := f.machines[a]
	sends, changes := m.TakeOutput()
	f.changes[a] = append(f.changes[a], changes...)
	for _, s := range sends {
		f.packets++
		to := f.machines[s.To]
		if to == nil || f.stopped[s.To] || f.lost(a, s.To) {
			continue
		}
		self, ownsName := m.Self()
		if !ownsName {
			continue
		}
		if err := to.Merge(f.now, append([]Member{self}, m.Broadcasts(12, to.self)...), self.Name); err != nil {
			f.t.Error(err)
		}
		to.Receive(f.now, a, self.Name, self.ProcessIncarnation, s.Message)
		f.deliver(s.To)
	}
}

// stateOf returns the state of a member as held by the machine at an address, or numStates if it is unknown there.
func (f *testFleet) stateOf(address, name string) State {
	m, ok := f.machines[address].Member(name)
	if !ok {
		return numStates
	}
	return m.State
}

// expectState fails the test unless all running machines hold the member in the wanted state.
func (f *testFleet) expectState(name string, want State) {
	f.t.Helper()
	for _, a := range f.order {
		if self, _ := f.machines[a].Self(); !f.stopped[a] && self.Name != name {
			if got := f.stateOf(a, name); got != want {
				f.t.Errorf("at %v %s holds %s as %v, want %v", f.now, a, name, got, want)
			}
		}
	}
}

// TestJoinFailRefuteLeave starts a fleet from two seeds, stops one member and starts it again, and makes another leave.
// All members must agree on the states at each step.
func TestJoinFailRefuteLeave(t *testing.T) {
	for _, n := range []int{3, 10, 50} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newTestFleet(t, n)
			f.run(20*time.Second + time.Duration(2*n)*time.Second) // long enough for each member to probe all others
			for i := range n {
				f.expectState(fmt.Sprintf("n%d", i), Alive)
			}
			last := fmt.Sprintf("%d", n-1)
			f.stopped["a"+last] = true
			f.run(60 * time.Second)
			f.expectState("n"+last, Dead)
			f.stopped["a"+last] = false
			f.run(20 * time.Second)
			f.expectState("n"+last, Alive)
			if self, _ := f.machines["a"+last].Self(); self.Incarnation == 0 {
				t.Error("member is alive again without having raised its incarnation")
			}
			f.machines["a1"].Leave()
			f.run(10 * time.Second)
			f.expectState("n1", Left)
		})
	}
}

// TestLossCausesNoFalseDead checks that no live member is declared dead while a fifth of all messages is lost.
func TestLossCausesNoFalseDead(t *testing.T) {
	f := newTestFleet(t, 20)
	sent := 0
	f.lost = func(string, string) bool { sent++; return sent*7919%5 == 0 }
	f.run(3 * time.Minute)
	for _, a := range f.order {
		for _, c := range f.changes[a] {
			if c.Member.State == Dead {
				t.Errorf("%s declared %s dead", a, c.Member.Name)
			}
		}
	}
}

// TestPartitionHeals partitions the fleet until members consider each other dead. After the partition heals, all
// members must be alive again.
func TestPartitionHeals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		isLost func(from, to string) bool
	}{
		{"halves", func(from, to string) bool { return (from < "a5") != (to < "a5") }},
		{"single members", func(string, string) bool { return true }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestFleet(t, 10)
			f.run(20 * time.Second)
			f.lost = tt.isLost
			f.run(2 * time.Minute)
			if f.stateOf("a0", "n9") != Dead {
				t.Errorf("a0 holds n9 as %v during the partition, want it dead", f.stateOf("a0", "n9"))
			}
			f.lost = func(string, string) bool { return false }
			f.run(time.Minute)
			for i := range 10 {
				f.expectState(fmt.Sprintf("n%d", i), Alive)
			}
		})
	}
}

// TestOneWayLossRaisesLocalHealth makes a member receive all messages while all of its own are lost. The others must
// declare it dead, and it must not declare any other member dead.
func TestOneWayLossRaisesLocalHealth(t *testing.T) {
	f := newTestFleet(t, 10)
	f.run(20 * time.Second)
	f.lost = func(from, _ string) bool { return from == "a3" }
	f.run(90 * time.Second)
	f.expectState("n3", Dead)
	dead := 0
	for _, m := range f.machines["a3"].Members() {
		if m.State == Dead {
			dead++
		}
	}
	if dead > 0 {
		t.Errorf("member declared %d members dead although it receives their messages", dead)
	}
	if f.machines["a3"].LocalHealth() == 0 {
		t.Error("local health score is 0 although the member's messages are lost")
	}
	f.lost = func(string, string) bool { return false }
	f.run(30 * time.Second)
	f.expectState("n3", Alive)
}

// TestRestartIsLaterIncarnation restarts a member after its clock has stepped back. The others must see the same member
// with a later process incarnation.
func TestRestartIsLaterIncarnation(t *testing.T) {
	f := newTestFleet(t, 5)
	f.add("n4", "a4", 5, 1000)
	f.run(20 * time.Second)
	before, _ := f.machines["a0"].Member("n4")
	f.add("n4", "a4", 77, 3) // by its clock, it started before its former process
	f.run(20 * time.Second)
	after, _ := f.machines["a0"].Member("n4")
	if after.State != Alive || after.ProcessIncarnation.Compare(before.ProcessIncarnation) <= 0 || after.ProcessIncarnation.Nonce != 77 {
		t.Errorf("n4 is held as %+v, before the restart as %+v", after, before)
	}
	f.machines["a4"].MarkJoined()
	if err := f.machines["a4"].Merge(f.now, []Member{before}, "n0"); err != nil {
		t.Fatal(err)
	}
	if self, ownsName := f.machines["a4"].Self(); !ownsName || self.ProcessIncarnation != after.ProcessIncarnation {
		t.Errorf("after merging its former process, the member is %+v, owns its name: %v", self, ownsName)
	}
}

// TestDuplicateNameSupersedesOlder starts a second process under the name of a running one. The later process must take
// over the name, and the earlier one must report that it is superseded and stop sending. They must not contend for the
// name.
func TestDuplicateNameSupersedesOlder(t *testing.T) {
	f := newTestFleet(t, 5)
	f.run(20 * time.Second)
	for _, m := range f.machines {
		m.MarkJoined()
	}
	later := f.add("n4", "b4", 77, 2)
	f.run(20 * time.Second)
	later.MarkJoined()
	f.run(40 * time.Second)
	if _, ownsName := f.machines["a4"].Self(); ownsName {
		t.Error("the earlier process still owns the name")
	}
	superseded := slices.ContainsFunc(f.changes["a4"], func(c Change) bool {
		return c.Superseded && c.Member.Address == "b4"
	})
	if self, ownsName := later.Self(); !ownsName || self.Incarnation > 1 || !superseded {
		t.Errorf("later process is %+v, owns the name: %v; earlier process is superseded: %v", self, ownsName, superseded)
	}
	if m, _ := f.machines["a0"].Member("n4"); m.Address != "b4" || m.State != Alive {
		t.Errorf("n4 is held as %+v, want the process at b4 alive", m)
	}
}

// TestMessageRateIndependentOfFleetSize checks that the number of messages that a member sends per second does not grow
// with the fleet.
func TestMessageRateIndependentOfFleetSize(t *testing.T) {
	perSecond := func(n int) float64 {
		f := newTestFleet(t, n)
		f.run(30 * time.Second)
		before := f.packets
		f.run(20 * time.Second)
		return float64(f.packets-before) / 20 / float64(n)
	}
	if small, large := perSecond(10), perSecond(100); large > 1.2*small || large > 5 {
		t.Errorf("%.1f messages per second and member with 10 members, %.1f with 100", small, large)
	}
}

// FuzzMerge merges and receives arbitrary input. The machine must never panic and must reject invalid members.
func FuzzMerge(f *testing.F) {
	f.Add("a", "x", uint64(1), uint64(2), uint32(3), uint8(1), uint8(1), "self")
	f.Add("self", "", uint64(0), uint64(0), uint32(0), uint8(9), uint8(3), "")
	f.Fuzz(func(t *testing.T, name, address string, number, nonce uint64, incarnation uint32, state, kind uint8,
		target string,
	) {
		process := ProcessIncarnation{number, nonce}
		m := New(0, Settings{Name: "self", Address: "s", IncarnationNonce: 9})
		err := m.Merge(1, []Member{{name, address, process, incarnation, State(state)}}, name)
		if err == nil && (name == "" || state >= uint8(numStates)) {
			t.Errorf("%q in state %d was accepted", name, state)
		}
		if err != nil && !errors.Is(err, ErrInvalidMember) {
			t.Errorf("error %v does not wrap ErrInvalidMember", err)
		}
		message := Message{Kind: MessageKind(kind), Seq: 1, Target: target, TargetAddress: address}
		m.Receive(2, address, name, process, message)
		for i := range 20 {
			m.Tick(time.Duration(i) * time.Second)
			m.TakeOutput()
		}
		if len(m.peers) > 1 {
			t.Errorf("machine holds %d members after receiving one", len(m.peers))
		}
	})
}

// TestRestartAfterClockStep restarts a member after a step of the wall clock, and merges the state of its former
// process only after the member has joined. The member must keep its name if the former process has ended, whatever its number.
// A present process at another address with a higher number must take over the name.
func TestRestartAfterClockStep(t *testing.T) {
	const formerNumber = 10_000_000 // number of the former process: its start in Unix milliseconds
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		for _, tt := range []struct {
			name     string
			former   Member
			ownsName bool
		}{
			{"alive, at the same address", Member{Address: "a0", State: Alive}, true},
			{"suspect, at the same address", Member{Address: "a0", State: Suspect, Incarnation: 3}, true},
			{"dead, at another address", Member{Address: "b0", State: Dead}, true},
			{"left, at another address", Member{Address: "b0", State: Left}, true},
			{"alive, at another address", Member{Address: "b0", State: Alive}, step > 0},
		} {
			t.Run(fmt.Sprintf("%s, %v", tt.name, step), func(t *testing.T) {
				number := uint64(formerNumber + (time.Second + step).Milliseconds())
				m := New(0, Settings{Name: "n0", Address: "a0", Seed: 7, IncarnationNonce: 2, IncarnationNumber: number})
				m.MarkJoined()
				tt.former.Name, tt.former.ProcessIncarnation = "n0", ProcessIncarnation{Number: formerNumber, Nonce: 1}
				if err := m.Merge(1, []Member{tt.former}, "n1"); err != nil {
					t.Fatal(err)
				}
				self, ownsName := m.Self()
				if ownsName != tt.ownsName || ownsName && self.ProcessIncarnation.Compare(tt.former.ProcessIncarnation) <= 0 || self.ProcessIncarnation.Nonce != 2 {
					t.Errorf("member is %+v, owns its name: %v, want %v", self, ownsName, tt.ownsName)
				}
			})
		}
	}
}
