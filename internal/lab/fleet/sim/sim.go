// Package sim plays a fault plan with sidecars' parts in the fleet stepped in simulated time, and records what the checker
// needs. The same plan and seed give the same record.
package sim

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

// Options say how a plan is played.
type Options struct {
	Peers  int           // sidecars that each is told of; the others are found
	Settle time.Duration // behind the last fault, until copies must be equal
	Show   time.Duration // between two looks at a sidecar; 0: only at the end
	// Evidence has each sidecar write of a server this often; 0: never.
	Evidence time.Duration
}

const (
	tickEvery  = 50 * time.Millisecond
	wayMost    = 2 * time.Millisecond // a message takes on a link that is well
	fetchMost  = time.Second          // a fetch is waited for
	wallOrigin = 1_700_000_000_000    // Unix milliseconds at the plan's start
	monoOrigin = time.Hour            // of the sidecars' monotonic clocks
	mostQueued = 256                  // datagrams that wait for a process that stands still
)

// Sidecar is one sidecar of the played fleet.
type Sidecar struct {
	Name    string
	Index   int
	Machine *gossip.Machine // nil: killed
	Life    uint64          // counts up
	world   *World
	queued  []func()
	rows    map[string]uint64 // written in this life, by server
	epoch   int
	address string
	former  *Sidecar // the process that this one replaces, as long as it lives; nil: there is none
}

// World is a fleet under a plan.
type World struct {
	Plan     faultplan.Plan
	Sidecars []*Sidecar
	Record   checker.Record
	// Lost and Sent count datagrams.
	Lost, Sent int

	set       Options
	rng       *rand.Rand
	now       time.Duration
	queue     events
	order     int
	widths    map[[2]int]time.Duration // when a narrow link is free again
	reached   map[string]map[string]time.Duration
	dots      map[string]replication.Dot // by call
	processes map[string]*Sidecar        // by address
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New returns a fleet that has not begun.
func New(p faultplan.Plan, set Options) *World {
	w := &World{Plan: p, set: set, rng: rand.New(rand.NewPCG(p.Seed, 0x776f726c64)), widths: map[[2]int]time.Duration{},
		reached: map[string]map[string]time.Duration{}, dots: map[string]replication.Dot{}, processes: map[string]*Sidecar{}}
	w.Record.LostCalls = map[string]bool{}
	for i := range p.Sidecars {
		s := &Sidecar{Name: fmt.Sprintf("n%d", i), Index: i, world: w, address: address(i)}
		w.Sidecars = append(w.Sidecars, s)
		w.processes[s.address] = s
		w.at(time.Duration(w.rng.Int64N(int64(time.Second))), s.start)
		if set.Show > 0 {
			w.at(set.Show, s.look)
		}
		if set.Evidence > 0 {
			w.at(set.Evidence, s.see)
		}
	}
	for _, f := range p.Faults {
		for _, i := range f.From {
			s := w.Sidecars[i]
			switch f.Kind {
			case faultplan.Kill:
				w.at(f.At, s.kill)
				w.at(f.At+f.Duration, s.start)
			case faultplan.Suspend:
				w.at(f.At+f.Duration, s.wake)
			case faultplan.Upgrade:
				w.at(f.At, func() { s.upgrade(f.Duration) })
			}
		}
	}
	for _, c := range p.Calls {
		w.at(c.At, func() { w.Sidecars[c.Sidecar].call(server(c.Server), c.Down) })
	}
	return w
}

func address(i int) string { return fmt.Sprintf("a%d", i) }

func server(i int) string { return fmt.Sprintf("s-%d", i) }

func (w *World) at(when time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{when, w.order, do})
}

