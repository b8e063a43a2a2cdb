// Package fleet is a sidecar's part in the fleet: it owns the machine that decides (gossip), the sockets (link), and the
// one goroutine in which both meet. Where the operator names no fleet there is none of it.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/policyagent"
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/fleet/transport"
	"milletramp.example/milletramp/internal/fsys"
	"milletramp.example/milletramp/internal/wallclock"
)

const (
	tickInterval    = 50 * time.Millisecond
	maxQueuedEvents = 256 // datagrams that wait for the loop; more are lost, as on the way
)

// Fleet is a sidecar's part in the fleet.
type Fleet struct {
	log         *slog.Logger
	transport   *transport.Transport
	startedAt   time.Time
	clockOffset time.Duration // by which the clock of day is taken to be off
	callbacks   Callbacks

	events     chan func(now replication.Now)
	goroutines sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
	agent      *policyagent.Agent // nil: the fleet has no policy
	address    string             // that the others are told
	caughtUp   chan struct{}      // closed once it has caught up for the first time

	// Of the loop.
	machine            *gossip.Machine
	pendingConfirms    map[replication.Key][]chan gossip.Confirmation
	adminDown          []string
	notifyAdminDown    bool // Out is to be called though out has not changed
	recorder           *failuredetector.Recorder
	suspicionsReported bool             // some server is in doubt, as was told
	bootTimes          map[string]int64 // of the own list
	hasCaughtUp        bool             // ready is closed
	servers            []Server
	serversMarkedAt    time.Duration            // when the list was last gone through
	suspectedSince     map[string]time.Duration // servers in doubt, and since when without a break
	saver              *snapshotSaver           // nil: the operator names no folder
	raiseIncarnation   func(life uint64)        // tells the part in the policy the life that membership has come to; nil: there is none
}

// Server is an entry of the own list.
type Server struct {
	ID   string
	Boot int64 // its last start in Unix milliseconds; 0: long ago
}

// Callbacks is what the fleet tells its sidecar. Each is called from the one goroutine of the fleet and must not wait for it.
type Callbacks struct {
	// Out is told the servers that are out by hand, all of them, each time that they change.
	OnAdminDown func(servers []string)
	// Doubts is told the servers of the own list that the fleet doubts, all of them and the worst first, as long as there are
	// any, and once when there are none any more.
	OnSuspicions func(doubts []Suspicion)
	// Check reads a policy whole and says what is wrong with it; "": nothing. It is called from a goroutine of its own.
	CheckPolicy func(number uint64, text []byte) (fault string)
}

// Suspicion is a server that does not do its work, by the word of other sidecars.
type Suspicion struct {
	ID  string
	Age time.Duration // of the youngest word
}

// markListedInterval is how often the own list is gone through again: what the staff said of a listed server is kept.
const markListedInterval = time.Minute

