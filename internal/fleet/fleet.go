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
	"slices"
	"strings"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/link"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	tickEvery  = 50 * time.Millisecond
	mostQueued = 256 // datagrams that wait for the loop; more are lost, as on the way
)

// Fleet is a sidecar's part in the fleet.
type Fleet struct {
	log    *slog.Logger
	link   *link.Link
	origin time.Time
	clock  time.Duration // by which the clock of day is taken to be off
	apply  func(out []string)

	events chan func(now replication.Now)
	over   sync.WaitGroup
	ctx    context.Context
	stop   context.CancelFunc
	ready  chan struct{} // closed once it has caught up for the first time

	// Of the loop.
	machine *gossip.Machine
	waiting map[replication.Key][]chan gossip.Held
	out     []string
	tell    bool // apply is to be called though out has not changed
	done    bool // ready is closed
	list    []Server
	renewed time.Duration // when the list was last gone through
	states  chan []byte   // to be left for the next life; nil: nowhere
	kept    uint64        // sum of what was last left
	keptAt  time.Duration
}

// Server is an entry of the own list.
type Server struct {
	ID   string
	Boot int64 // its last start in Unix milliseconds; 0: long ago
}

// renewEvery is how often the own list is gone through again: what the staff said of a listed server is kept.
const renewEvery = time.Minute

// Start begins a sidecar's part. apply is told the servers that are out by hand, all of them, each time that they change;
// it is called from the one goroutine of the fleet and must not wait for it.
func Start(c *Config, name string, log *slog.Logger, apply func(out []string)) (*Fleet, error) {
	l, err := link.Listen(c.Address, gossip.MostSnapshot)
	if err != nil {
		return nil, err
	}
	f := &Fleet{log: log.With("part", "fleet"), link: l, origin: time.Now(), clock: c.clock, apply: apply, events: make(chan func(replication.Now), mostQueued),
		ready: make(chan struct{}), waiting: map[replication.Key][]chan gossip.Held{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	var warm []replication.Item
	file, peers := c.warmFile(name), c.Peers
	if file != "" {
		items, known, err := readWarm(file, c.Label)
		if err != nil {
			f.log.Warn("dropped what a former life left", "err", err)
		} else if len(items)+len(known) > 0 {
			f.log.Info("took what a former life left", "servers", len(items), "peers", len(known))
			warm, peers = items, append(slices.Clone(peers), known...)
		}
		f.states = make(chan []byte, 1)
		f.over.Add(1)
		go func() {
			defer f.over.Done()
			f.keep(file, f.states)
		}()
	}
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	now := f.now()
	f.machine = gossip.New(now, gossip.Settings{Label: c.Label, CatchUp: c.CatchUp(), Membership: membership.Settings{Name: name,
		Address: c.told(l.Address()), Peers: peers, Seed: binary.LittleEndian.Uint64(random[:8]),
		Nonce: binary.LittleEndian.Uint64(random[8:]) | 1, Number: uint64(max(now.Wall, 1))}}, warm)
	f.log.Info("joining", "label", c.Label, "address", l.Address(), "peers", len(c.Peers))
	f.over.Add(1)
	go func() {
		defer f.over.Done()
		f.run()
	}()
	l.Serve(f, gossip.MostPacket)
	return f, nil
}

// monotonic readings begin at an hour, so that none is 0.
const monotonicOrigin = time.Hour

func (f *Fleet) now() replication.Now {
	now := time.Now()
	return replication.Now{Time: monotonicOrigin + now.Sub(f.origin), Wall: now.Add(f.clock).UnixMilli()}
}

// run is the loop. It ends with Close.
func (f *Fleet) run() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-f.ctx.Done():
			f.machine.Leave(f.now())
			f.act()
			if f.states != nil {
				f.keptAt = 0
				f.leaveWarm(f.now())
				close(f.states)
			}
			return
		case do := <-f.events:
			do(f.now())
		case <-tick.C:
			now := f.now()
			f.machine.Tick(now)
			if now.Time-f.renewed >= renewEvery {
				f.renew(now)
			}
			f.leaveWarm(now)
		}
		f.act()
	}
}

// act carries out what the machine asks for.
func (f *Fleet) act() {
	out := f.machine.Out()
	for _, d := range out.Send {
		if err := f.link.Send(d.To, d.Text); err != nil {
			f.log.Debug("not sent", "to", d.To, "err", err)
		}
	}
	for _, from := range out.Fetch {
		f.over.Add(1)
		go func() {
			defer f.over.Done()
			text, err := f.link.Fetch(f.ctx, from)
			f.do(f.ctx, func(now replication.Now) {
				if err := f.machine.Fetched(now, from, text, err); err != nil {
					f.log.Debug("no snapshot", "from", from, "err", err)
				}
			})
		}()
	}
	for _, c := range out.Changes {
		f.changed(c)
	}
	for _, p := range out.Phase {
		f.log.Info("caught up", "phase", p.String(), "members", f.machine.Members.Here())
		if p != gossip.Catching && !f.done {
			f.done = true
			close(f.ready)
		}
	}
	for _, h := range out.Held {
		for _, c := range f.waiting[h.Key] {
			c <- h // has room for it
		}
		delete(f.waiting, h.Key)
	}
	if now := f.machine.Store.Out(); f.tell || !slices.Equal(now, f.out) {
		f.out, f.tell = now, false
		f.apply(slices.Clone(now))
	}
}