// Run plays to the plan's end and the time to settle behind it, and returns the record.
func (w *World) Run() checker.Record {
	end := max(w.Plan.End(), w.Plan.Length) + w.set.Settle
	w.RunUntil(end)
	w.Record.FaultsEnd, w.Record.ConvergenceTime, w.Record.SnapshotInterval = end-w.set.Settle, w.set.Settle, w.set.Show
	for _, s := range w.Sidecars {
		w.Record.Sidecars = append(w.Record.Sidecars, s.Name)
		s.show()
	}
	w.Record.KnownSince = func(a checker.OperatorCall, sidecar string, _ time.Duration) (time.Duration, bool) {
		at, ok := w.reached[a.ID][sidecar]
		return at, ok
	}
	return w.Record
}

// RunUntil plays up to a time.
func (w *World) RunUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// Now is the time of the plan.
func (w *World) Now() time.Duration { return w.now }

// stopped tells whether a process stands still.
func (s *Sidecar) stopped() bool {
	return slices.ContainsFunc(s.world.Plan.Faults, func(f faultplan.Fault) bool {
		return f.Kind == faultplan.Suspend && s.world.now >= f.At && s.world.now < f.At+f.Duration && slices.Contains(f.From, s.Index)
	})
}

// killed tells whether a process is down by the plan.
func (s *Sidecar) killed() bool {
	return slices.ContainsFunc(s.world.Plan.Faults, func(f faultplan.Fault) bool {
		return f.Kind == faultplan.Kill && s.world.now >= f.At && s.world.now < f.At+f.Duration && slices.Contains(f.From, s.Index)
	})
}

// Clock is the sidecar's time.
func (s *Sidecar) Clock() replication.Now {
	now := s.world.now
	return replication.Now{Time: monoOrigin + now, Wall: wallOrigin + (now + s.world.Plan.ClockOffset(now, s.Index)).Milliseconds()}
}

func (s *Sidecar) start() {
	if s.Machine != nil || s.killed() {
		return
	}
	s.Life++
	s.begin(nil)
}

// upgrade has another process take this one's place. The two overlap for a time.
func (s *Sidecar) upgrade(overlap time.Duration) {
	w := s.world
	if s.Machine == nil || s.former != nil {
		return
	}
	former := *s
	s.former, s.queued = &former, nil
	w.processes[former.address] = s.former
	if s.address = address(s.Index); s.address == former.address {
		s.address += "b"
	}
	w.processes[s.address] = s
	s.begin([]string{former.address})
	s.former.tick(s.former.epoch)
	w.at(w.now+overlap, func() {
		if s.former == &former && former.Machine != nil {
			former.Machine.Leave(former.Clock())
			former.act()
		}
		if former.Machine = nil; s.former == &former {
			s.former = nil
		}
	})
}

// begin starts a process, which takes the place of those at some addresses.
func (s *Sidecar) begin(before []string) {
	w := s.world
	var peers []string
	for i := range min(w.set.Peers, w.Plan.Sidecars) {
		peers = append(peers, address(i))
	}
	s.epoch++
	s.rows = map[string]uint64{}
	now := s.Clock()
	s.Machine = gossip.New(now, gossip.Settings{Label: "lab", Predecessors: before, Membership: membership.Settings{Name: s.Name, Address: s.address,
		Peers: peers, Seed: w.Plan.Seed, LifeNonce: w.rng.Uint64() | 1, LifeNumber: uint64(max(now.Wall, 1))}}, nil)
	s.tick(s.epoch)
}

func (s *Sidecar) kill() {
	if s.Machine == nil {
		return
	}
	s.Machine, s.queued = nil, nil
	if s.former != nil {
		s.former.Machine = nil
		s.former = nil
	}
	for _, a := range s.world.Record.OperatorCalls {
		dot := s.world.dots[a.ID]
		if !slices.ContainsFunc(s.world.Sidecars, func(o *Sidecar) bool { return o.has(a.Server, dot) }) {
			s.world.Record.LostCalls[a.ID] = true
		}
	}
}

// has tells whether the sidecar has seen a call.
func (s *Sidecar) has(server string, d replication.Dot) bool {
	if s.Machine == nil {
		return false
	}
	h, _ := s.Machine.Store.AdminState(server)
	return slices.ContainsFunc(h.Seen, func(seen replication.Dot) bool { return seen.Nonce == d.Nonce && seen.Count >= d.Count })
}