// Start begins a sidecar's part. before are the addresses of its other processes, which this one replaces.
func Start(c *Config, name string, before []string, log *slog.Logger, told Callbacks) (*Fleet, error) {
	l, err := transport.Listen(c.Address, gossip.MaxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	f := &Fleet{log: log.With("part", "fleet"), transport: l, startedAt: time.Now(), clockOffset: c.clockOffset, callbacks: told, bootTimes: map[string]int64{}, events: make(chan func(replication.Now), maxQueuedEvents),
		caughtUp: make(chan struct{}), pendingConfirms: map[replication.Key][]chan gossip.Confirmation{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.address = c.advertisedAddress(l.Address())
	var warm []replication.Item
	file, peers := c.snapshotPath(name), c.Peers
	if file != "" {
		items, known, err := readSnapshot(file, c.Label)
		if err != nil {
			f.log.Warn("dropped what a former life left", "err", err)
		} else if len(items)+len(known) > 0 {
			f.log.Info("took what a former life left", "servers", len(items), "peers", len(known))
			warm, peers = items, append(slices.Clone(peers), known...)
		}
		f.saver = &snapshotSaver{snapshots: make(chan []byte, 1)}
		writer := &snapshotWriter{log: f.log, fs: fsys.OS{}, path: file}
		f.goroutines.Add(1)
		go func() {
			defer f.goroutines.Done()
			writer.run(f.saver.snapshots)
		}()
	}
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	now := f.now()
	f.recorder = failuredetector.New(binary.LittleEndian.Uint64(random[:8]))
	f.machine = gossip.New(now, gossip.Settings{Label: c.Label, CatchUpTimeout: c.CatchUp(), Predecessors: before, Membership: membership.Settings{Name: name,
		Address: f.address, Peers: peers, Seed: binary.LittleEndian.Uint64(random[:8]),
		LifeNonce: binary.LittleEndian.Uint64(random[8:]) | 1, LifeNumber: uint64(max(now.Wall, 1))}}, warm)
	f.log.Info("joining", "label", c.Label, "address", l.Address(), "peers", len(c.Peers))
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		f.run()
	}()
	if c.Policy != nil {
		if f.agent, err = policyagent.Start(c.agentSettings(name, uint64(max(now.Wall, 1)), told.CheckPolicy), f, log); err != nil {
			f.stop()
			f.goroutines.Wait()
			return nil, errors.Join(err, l.Close())
		}
		l.SetCallHandler(f.agent)
		raise := f.agent.RaiseIncarnation
		f.events <- func(replication.Now) { f.raiseIncarnation = raise } // the loop, which has begun, takes it
	}
	l.Serve(f, gossip.MaxPacketBytes)
	return f, nil
}

// agentSettings is what this sidecar's part in the policy is told.
func (c *Config) agentSettings(name string, life uint64, check func(uint64, []byte) string) policyagent.Settings {
	p := c.Policy
	return policyagent.Settings{Name: name, Incarnation: life, Voters: p.Voters, InitialPolicy: p.initialPolicy, Terms: p.Terms(), ServeWithoutLease: p.ServeWithoutLease, Check: check,
		Folder: filepath.Join(p.RaftFolder, fmt.Sprintf("council-%016x", xxhash.Sum64String(name)))}
}

// Policy is this sidecar's part in the fleet's policy; nil: the file names no deciders.
func (f *Fleet) Policy() *policyagent.Agent { return f.agent }

// Call implements policyagent.Peers.
func (f *Fleet) Call(ctx context.Context, name string, text []byte) ([]byte, error) {
	address := ""
	if err := f.call(ctx, func(replication.Now) {
		for _, m := range f.machine.Members.Members() {
			if m.Name == name && m.Present() {
				address = m.Address
			}
		}
	}); err != nil {
		return nil, err
	}
	if address == "" {
		return nil, fmt.Errorf("fleet: %s is not there", name)
	}
	return f.transport.Call(ctx, address, text)
}

// monotonic readings begin at an hour, so that none is 0.
const monotonicOrigin = time.Hour

func (f *Fleet) now() replication.Now {
	now := time.Now()
	return replication.Now{Time: monotonicOrigin + now.Sub(f.startedAt), Wall: wallclock.Milliseconds(now.Add(f.clockOffset))}
}

// run is the loop. It ends with Close.
func (f *Fleet) run() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.ctx.Done():
			f.machine.Leave(f.now())
			f.carryOutActions()
			f.endPendingConfirms()
			if f.saver != nil {
				f.saver.savedAt = 0
				f.saveSnapshot(f.now())
				close(f.saver.snapshots)
			}
			return
		case do := <-f.events:
			do(f.now())
		case <-tick.C:
			now := f.now()
			f.machine.Tick(now)
			if now.Time-f.serversMarkedAt >= markListedInterval {
				f.markListed(now)
			}
			f.saveSnapshot(now)
			f.writeEvidence(now)
			f.updateSuspicions(now)
		}
		f.carryOutActions()
	}
}

// endPendingConfirms ends what waits for others to hold a call. Where another process bears the name it has been given all calls.
func (f *Fleet) endPendingConfirms() {
	_, bears := f.machine.Members.Self()
	for key, waiting := range f.pendingConfirms {
		for _, c := range waiting {
			if !bears {
				c <- gossip.Confirmation{Key: key, Asked: 1} // has room for it
			}
			close(c)
		}
		delete(f.pendingConfirms, key)
	}
}

// carryOutActions carries out what the machine asks for.
func (f *Fleet) carryOutActions() {
	out := f.machine.TakeActions()
	for _, d := range out.Send {
		if err := f.transport.Send(d.To, d.Payload); err != nil {
			f.log.Debug("not sent", "to", d.To, "err", err)
		}
	}
	for _, from := range out.Fetch {
		f.goroutines.Add(1)
		go func() {
			defer f.goroutines.Done()
			text, err := f.transport.Fetch(f.ctx, from)
			f.post(f.ctx, func(now replication.Now) {
				if err := f.machine.ReceiveSnapshot(now, from, text, err); err != nil {
					f.log.Debug("no snapshot", "from", from, "err", err)
				}
			})
		}()
	}
	for _, c := range out.Changes {
		f.logMemberChange(c)
	}
	if self, bears := f.machine.Members.Self(); bears && f.raiseIncarnation != nil {
		f.raiseIncarnation(self.Life.Number)
	}
	for _, p := range out.Phases {
		f.log.Info("caught up", "phase", p.String(), "members", f.machine.Members.NumPresent())
		if p != gossip.CatchingUp && !f.hasCaughtUp {
			f.hasCaughtUp = true
			close(f.caughtUp)
		}
	}
	for _, h := range out.Confirmations {
		for _, c := range f.pendingConfirms[h.Key] {
			c <- h // has room for it
		}
		delete(f.pendingConfirms, h.Key)
	}
	if now := f.machine.Store.AdminDown(); f.notifyAdminDown || !slices.Equal(now, f.adminDown) {
		f.adminDown, f.notifyAdminDown = now, false
		f.callbacks.OnAdminDown(slices.Clone(now))
	}
	f.handleReports(out)
}

