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
	// epoch is the time on the policies' clock at the start of a run. Policies treat times up to 0 as long past.
	epoch = 24 * time.Hour

	// progressInterval is the simulated time between two progress reports and context checks.
	progressInterval = time.Second

	// lateEventGrace is the time after the last deadline in which events, such as delayed responses, are still handled.
	lateEventGrace = time.Second
)

// networkSeedSalt separates the random stream of network and discovery from the others derived from the plan's seed.
const networkSeedSalt = 0x0e7

// Options configures a run. The zero value runs the decision module.
type Options struct {
	NewPolicy NewPolicyFunc                                    // nil: NewModule
	Sink      record.Sink                                      // nil: events are discarded
	Defects   Defects                                          // faults injected into the sidecars' network part
	Fleet     *Fleet                                           // nil: sidecars share no observations
	Progress  func(at time.Duration)                           // called once per simulated second; may be nil
	Log       func(at time.Duration, sidecar int, line string) // receives the policies' log lines; may be nil
}

// Result holds the counts of a run. The recorded events are passed to the sink.
type Result struct {
	Events   uint64 // events handled by the scheduler
	Requests uint64 // client requests, including retries
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
	openRequests    int    // requests without a final response, plus pending retries
	lastToken       uint64 // token of the latest server response
	result          Result
	defectCounts    defectCounts
	recorded        record.Event // reused so that recording an event does not allocate
}

// Run simulates a plan to its end, or until ctx is done.
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

// build creates the servers and sidecars, and schedules the first arrivals and the actions of the plan.
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

// handleEvents handles the events of the run in order until the run ends or ctx is done.
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

// timeLimit returns the time after which no event is handled.
func (s *simulation) timeLimit() time.Duration {
	length := s.plan.Scenario.Length.Std()
	limit := length
	for _, class := range s.plan.Scenario.Classes {
		limit = max(limit, length+class.Deadline.Std()+lateEventGrace)
	}
	return limit
}

// isIdleAt reports whether the scenario and its faults are over at a time and no response or retry is pending.
func (s *simulation) isIdleAt(at time.Duration) bool {
	return at >= s.plan.Scenario.Length.Std() && at >= s.plan.LastFaultEnd && s.openRequests == 0
}

// policyNow returns the current time on the policies' clock.
func (s *simulation) policyNow() balance.Time { return s.now + epoch }

// record passes an event to the sink. An event without a time is given the current time.
func (s *simulation) record(e record.Event) {
	if e.At == 0 {
		e.At = s.now
	}
	s.recorded = e
	s.options.Sink.Record(&s.recorded)
}