func (s *Sidecar) tick(epoch int) {
	if s.Machine == nil || s.epoch != epoch {
		return
	}
	if !s.stopped() {
		s.Machine.Tick(s.Clock())
		s.act()
	}
	s.world.at(s.world.now+tickEvery, func() { s.tick(epoch) })
}

// run has the process do something, or once it goes on.
func (s *Sidecar) run(do func()) {
	switch {
	case s.Machine == nil:
	case s.stopped():
		if len(s.queued) < mostQueued {
			s.queued = append(s.queued, do)
		}
	default:
		do()
		s.act()
	}
}

// wake goes on with what has waited.
func (s *Sidecar) wake() {
	queued := s.queued
	s.queued = nil
	for _, do := range queued {
		s.run(do)
	}
	if s.former != nil {
		s.former.wake()
	}
}

// act carries out what the machine asks for.
func (s *Sidecar) act() {
	w := s.world
	out := s.Machine.TakeActions()
	for _, d := range out.Send {
		to := w.processes[d.To]
		if to == nil {
			continue
		}
		l := w.Plan.LinkCondition(w.now, s.Index, to.Index)
		w.Sent++
		if l.Cut || w.rng.Float64() < l.Drop {
			w.Lost++
			continue
		}
		copies := 1
		if w.rng.Float64() < l.Duplicate {
			copies = 2
		}
		for range copies {
			w.carry(s, to, l, d.Payload)
		}
	}
	for _, from := range out.Fetch {
		s.fetch(from)
	}
	if len(out.Updated) > 0 {
		s.knows()
	}
}

// way is how long a message takes.
func (w *World) way(l faultplan.LinkCondition) time.Duration {
	return time.Duration(w.rng.Int64N(int64(wayMost))) + time.Duration(w.rng.Float64()*float64(l.Delay))
}

func (w *World) carry(from, to *Sidecar, l faultplan.LinkCondition, text []byte) {
	at, sender := w.now+w.way(l), from.address
	if l.Rate > 0 {
		pair := [2]int{from.Index, to.Index}
		free := max(w.widths[pair], w.now)
		if free-w.now > time.Second { // its queue is full
			w.Lost++
			return
		}
		w.widths[pair] = free + time.Duration(float64(len(text))/l.Rate*float64(time.Second))
		at = max(at, w.widths[pair])
	}
	w.at(at, func() {
		to.run(func() {
			_ = to.Machine.Receive(to.Clock(), sender, text) // what it thinks of it is in its figures
		})
	})
}

// fetch gets a snapshot from an address, over the links both ways.
func (s *Sidecar) fetch(from string) {
	w, epoch, done := s.world, s.epoch, false
	finish := func(text []byte, failed error) {
		if done {
			return
		}
		done = true
		if s.epoch == epoch {
			s.run(func() { _ = s.Machine.ReceiveSnapshot(s.Clock(), from, text, failed) })
		}
	}
	w.at(w.now+fetchMost, func() { finish(nil, errors.New("no answer")) })
	o := w.processes[from]
	if o == nil {
		return
	}
	// A connection outlasts lost packets; cut links it does not.
	there, back := w.Plan.LinkCondition(w.now, s.Index, o.Index), w.Plan.LinkCondition(w.now, o.Index, s.Index)
	if there.Cut || back.Cut {
		return
	}
	w.at(w.now+w.way(there), func() {
		o.run(func() {
			text, err := o.Machine.EncodeSnapshot(o.Clock())
			if err == nil && !w.Plan.LinkCondition(w.now, o.Index, s.Index).Cut {
				w.at(w.now+w.way(back), func() { finish(text, nil) })
			}
		})
	})
}

