package sim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/workload"
)

type sidecar struct {
	simulation       *simulation
	index            int32
	zone             int
	incarnation      int32
	down             bool
	policy           Policy
	source           *workload.Source
	nextRequest      workload.Request
	clientRandom     *rand.Rand
	requests         map[balance.RequestID]*request
	idle             [][]idleConnection // by node
	lastResponse     []time.Duration
	notifications    []notification // from discovery, not yet heard
	endpoints        map[int32]balance.Endpoint
	lastNotification time.Duration
	losses           []loss // at nodes that lose now
	member           *member
}

// start begins a life of the sidecar, with the list as it last had it.
func (c *sidecar) start() error {
	w := c.simulation
	c.down = false
	c.incarnation++
	c.requests = map[balance.RequestID]*request{}
	c.idle, c.losses = make([][]idleConnection, len(w.servers)), nil
	c.lastResponse = make([]time.Duration, len(w.servers))
	set := w.plan.Settings(int(c.index))
	set.Seed += uint64(c.incarnation) << 32
	var err error
	if c.policy, err = w.options.NewPolicy(set, c, w); err != nil {
		return err
	}
	c.joinFleet()
	var list []balance.Endpoint
	for n := range w.servers {
		if e, ok := c.endpoints[int32(n)]; ok {
			list = append(list, e)
		}
	}
	c.policy.Endpoints(w.now+epoch, balance.ListRemembered, list)
	return nil
}

// crashSidecar ends a sidecar with all it holds, and starts it again.
func (w *simulation) crashSidecar(c *sidecar) {
	if c.down {
		return
	}
	c.down = true
	w.record(record.Event{Kind: record.SidecarDown, Sidecar: c.index})
	for n := range w.servers {
		c.closeIdle(int32(n))
	}
	held := c.requests
	c.requests = map[balance.RequestID]*request{}
	for _, id := range slices.Sorted(maps.Keys(held)) { // in order: maps have none
		r := held[id]
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				if m := w.servers[a.server]; a.serverIncarnation == m.incarnation && !m.down && a.firstByteAt >= 0 {
					m.connections--
				}
				w.scheduleAfter(w.drawDelay(c, a.server), cancelArrived{a})
			}
		}
		if !r.completed {
			r.completed = true
			w.openRequests--
			w.retryLater(r, workload.Failed, 0)
		}
	}
	w.scheduleAfter(sidecarRestartTime, sidecarRestarted{c})
}

// sidecarRestarted is the start of a crashed sidecar's next process.
type sidecarRestarted struct{ sidecar *sidecar }

func (e sidecarRestarted) happen(*simulation) {
	if err := e.sidecar.start(); err != nil {
		panic(fmt.Sprintf("sim: sidecar %d does not start again: %v", e.sidecar.index, err)) // its settings were good before
	}
}

// Cancel calls an attempt off.
func (c *sidecar) Cancel(id balance.RequestID, n int) {
	r := c.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	c.simulation.scheduleAfter(0, attemptEnded{attempt: r.attempts[n], status: record.Cancelled})
}

// Reject answers that a retry does no harm.
func (c *sidecar) Reject(id balance.RequestID, after time.Duration) {
	c.reject(id, record.Rejected, after)
}

// Fail answers without a promise.
func (c *sidecar) Fail(id balance.RequestID) { c.reject(id, record.Failed, 0) }

// Timer asks for a Timer event.
func (c *sidecar) Timer(after time.Duration, token uint64) {
	c.simulation.scheduleAfter(max(after, time.Microsecond), timerFired{c, c.incarnation, token})
}

// timerFired is the end of a policy's timer.
type timerFired struct {
	sidecar     *sidecar
	incarnation int32
	token       uint64
}

func (e timerFired) happen(s *simulation) {
	if e.sidecar.down || e.sidecar.incarnation != e.incarnation {
		return
	}
	e.sidecar.policy.Timer(s.now+epoch, e.token)
	e.sidecar.detectLosses()
}

// Subscribe does nothing: discovery pushes.
func (c *sidecar) Subscribe() {}

// Log passes a line on.
func (c *sidecar) Log(text string) {
	if c.simulation.options.Log != nil {
		c.simulation.options.Log(c.simulation.now, int(c.index), text)
	}
}
