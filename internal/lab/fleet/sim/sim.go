// Package sim plays a fault plan with sidecars' parts in the fleet stepped in simulated time, and records what the referee
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
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
	"milletramp.example/milletramp/internal/lab/fleet/referee"
)

// Options say how a plan is played.
type Options struct {
	SeedPeers           int           // sidecars that each is told of; the others are found
	SettleTime          time.Duration // behind the last fault, until copies must be equal
	ObservationInterval time.Duration // between two looks at a sidecar; 0: only at the end
	// Evidence has each sidecar write of a server this often; 0: never.
	EvidenceInterval time.Duration
}

const (
	tickInterval    = 50 * time.Millisecond
	maxLinkLatency  = 2 * time.Millisecond // a message takes on a link that is well
	fetchTimeout    = time.Second          // a fetch is waited for
	wallClockOrigin = 1_700_000_000_000    // Unix milliseconds at the plan's start
	monotonicOrigin = time.Hour            // of the sidecars' monotonic clocks
	maxPending      = 256                  // datagrams that wait for a process that stands still
)

// Sidecar is one sidecar of the played fleet.
type Sidecar struct {
	Name        string
	Index       int
	Machine     *gossip.Machine // nil: killed
	Incarnation uint64          // counts up
	fleet       *Fleet
	pending     []func()
	rowVersions map[string]uint64 // written in this life, by server
	epoch       int
	address     string
	predecessor *Sidecar // the process that this one replaces, as long as it lives; nil: there is none
}