// call is the staff's: the sidecar's yes is on record.
func (s *Sidecar) call(server string, out bool) {
	s.run(func() {
		knew := []string{}
		for _, c := range s.standing(server) {
			knew = append(knew, c.ID)
		}
		key, err := s.Machine.Store.RecordCall(s.Clock(), server, out)
		if err != nil {
			return // a no
		}
		s.Machine.Broadcast(key)
		h, _ := s.Machine.Store.AdminState(server)
		id := callID(server, h.Standing[0])
		s.world.dots[id] = h.Standing[0].Dot
		s.world.Record.OperatorCalls = append(s.world.Record.OperatorCalls, checker.OperatorCall{At: s.world.now, Server: server, ID: id, Down: out, KnownCalls: knew})
		s.knows()
	})
}

// callID names a call: a life counts its calls for each server apart.
func callID(server string, c replication.OperatorCall) string { return server + "/" + c.Dot.String() }

func (s *Sidecar) standing(server string) (calls []checker.ActiveCall) {
	h, _ := s.Machine.Store.AdminState(server)
	for _, c := range h.Standing {
		calls = append(calls, checker.ActiveCall{ID: callID(server, c), Down: c.Down})
	}
	return calls
}

// knows notes which calls have reached this sidecar.
func (s *Sidecar) knows() {
	for i := range s.world.Plan.Servers {
		for _, c := range s.standing(server(i)) {
			if s.world.reached[c.ID] == nil {
				s.world.reached[c.ID] = map[string]time.Duration{}
			}
			if _, ok := s.world.reached[c.ID][s.Name]; !ok {
				s.world.reached[c.ID][s.Name] = s.world.now
			}
		}
	}
}

// Reached tells when a call reached each sidecar.
func (w *World) Reached(id string) map[string]time.Duration { return w.reached[id] }

// see has the sidecar write its own row on a server.
func (s *Sidecar) see() {
	w := s.world
	w.at(w.now+w.set.Evidence, s.see)
	s.run(func() {
		if _, bears := s.Machine.Members.Self(); !bears || w.now > max(w.Plan.End(), w.Plan.Length) {
			return
		}
		on := server(w.rng.IntN(w.Plan.Servers))
		key, err := s.Machine.Store.WriteRow(s.Clock(), on, 0, replication.Evidence{Tries: 4, Silent: 1})
		if err != nil {
			return
		}
		s.Machine.Broadcast(key)
		s.rows[on]++ // counted here, whatever the sidecar makes of it
		self, _ := s.Machine.Members.Self()
		w.Record.WrittenRows = append(w.Record.WrittenRows, checker.Row{Owner: s.Name, Incarnation: self.Life.Number, Server: on, Version: s.rows[on]})
	})
}

func (s *Sidecar) look() {
	s.world.at(s.world.now+s.world.set.Show, s.look)
	if s.Machine != nil && !s.stopped() {
		s.show()
	}
}

// show puts on record what the sidecar holds.
func (s *Sidecar) show() {
	if s.Machine == nil {
		return
	}
	phase, _ := s.Machine.Phase()
	if phase == gossip.CatchingUp && s.former != nil { // the staff sees the former one's console until the next one says yes
		s.former.show()
		return
	}
	sums := s.Machine.Store.Digest().PerKind()
	show := checker.Snapshot{At: s.world.now, Sidecar: s.Name, Incarnation: s.Life, Ready: phase == gossip.Synced || phase == gossip.Bootstrapped,
		Calls: map[string][]checker.ActiveCall{}, AdminDown: s.Machine.Store.AdminDown()}
	var parts []string
	for k, sum := range sums {
		parts = append(parts, fmt.Sprintf("%v %x", replication.Kind(k), sum))
	}
	show.Checksum = strings.Join(parts, ", ")
	for i := range s.world.Plan.Servers {
		if calls := s.standing(server(i)); len(calls) > 0 {
			show.Calls[server(i)] = calls
		}
	}
	for _, suspect := range s.Machine.Store.ServersWithEvidence() {
		for _, r := range s.Machine.Store.Rows(s.Clock(), suspect) {
			show.Rows = append(show.Rows, checker.Row{Owner: r.Owner, Incarnation: r.Life.Number, Server: r.Server, Version: r.Version})
		}
	}
	s.world.Record.Snapshots = append(s.world.Record.Snapshots, show)
}