// handleReports takes in what the machine has heard of servers.
func (f *Fleet) handleReports(out gossip.Actions) {
	now := f.now()
	for _, server := range out.ReportServers {
		f.recorder.RequestReport(now.Time, server)
	}
	if len(out.ReportServers) > 0 {
		f.writeEvidence(now)
		f.carryOutActions()
	}
	if slices.ContainsFunc(out.Updated, func(k replication.Key) bool { return k.Kind == replication.KindRow }) {
		f.updateSuspicions(now)
	}
}

// writeEvidence tells the fleet what this sidecar has seen of servers.
func (f *Fleet) writeEvidence(now replication.Now) {
	if _, bears := f.machine.Members.Self(); !bears {
		return
	}
	for _, e := range f.recorder.DueRows(now.Time, f.machine.Members.NumPresent()) {
		key, err := f.machine.Store.WriteRow(now, e.Server, f.bootTimes[e.Server], e.Evidence)
		if err != nil {
			f.log.Debug("not written", "server", e.Server, "err", err)
			continue
		}
		f.machine.BroadcastUrgent(now, key)
	}
}

// updateSuspicions tells the sidecar which servers the fleet doubts. What is said of a process that the own list does not have, or of no
// server in it, counts for nothing.
func (f *Fleet) updateSuspicions(now replication.Now) {
	var doubts []Suspicion
	since, stands := map[string]time.Duration{}, map[string]time.Duration{}
	for _, d := range f.machine.Suspicions(now, len(f.servers)) {
		if boot, listed := f.bootTimes[d.Server]; listed && boot == d.Boot {
			doubts = append(doubts, Suspicion{d.Server, now.Time - d.Newest})
			since[d.Server] = d.Newest
			stands[d.Server] = now.Time
			if begun, known := f.suspectedSince[d.Server]; known {
				stands[d.Server] = begun
			}
		}
	}
	f.suspectedSince = stands
	f.recorder.SetSuspected(now.Time, since)
	if len(doubts) > 0 || f.suspicionsReported {
		f.suspicionsReported = len(doubts) > 0
		f.callbacks.OnSuspicions(doubts)
	}
}

// Observe takes in what this sidecar has seen of a server. It does not wait: where much comes at once some is lost.
func (f *Fleet) Observe(server string, e failuredetector.Outcome) {
	select {
	case f.events <- func(now replication.Now) {
		if note, due := f.recorder.Observe(now.Time, server, e); due {
			f.machine.SendNote(now.Time, note)
		}
		if e == failuredetector.Silent || e == failuredetector.Refused {
			f.writeEvidence(now)
		}
	}:
	default:
	}
}

// markListed tells the fleet of the own list.
func (f *Fleet) markListed(now replication.Now) {
	f.serversMarkedAt = now.Time
	ids := make([]string, 0, len(f.servers))
	for _, s := range f.servers {
		ids = append(ids, s.ID)
		if s.Boot > 0 {
			if key, changed := f.machine.Store.RecordStart(now, s.ID, s.Boot); changed {
				f.machine.Broadcast(key)
			}
		}
	}
	for _, key := range f.machine.Store.MarkListed(now, ids) {
		f.machine.Broadcast(key)
	}
}

func (f *Fleet) logMemberChange(c membership.Change) {
	level := slog.LevelInfo
	if c.Member.State == membership.Suspect {
		level = slog.LevelDebug
	}
	if c.Superseded {
		f.log.Warn("another process bears this sidecar's name; this one is silent from now on", "at", c.Member.Address, "life", c.Member.Life)
		return
	}
	f.log.Log(f.ctx, level, "member", "name", c.Member.Name, "state", c.Member.State.String(), "address", c.Member.Address,
		"life", c.Member.Life.Number, "incarnation", c.Member.Incarnation)
}

