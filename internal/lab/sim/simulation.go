package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/servermodel"
	"milletramp.example/milletramp/internal/lab/workload"
)

const (
	// epoch is the policies' time at the start of a run. They take times up to 0 for long ago.
	epoch = 24 * time.Hour

	// progressInterval is the simulated time between two reports of progress and checks of the context.
	progressInterval = time.Second

	// lateEventGrace is how long after the last deadline events still happen, such as delayed responses.
	lateEventGrace = time.Second
)

// networkSeedSalt keeps the draws of the network and of discovery apart from what else is drawn with the plan's seed.
const networkSeedSalt = 0x0e7

// Options are the parts of a run. The zero value plays the decision module.
type Options struct {
	NewPolicy NewPolicyFunc                                    // nil: NewModule
	Sink      record.Sink                                      // nil: the events are dropped
	Defects   Defects                                          // of the sidecars' network part
	Fleet     *Fleet                                           // nil: sidecars share no observations
	Progress  func(at time.Duration)                           // called each simulated second; may be nil
	Log       func(at time.Duration, sidecar int, line string) // takes the policies' lines; may be nil
}

// Result counts what a run did. What happened in it goes to the sink.
type Result struct {
	Events   uint64 // that the scheduler handled
	Requests uint64 // of clients, retries included
}

// simulation is the state of a run.
type simulation struct {
	scheduler
	network         network
	plan            *runplan.Plan
	options         Options
	servers         []*server
	serverByID      map[string]*server
	pods            map[int]*servermodel.Pod // by pod group
	sidecars        []*sidecar
	discoveryPaused bool
	openRequests    int    // requests without a final response, and retries to come
	lastToken       uint64 // of a server's response
	result          Result
	defectCounts    defectCounts
	recorded        record.Event // reused, so that recording an event allocates nothing
}

// Run plays a plan to its end, or until ctx is done.
func Run(ctx context.Context, p *runplan.Plan, options Options) (Result, error) {
	s := newSimulation(p, options)
	if err := s.build(); err != nil {
		return s.result, err
	}
	if err := s.handleEvents(ctx); err != nil {
		return s.result, err
	}
	for _, srv := range s.servers {
		s.record(record.Event{Kind: record.NodeWork, Node: srv.index, Work: srv.earlierWork + srv.CompletedWork()})
	}
	return s.result, nil
}

func newSimulation(p *runplan.Plan, options Options) *simulation {
	if options.NewPolicy == nil {
		options.NewPolicy = NewModule
	}
	if options.Sink == nil {
		options.Sink = record.Sinks{}
	}
	return &simulation{
		plan:    p,
		options: options,
		network: network{
			settings: p.Scenario.Network,
			zoneCut:  make([]bool, len(p.Scenario.Fleet.Zones)),
			random:   rand.New(rand.NewPCG(p.Seed, networkSeedSalt)),
		},
		serverByID: map[string]*server{},
		pods:       map[int]*servermodel.Pod{},
	}
}

// build makes the servers and sidecars, and schedules the first arrivals and the acts of the plan.
func (s *simulation) build() error {
	for _, machine := range s.plan.Machines {
		s.addServer(machine)
	}
	fleet := &s.plan.Scenario.Fleet
	keys := workload.NewZipf(s.plan.Scenario.Load.Keys, s.plan.Scenario.Load.Zipf)
	for i := range fleet.Sidecars {
		if err := s.addSidecar(i, keys); err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
	}
	for i := range s.plan.Actions {
		action := &s.plan.Actions[i]
		s.scheduleAt(action.At, plannedActionDue{action})
	}
	return nil
}

// handleEvents has all events of the run happen.
func (s *simulation) handleEvents(ctx context.Context) error {
	length, limit := s.plan.Scenario.Length.Std(), s.timeLimit()
	nextProgress := time.Duration(0)
	for {
		at, ok := s.nextTime()
		if !ok || at > limit || s.isIdleAt(at) {
			return nil
		}
		next := s.advance()
		if s.now >= nextProgress {
			if ctx.Err() != nil {
				return fmt.Errorf("interrupted at %v of %v: %w", s.now, length, context.Cause(ctx))
			}
			if s.options.Progress != nil {
				s.options.Progress(s.now)
			}
			nextProgress += progressInterval
		}
		s.result.Events++
		next.handle(s)
	}
}

// timeLimit returns the time after which no event happens.
func (s *simulation) timeLimit() time.Duration {
	length := s.plan.Scenario.Length.Std()
	limit := length
	for _, class := range s.plan.Scenario.Classes {
		limit = max(limit, length+class.Deadline.Std()+lateEventGrace)
	}
	return limit
}

// isIdleAt reports whether at a time the scenario and its faults are over and no request waits for a response.
func (s *simulation) isIdleAt(at time.Duration) bool {
	return at >= s.plan.Scenario.Length.Std() && at >= s.plan.LastFaultEnd && s.openRequests == 0
}

// policyNow is the present time on the policies' clock.
func (s *simulation) policyNow() balance.Time { return s.now + epoch }

// record hands an event to the sink. One without a time gets the present time.
func (s *simulation) record(e record.Event) {
	if e.At == 0 {
		e.At = s.now
	}
	s.recorded = e
	s.options.Sink.Record(&s.recorded)
}