// leaveWarm has what the staff has said be written down, where it has changed and a folder is named.
func (f *Fleet) leaveWarm(now replication.Now) {
	sum := f.machine.Store.Digest().Whole()[replication.KindHand] ^ f.machine.Members.Sum()
	if f.states == nil || sum == f.kept || f.keptAt > 0 && now.Time-f.keptAt < warmEvery {
		return
	}
	text, err := f.machine.Warm(now)
	if err != nil {
		f.log.Warn("nothing is left for the next life", "err", err)
		return
	}
	select {
	case <-f.states: // one that nobody has begun to write
	default:
	}
	f.states <- text // has room: this is the only sender
	f.kept, f.keptAt = sum, now.Time
}

// renew tells the fleet of the own list.
func (f *Fleet) renew(now replication.Now) {
	f.renewed = now.Time
	ids := make([]string, 0, len(f.list))
	for _, s := range f.list {
		ids = append(ids, s.ID)
		if s.Boot > 0 {
			if key, changed := f.machine.Store.Started(now, s.ID, s.Boot); changed {
				f.machine.Tell(key)
			}
		}
	}
	for _, key := range f.machine.Store.Listed(now, ids) {
		f.machine.Tell(key)
	}
}

func (f *Fleet) changed(c membership.Change) {
	level := slog.LevelInfo
	if c.Member.State == membership.Suspect {
		level = slog.LevelDebug
	}
	if c.Own {
		f.log.Warn("another process bears this sidecar's name; this one is silent from now on", "at", c.Member.Address, "life", c.Member.Life)
		return
	}
	f.log.Log(f.ctx, level, "member", "name", c.Member.Name, "state", c.Member.State.String(), "address", c.Member.Address,
		"life", c.Member.Life.Number, "incarnation", c.Member.Incarnation)
}

// do has the loop do something, and does not wait until it has. It returns false if ctx ends first.
func (f *Fleet) do(ctx context.Context, do func(replication.Now)) bool {
	select {
	case f.events <- do:
		return true
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	return false
}

// ask has the loop do something and waits until it has.
func (f *Fleet) ask(ctx context.Context, do func(replication.Now)) error {
	done := make(chan struct{})
	if f.do(ctx, func(now replication.Now) { do(now); close(done) }) {
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
	return errors.New("fleet: it has ended")
}

// Datagram implements link.Handler.
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

// Snapshot implements link.Handler.
func (f *Fleet) Snapshot(ctx context.Context) (text []byte, err error) {
	failed := f.ask(ctx, func(now replication.Now) { text, err = f.machine.Serve(now) })
	return text, errors.Join(failed, err)
}

// ErrSilent says that a younger process bears this sidecar's name, as in an upgrade, and that this one tells nobody
// anything.
var ErrSilent = errors.New("another process speaks for this sidecar")

// TakeOut takes a call of the staff into the fleet's state, and returns how many others hold it by then; asked is 0 where
// there is nobody else.
func (f *Fleet) TakeOut(ctx context.Context, server string, out bool) (held, asked int, err error) {
	answer := make(chan gossip.Held, 1)
	failed := f.ask(ctx, func(now replication.Now) {
		if _, bears := f.machine.Members.Self(); !bears {
			err = ErrSilent
			return
		}
		var key replication.Key
		former, _ := f.machine.Store.Hand(server)
		if key, err = f.machine.Store.Call(now, server, out); err != nil {
			return
		}
		call, _ := f.machine.Store.Hand(server)
		f.log.Info("by hand", "server", server, "out", out, "call", strings.Join(calls(call), ","), "replaces", strings.Join(calls(former), ","))
		f.machine.Tell(key)
		f.tell = true
		f.waiting[key] = append(f.waiting[key], answer)
		f.machine.Confirm(now, key)
	})
	if err = errors.Join(failed, err); err != nil {
		return 0, 0, err
	}
	select {
	case h := <-answer:
		return h.By, h.Asked, nil
	case <-ctx.Done():
		return 0, 0, fmt.Errorf("fleet: %w", context.Cause(ctx))
	case <-f.ctx.Done():
		return 0, 0, errors.New("fleet: it has ended")
	}
}

// calls names the calls that stand.
func calls(h replication.Hand) (names []string) {
	for _, c := range h.Calls {
		names = append(names, c.Dot.String())
	}
	return names
}

// Listed says which servers the own list has. It does not wait; of lists that come in a rush only the last counts.
func (f *Fleet) Listed(servers []Server) {
	select {
	case f.events <- func(now replication.Now) { f.list = servers; f.renew(now) }:
	default: // the next one does as well
	}
}

// Knows tells whether the staff has ever said anything of a server.
func (f *Fleet) Knows(ctx context.Context, server string) (known bool, err error) {
	err = f.ask(ctx, func(replication.Now) { _, known = f.machine.Store.Hand(server) })
	return known, err
}

// CaughtUp is closed once this sidecar has caught up with the fleet, or has tried for long enough.
func (f *Fleet) CaughtUp() <-chan struct{} { return f.ready }

// Ready tells whether this sidecar has what the fleet holds, or has tried for long enough, and what it is at.
func (f *Fleet) Ready(ctx context.Context) (ready bool, phase string) {
	if err := f.ask(ctx, func(replication.Now) {
		p, _ := f.machine.Phase()
		ready, phase = p != gossip.Catching, p.String()
	}); err != nil {
		return false, err.Error()
	}
	return ready, phase
}

// Close says farewell and waits for all that was begun.
func (f *Fleet) Close() error {
	f.stop()
	f.over.Wait()
	return f.link.Close()
}