// Fleet is a fleet under a plan.
type Fleet struct {
	Plan     faultplan.Plan
	Sidecars []*Sidecar
	Record   referee.Record
	// Lost and Sent count datagrams.
	Lost, Sent int

	options     Options
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	scheduled   int
	linkFreeAt  map[[2]int]time.Duration // when a narrow link is free again
	deliveredAt map[string]map[string]time.Duration
	callDots    map[string]replication.Dot // by call
	processes   map[string]*Sidecar        // by address
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New returns a fleet that has not begun.
func New(plan faultplan.Plan, options Options) *Fleet {
	fleet := &Fleet{Plan: plan, options: options, rng: rand.New(rand.NewPCG(plan.Seed, 0x776f726c64)), linkFreeAt: map[[2]int]time.Duration{},
		deliveredAt: map[string]map[string]time.Duration{}, callDots: map[string]replication.Dot{}, processes: map[string]*Sidecar{}}
	fleet.Record.Lost = map[string]bool{}
	for i := range plan.Sidecars {
		s := &Sidecar{Name: fmt.Sprintf("n%d", i), Index: i, fleet: fleet, address: sidecarAddress(i)}
		fleet.Sidecars = append(fleet.Sidecars, s)
		fleet.processes[s.address] = s
		fleet.schedule(time.Duration(fleet.rng.Int64N(int64(time.Second))), s.start)
		if options.ObservationInterval > 0 {
			fleet.schedule(options.ObservationInterval, s.observePeriodically)
		}
		if options.EvidenceInterval > 0 {
			fleet.schedule(options.EvidenceInterval, s.writeEvidence)
		}
	}
	for _, fault := range plan.Faults {
		for _, i := range fault.From {
			s := fleet.Sidecars[i]
			switch fault.Kind {
			case faultplan.Kill:
				fleet.schedule(fault.At, s.kill)
				fleet.schedule(fault.At+fault.Duration, s.start)
			case faultplan.Suspend:
				fleet.schedule(fault.At+fault.Duration, s.resume)
			case faultplan.Upgrade:
				fleet.schedule(fault.At, func() { s.upgrade(fault.Duration) })
			}
		}
	}
	for _, call := range plan.Calls {
		fleet.schedule(call.At, func() { fleet.Sidecars[call.Sidecar].setAdminDown(serverName(call.Server), call.Down) })
	}
	return fleet
}

func sidecarAddress(i int) string { return fmt.Sprintf("a%d", i) }

func serverName(i int) string { return fmt.Sprintf("s-%d", i) }

func (f *Fleet) schedule(at time.Duration, run func()) {
	f.scheduled++
	heap.Push(&f.events, event{at, f.scheduled, run})
}

// Run plays to the plan's end and the time to settle behind it, and returns the record.
func (f *Fleet) Run() referee.Record {
	end := max(f.Plan.End(), f.Plan.Length) + f.options.SettleTime
	f.RunUntil(end)
	f.Record.Calm, f.Record.Within, f.Record.Every = end-f.options.SettleTime, f.options.SettleTime, f.options.ObservationInterval
	for _, s := range f.Sidecars {
		f.Record.Sidecars = append(f.Record.Sidecars, s.Name)
		s.observe()
	}
	f.Record.Could = func(ack referee.Ack, sidecar string, _ time.Duration) (time.Duration, bool) {
		at, ok := f.deliveredAt[ack.ID][sidecar]
		return at, ok
	}
	return f.Record
}

// RunUntil plays up to a time.
func (f *Fleet) RunUntil(end time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= end {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// Now is the time of the plan.
func (f *Fleet) Now() time.Duration { return f.now }

// isSuspended tells whether a process stands still.
func (s *Sidecar) isSuspended() bool {
	return slices.ContainsFunc(s.fleet.Plan.Faults, func(fault faultplan.Fault) bool {
		return fault.Kind == faultplan.Suspend && s.fleet.now >= fault.At && s.fleet.now < fault.At+fault.Duration && slices.Contains(fault.From, s.Index)
	})
}

// isKilled tells whether a process is down by the plan.
func (s *Sidecar) isKilled() bool {
	return slices.ContainsFunc(s.fleet.Plan.Faults, func(fault faultplan.Fault) bool {
		return fault.Kind == faultplan.Kill && s.fleet.now >= fault.At && s.fleet.now < fault.At+fault.Duration && slices.Contains(fault.From, s.Index)
	})
}

// Clock is the sidecar's time.
func (s *Sidecar) Clock() replication.Now {
	now := s.fleet.now
	return replication.Now{Time: monotonicOrigin + now, Wall: wallClockOrigin + (now + s.fleet.Plan.ClockOffset(now, s.Index)).Milliseconds()}
}

func (s *Sidecar) start() {
	if s.Machine != nil || s.isKilled() {
		return
	}
	s.Incarnation++
	s.startProcess(nil)
}

// upgrade has another process take this one's place. The two overlap for a time.
func (s *Sidecar) upgrade(overlap time.Duration) {
	fleet := s.fleet
	if s.Machine == nil || s.predecessor != nil {
		return
	}
	predecessor := *s
	s.predecessor, s.pending = &predecessor, nil
	fleet.processes[predecessor.address] = s.predecessor
	if s.address = sidecarAddress(s.Index); s.address == predecessor.address {
		s.address += "b"
	}
	fleet.processes[s.address] = s
	s.startProcess([]string{predecessor.address})
	s.predecessor.tick(s.predecessor.epoch)
	fleet.schedule(fleet.now+overlap, func() {
		if s.predecessor == &predecessor && predecessor.Machine != nil {
			predecessor.Machine.Leave(predecessor.Clock())
			predecessor.performActions()
		}
		if predecessor.Machine = nil; s.predecessor == &predecessor {
			s.predecessor = nil
		}
	})
}

// startProcess starts a process, which takes the place of those at some addresses.
func (s *Sidecar) startProcess(predecessors []string) {
	fleet := s.fleet
	var peers []string
	for i := range min(fleet.options.SeedPeers, fleet.Plan.Sidecars) {
		peers = append(peers, sidecarAddress(i))
	}
	s.epoch++
	s.rowVersions = map[string]uint64{}
	now := s.Clock()
	s.Machine = gossip.New(now, gossip.Settings{Label: "lab", Predecessors: predecessors, Membership: membership.Settings{Name: s.Name, Address: s.address,
		Peers: peers, Seed: fleet.Plan.Seed, LifeNonce: fleet.rng.Uint64() | 1, LifeNumber: uint64(max(now.Wall, 1))}}, nil)
	s.tick(s.epoch)
}

func (s *Sidecar) kill() {
	if s.Machine == nil {
		return
	}
	s.Machine, s.pending = nil, nil
	if s.predecessor != nil {
		s.predecessor.Machine = nil
		s.predecessor = nil
	}
	for _, ack := range s.fleet.Record.Acks {
		dot := s.fleet.callDots[ack.ID]
		if !slices.ContainsFunc(s.fleet.Sidecars, func(other *Sidecar) bool { return other.hasCall(ack.Server, dot) }) {
			s.fleet.Record.Lost[ack.ID] = true
		}
	}
}

// hasCall tells whether the sidecar has seen a call.
func (s *Sidecar) hasCall(server string, dot replication.Dot) bool {
	if s.Machine == nil {
		return false
	}
	state, _ := s.Machine.Store.AdminState(server)
	return slices.ContainsFunc(state.Seen, func(seen replication.Dot) bool { return seen.Nonce == dot.Nonce && seen.Count >= dot.Count })
}

func (s *Sidecar) tick(epoch int) {
	if s.Machine == nil || s.epoch != epoch {
		return
	}
	if !s.isSuspended() {
		s.Machine.Tick(s.Clock())
		s.performActions()
	}
	s.fleet.schedule(s.fleet.now+tickInterval, func() { s.tick(epoch) })
}

// execute has the process do something, or once it goes on.
func (s *Sidecar) execute(action func()) {
	switch {
	case s.Machine == nil:
	case s.isSuspended():
		if len(s.pending) < maxPending {
			s.pending = append(s.pending, action)
		}
	default:
		action()
		s.performActions()
	}
}

// resume goes on with what has waited.
func (s *Sidecar) resume() {
	pending := s.pending
	s.pending = nil
	for _, action := range pending {
		s.execute(action)
	}
	if s.predecessor != nil {
		s.predecessor.resume()
	}
}

// performActions carries out what the machine asks for.
func (s *Sidecar) performActions() {
	fleet := s.fleet
	actions := s.Machine.TakeActions()
	for _, datagram := range actions.Send {
		receiver := fleet.processes[datagram.To]
		if receiver == nil {
			continue
		}
		condition := fleet.Plan.LinkCondition(fleet.now, s.Index, receiver.Index)
		fleet.Sent++
		if condition.Cut || fleet.rng.Float64() < condition.Drop {
			fleet.Lost++
			continue
		}
		copies := 1
		if fleet.rng.Float64() < condition.Duplicate {
			copies = 2
		}
		for range copies {
			fleet.transmit(s, receiver, condition, datagram.Payload)
		}
	}
	for _, from := range actions.Fetch {
		s.fetchSnapshot(from)
	}
	if len(actions.Updated) > 0 {
		s.recordDeliveries()
	}
}

// latency is how long a message takes.
func (f *Fleet) latency(condition faultplan.LinkCondition) time.Duration {
	return time.Duration(f.rng.Int64N(int64(maxLinkLatency))) + time.Duration(f.rng.Float64()*float64(condition.Delay))
}

func (f *Fleet) transmit(sender, receiver *Sidecar, condition faultplan.LinkCondition, payload []byte) {
	at, senderAddress := f.now+f.latency(condition), sender.address
	if condition.Rate > 0 {
		pair := [2]int{sender.Index, receiver.Index}
		linkFree := max(f.linkFreeAt[pair], f.now)
		if linkFree-f.now > time.Second { // its queue is full
			f.Lost++
			return
		}
		f.linkFreeAt[pair] = linkFree + time.Duration(float64(len(payload))/condition.Rate*float64(time.Second))
		at = max(at, f.linkFreeAt[pair])
	}
	f.schedule(at, func() {
		receiver.execute(func() {
			_ = receiver.Machine.Receive(receiver.Clock(), senderAddress, payload) // what it thinks of it is in its figures
		})
	})
}

// fetchSnapshot gets a snapshot from an address, over the links both ways.
func (s *Sidecar) fetchSnapshot(address string) {
	fleet, epoch, done := s.fleet, s.epoch, false
	finish := func(snapshot []byte, err error) {
		if done {
			return
		}
		done = true
		if s.epoch == epoch {
			s.execute(func() { _ = s.Machine.ReceiveSnapshot(s.Clock(), address, snapshot, err) })
		}
	}
	fleet.schedule(fleet.now+fetchTimeout, func() { finish(nil, errors.New("no answer")) })
	source := fleet.processes[address]
	if source == nil {
		return
	}
	// A connection outlasts lost packets; cut links it does not.
	request, response := fleet.Plan.LinkCondition(fleet.now, s.Index, source.Index), fleet.Plan.LinkCondition(fleet.now, source.Index, s.Index)
	if request.Cut || response.Cut {
		return
	}
	fleet.schedule(fleet.now+fleet.latency(request), func() {
		source.execute(func() {
			snapshot, err := source.Machine.EncodeSnapshot(source.Clock())
			if err == nil && !fleet.Plan.LinkCondition(fleet.now, source.Index, s.Index).Cut {
				fleet.schedule(fleet.now+fleet.latency(response), func() { finish(snapshot, nil) })
			}
		})
	})
}

// setAdminDown is the staff's: the sidecar's yes is on record.
func (s *Sidecar) setAdminDown(server string, down bool) {
	s.execute(func() {
		known := []string{}
		for _, call := range s.standingCalls(server) {
			known = append(known, call.ID)
		}
		key, err := s.Machine.Store.RecordCall(s.Clock(), server, down)
		if err != nil {
			return // a no
		}
		s.Machine.Broadcast(key)
		state, _ := s.Machine.Store.AdminState(server)
		id := callID(server, state.Standing[0])
		s.fleet.callDots[id] = state.Standing[0].Dot
		s.fleet.Record.Acks = append(s.fleet.Record.Acks, referee.Ack{At: s.fleet.now, Server: server, ID: id, Out: down, Knew: known})
		s.recordDeliveries()
	})
}

// callID names a call: a life counts its calls for each server apart.
func callID(server string, call replication.OperatorCall) string {
	return server + "/" + call.Dot.String()
}

func (s *Sidecar) standingCalls(server string) (calls []referee.Standing) {
	state, _ := s.Machine.Store.AdminState(server)
	for _, call := range state.Standing {
		calls = append(calls, referee.Standing{ID: callID(server, call), Out: call.Down})
	}
	return calls
}

// recordDeliveries notes which calls have reached this sidecar.
func (s *Sidecar) recordDeliveries() {
	for i := range s.fleet.Plan.Servers {
		for _, call := range s.standingCalls(serverName(i)) {
			if s.fleet.deliveredAt[call.ID] == nil {
				s.fleet.deliveredAt[call.ID] = map[string]time.Duration{}
			}
			if _, ok := s.fleet.deliveredAt[call.ID][s.Name]; !ok {
				s.fleet.deliveredAt[call.ID][s.Name] = s.fleet.now
			}
		}
	}
}

// DeliveredAt tells when a call reached each sidecar.
func (f *Fleet) DeliveredAt(id string) map[string]time.Duration { return f.deliveredAt[id] }

// writeEvidence has the sidecar write its own row on a server.
func (s *Sidecar) writeEvidence() {
	fleet := s.fleet
	fleet.schedule(fleet.now+fleet.options.EvidenceInterval, s.writeEvidence)
	s.execute(func() {
		if _, isMember := s.Machine.Members.Self(); !isMember || fleet.now > max(fleet.Plan.End(), fleet.Plan.Length) {
			return
		}
		server := serverName(fleet.rng.IntN(fleet.Plan.Servers))
		key, err := s.Machine.Store.WriteRow(s.Clock(), server, 0, replication.Evidence{Tries: 4, Silent: 1})
		if err != nil {
			return
		}
		s.Machine.Broadcast(key)
		s.rowVersions[server]++ // counted here, whatever the sidecar makes of it
		self, _ := s.Machine.Members.Self()
		fleet.Record.Wrote = append(fleet.Record.Wrote, referee.Row{Owner: s.Name, Life: self.Life.Number, Server: server, Version: s.rowVersions[server]})
	})
}

func (s *Sidecar) observePeriodically() {
	s.fleet.schedule(s.fleet.now+s.fleet.options.ObservationInterval, s.observePeriodically)
	if s.Machine != nil && !s.isSuspended() {
		s.observe()
	}
}

// observe puts on record what the sidecar holds.
func (s *Sidecar) observe() {
	if s.Machine == nil {
		return
	}
	phase, _ := s.Machine.Phase()
	if phase == gossip.CatchingUp && s.predecessor != nil { // the staff sees the former one's console until the next one says yes
		s.predecessor.observe()
		return
	}
	checksumsByKind := s.Machine.Store.Digest().PerKind()
	observation := referee.Show{At: s.fleet.now, Sidecar: s.Name, Life: s.Incarnation, Ready: phase == gossip.Synced || phase == gossip.Bootstrapped,
		Calls: map[string][]referee.Standing{}, Out: s.Machine.Store.AdminDown()}
	var checksums []string
	for kind, sum := range checksumsByKind {
		checksums = append(checksums, fmt.Sprintf("%v %x", replication.Kind(kind), sum))
	}
	observation.Sum = strings.Join(checksums, ", ")
	for i := range s.fleet.Plan.Servers {
		if calls := s.standingCalls(serverName(i)); len(calls) > 0 {
			observation.Calls[serverName(i)] = calls
		}
	}
	for _, server := range s.Machine.Store.ServersWithEvidence() {
		for _, row := range s.Machine.Store.Rows(s.Clock(), server) {
			observation.Rows = append(observation.Rows, referee.Row{Owner: row.Owner, Life: row.Life.Number, Server: row.Server, Version: row.Version})
		}
	}
	s.fleet.Record.Shows = append(s.fleet.Record.Shows, observation)
}