// post has the loop do something, and does not wait until it has. It returns false if ctx ends first.
func (f *Fleet) post(ctx context.Context, do func(replication.Now)) bool {
	select {
	case f.events <- do:
		return true
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	return false
}

// call has the loop do something and waits until it has.
func (f *Fleet) call(ctx context.Context, do func(replication.Now)) error {
	done := make(chan struct{})
	if f.post(ctx, func(now replication.Now) { do(now); close(done) }) {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
		case <-f.ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("fleet: %w", context.Cause(ctx))
	}
	return ErrClosed
}

// Datagram implements transport.Handler.
func (f *Fleet) Datagram(from string, text []byte) {
	text = slices.Clone(text)
	select {
	case f.events <- func(now replication.Now) {
		if err := f.machine.Receive(now, from, text); err != nil {
			f.log.Debug("passed over", "from", from, "err", err)
		}
	}:
	default: // Danger: a flood must not take memory
		// and what is lost is found by the sums
	}
}

// Snapshot implements transport.Handler.
func (f *Fleet) Snapshot(ctx context.Context) (text []byte, err error) {
	failed := f.call(ctx, func(now replication.Now) { text, err = f.machine.EncodeSnapshot(now) })
	return text, errors.Join(failed, err)
}

// ErrSuperseded says that a younger process bears this sidecar's name, as in an upgrade, and that this one tells nobody
// anything.
var ErrSuperseded = errors.New("another process speaks for this sidecar")

// ErrClosed says that the part has been closed.
var ErrClosed = errors.New("fleet: it has ended")

// SetAdminDown takes a call of the staff into the fleet's state. Where confirm says so it waits for others to hold it, and returns how
// many do by then; asked is 0 where there is nobody else.
func (f *Fleet) SetAdminDown(ctx context.Context, server string, out, confirm bool) (held, asked int, err error) {
	answer := make(chan gossip.Confirmation, 1)
	failed := f.call(ctx, func(now replication.Now) {
		if _, bears := f.machine.Members.Self(); !bears {
			err = ErrSuperseded
			return
		}
		var key replication.Key
		former, _ := f.machine.Store.AdminState(server)
		if key, err = f.machine.Store.RecordCall(now, server, out); err != nil {
			return
		}
		call, _ := f.machine.Store.AdminState(server)
		f.log.Info("by hand", "server", server, "out", out, "call", strings.Join(callIDs(call), ","), "replaces", strings.Join(callIDs(former), ","))
		f.machine.Broadcast(key)
		if f.notifyAdminDown = true; !confirm {
			return
		}
		f.pendingConfirms[key] = append(f.pendingConfirms[key], answer)
		f.machine.Confirm(now, key)
	})
	if err = errors.Join(failed, err); err != nil || !confirm {
		return 0, 0, err
	}
	select {
	case h, ok := <-answer:
		if !ok {
			return 0, 0, ErrClosed
		}
		return h.Holders, h.Asked, nil
	case <-ctx.Done():
		return 0, 0, fmt.Errorf("fleet: %w", context.Cause(ctx))
	}
}

// callIDs names the calls that stand.
func callIDs(h replication.AdminState) (names []string) {
	for _, c := range h.Standing {
		names = append(names, c.Dot.String())
	}
	return names
}

// SetServers says which servers the own list has. It does not wait; of lists that come in a rush only the last counts.
func (f *Fleet) SetServers(servers []Server) {
	select {
	case f.events <- func(now replication.Now) {
		f.servers = servers
		former := f.bootTimes
		f.bootTimes = make(map[string]int64, len(servers))
		for _, s := range servers {
			f.bootTimes[s.ID] = s.Boot
			if boot, known := former[s.ID]; known && boot != s.Boot {
				f.recorder.Forget(s.ID) // it was another process
			}
		}
		f.markListed(now)
	}:
	default: // the next one does as well
	}
}

// Address is where other sidecars reach this one.
func (f *Fleet) Address() string { return f.address }

// Knows tells whether the staff has ever said anything of a server.
func (f *Fleet) Knows(ctx context.Context, server string) (known bool, err error) {
	err = f.call(ctx, func(replication.Now) { _, known = f.machine.Store.AdminState(server) })
	return known, err
}

// CaughtUp is closed once this sidecar has caught up with the fleet, or has tried for long enough.
func (f *Fleet) CaughtUp() <-chan struct{} { return f.caughtUp }

// Ready tells whether this sidecar has what the fleet holds, or has tried for long enough, and what it is at.
func (f *Fleet) Ready(ctx context.Context) (ready bool, phase string) {
	if err := f.call(ctx, func(replication.Now) {
		p, _ := f.machine.Phase()
		ready, phase = p != gossip.CatchingUp, p.String()
	}); err != nil {
		return false, err.Error()
	}
	return ready, phase
}

// Close says farewell and waits for all that was begun.
func (f *Fleet) Close() error {
	if f.agent != nil {
		f.agent.Close()
	}
	f.stop()
	f.goroutines.Wait()
	return f.transport.Close()
}
