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

const (
	sidecarRestartTime = 300 * time.Millisecond // time from a crash until the next process starts
	minTimer           = time.Microsecond       // shortest delay of a policy's timer
)

// sidecar is a sidecar with its clients. It calls its policy and implements balance.Actions for it.
type sidecar struct {
	simulation  *simulation
	index       int32
	zone        int
	incarnation int32 // number of processes started so far
	down        bool  // whether no process is running
	policy      Policy

	source       *workload.Source
	nextRequest  workload.Request // the request whose arrival is scheduled
	clientRandom *rand.Rand

	requests     map[balance.RequestID]*request
	idle         [][]idleConnection // by server
	lastResponse []time.Duration    // by server

	endpoints        map[*server]balance.Endpoint // endpoint list as of the latest notification
	notifications    []notification               // in transit from discovery
	lastNotification time.Duration                // arrival time of the latest notification

	losses []loss  // servers that currently lose requests
	member *member // nil if the sidecar shares no observations
}

// addSidecar adds a sidecar, starts it and schedules its first arrival.
func (s *simulation) addSidecar(index int, keys *workload.Zipf) error {
	scenario, seed := s.plan.Scenario, s.plan.Seed
	sc := &sidecar{
		simulation:   s,
		index:        int32(index),
		zone:         index % len(scenario.Fleet.Zones),
		source:       workload.NewSource(scenario, index, seed, keys),
		clientRandom: rand.New(rand.NewPCG(seed, uint64(index)+clientSeedSalt)),
		endpoints:    map[*server]balance.Endpoint{},
	}
	s.sidecars = append(s.sidecars, sc)
	for _, srv := range s.servers {
		if srv.listed {
			sc.endpoints[srv] = srv.endpoint()
		}
	}
	if err := sc.start(); err != nil {
		return err
	}
	sc.scheduleArrival()
	return nil
}

// start starts a sidecar process with the endpoint list from the latest notification.
func (sc *sidecar) start() error {
	s := sc.simulation
	sc.down = false
	sc.incarnation++
	sc.requests = map[balance.RequestID]*request{}
	sc.idle = make([][]idleConnection, len(s.servers))
	sc.lastResponse = make([]time.Duration, len(s.servers))
	sc.losses = nil
	settings := s.plan.Settings(int(sc.index))
	settings.Seed += uint64(sc.incarnation) << 32
	policy, err := s.options.NewPolicy(settings, sc, s)
	if err != nil {
		return err
	}
	sc.policy = policy
	sc.joinFleet()
	sc.policy.Endpoints(s.policyNow(), balance.ListCached, sc.endpointList())
	return nil
}

// endpointList returns the endpoints in server order.
func (sc *sidecar) endpointList() []balance.Endpoint {
	var list []balance.Endpoint
	for _, srv := range sc.simulation.servers {
		if endpoint, ok := sc.endpoints[srv]; ok {
			list = append(list, endpoint)
		}
	}
	return list
}

// crash stops the sidecar's process and aborts all its requests. The next process starts after sidecarRestartTime.
func (sc *sidecar) crash() {
	if sc.down {
		return
	}
	s := sc.simulation
	sc.down = true
	s.record(record.Event{Kind: record.SidecarDown, Sidecar: sc.index})
	for _, srv := range s.servers {
		sc.closeIdle(srv)
	}
	lost := sc.requests
	sc.requests = map[balance.RequestID]*request{}
	for _, id := range slices.Sorted(maps.Keys(lost)) { // sorted, as the iteration order of a map is random
		lost[id].abort()
	}
	s.scheduleAfter(sidecarRestartTime, sidecarRestarted{sc})
}

// abort ends the attempts of a request whose sidecar has crashed, and completes the request.
func (r *request) abort() {
	for _, a := range r.attempts {
		if !a.ended {
			a.ended = true
			a.closeConnection()
		}
	}
	if !r.completed {
		r.complete()
		r.scheduleRetry(workload.Failed, 0)
	}
}

// sidecarRestarted is the event that the next process of a crashed sidecar starts.
type sidecarRestarted struct{ sidecar *sidecar }

// handle panics if the policy rejects its settings, as it accepted them at the first start.
func (e sidecarRestarted) handle(*simulation) {
	if err := e.sidecar.start(); err != nil {
		panic(fmt.Sprintf("sim: restart of sidecar %d failed: %v", e.sidecar.index, err))
	}
}

// Cancel implements balance.Actions.
func (sc *sidecar) Cancel(id balance.RequestID, number int) {
	r := sc.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return
	}
	r.attempts[number].endAfter(0, record.Cancelled)
}

// Reject implements balance.Actions.
func (sc *sidecar) Reject(id balance.RequestID, retryAfter time.Duration) {
	sc.respondLocally(id, record.Rejected, retryAfter)
}

// Fail implements balance.Actions.
func (sc *sidecar) Fail(id balance.RequestID) { sc.respondLocally(id, record.Failed, 0) }

// Timer implements balance.Actions.
func (sc *sidecar) Timer(after time.Duration, token uint64) {
	sc.simulation.scheduleAfter(max(after, minTimer), timerFired{sc, sc.incarnation, token})
}

// timerFired is the event that a timer set by a policy expires.
type timerFired struct {
	sidecar     *sidecar
	incarnation int32 // the sidecar's incarnation when the timer was set
	token       uint64
}

func (e timerFired) handle(s *simulation) {
	if e.sidecar.down || e.sidecar.incarnation != e.incarnation {
		return
	}
	e.sidecar.policy.Timer(s.policyNow(), e.token)
	e.sidecar.detectLosses()
}

// Subscribe implements balance.Actions. It does nothing, as every sidecar is notified whether subscribed or not.
func (sc *sidecar) Subscribe() {}

// Log implements balance.Actions.
func (sc *sidecar) Log(text string) {
	if log := sc.simulation.options.Log; log != nil {
		log(sc.simulation.now, int(sc.index), text)
	}
}
