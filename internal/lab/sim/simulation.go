package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/node"
	"milletramp.example/milletramp/internal/lab/plan"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/workload"
)

// Options are the parts of a run.
type Options struct {
	NewPolicy NewPolicyFunc // nil: Module
	Sink      record.Sink
	Defects   Defects
	Fleet     *Fleet                                           // nil: each sidecar is alone
	Progress  func(at time.Duration)                           // each simulated second; may be nil
	Log       func(at time.Duration, sidecar int, line string) // what the module says; may be nil
}

// Result is what a run tells of itself; everything else goes to the sink.
type Result struct {
	Events   uint64 // handled
	Requests uint64
}

const (
	epoch              = 24 * time.Hour         // of the module's clock, which takes times up to 0 for long ago
	deadlineMargin     = 5 * time.Millisecond   // kept free before the client's deadline, as the real sidecar does
	sidecarRestartTime = 300 * time.Millisecond // of a sidecar
)

type simulation struct {
	scheduler
	plan         *plan.Plan
	options      Options
	random       *rand.Rand // of the network
	result       Result
	openRequests int

	sidecars        []*sidecar
	servers         []*server
	serverByID      map[string]int32
	pods            map[int]*node.Pod
	zoneCut         []bool // by zone
	discoverySilent bool   // discovery
	requestCount    uint64
	tokens          uint64
	recorded        record.Event
	counts          struct{ refusals, answers int }
}

// Run plays a plan to its end, or until ctx is done.
func Run(ctx context.Context, p *plan.Plan, opt Options) (Result, error) {
	if opt.NewPolicy == nil {
		opt.NewPolicy = NewModule
	}
	if opt.Sink == nil {
		opt.Sink = record.Sinks{}
	}
	w := &simulation{plan: p, options: opt, random: rand.New(rand.NewPCG(p.Seed, 0x0e7)), serverByID: map[string]int32{}, pods: map[int]*node.Pod{},
		zoneCut: make([]bool, len(p.Scenario.Fleet.Zones))}
	if err := w.build(); err != nil {
		return w.result, err
	}
	most := p.Scenario.Length.Std()
	for _, c := range p.Scenario.Classes {
		most = max(most, p.Scenario.Length.Std()+c.Deadline.Std()+time.Second)
	}
	second := time.Duration(0)
	for {
		at, ok := w.nextTime()
		if !ok || at > most || at >= p.Scenario.Length.Std() && w.openRequests == 0 && at >= p.Last {
			break
		}
		next := w.advance()
		if w.now >= second {
			if ctx.Err() != nil {
				return w.result, fmt.Errorf("interrupted at %v of %v: %w", w.now, p.Scenario.Length.Std(), context.Cause(ctx))
			}
			if opt.Progress != nil {
				opt.Progress(w.now)
			}
			second += time.Second
		}
		w.result.Events++
		next.happen(w)
	}
	for i, m := range w.servers {
		w.record(record.Event{Kind: record.NodeWork, Node: int32(i), Work: m.earlierWork + m.Done()})
	}
	return w.result, nil
}

func (w *simulation) build() error {
	s := w.plan.Scenario
	for i, m := range w.plan.Machines {
		w.serverByID[m.ID] = int32(i)
		n := &server{Machine: m, wakeAt: -1, listedState: balance.Ready, down: m.Born > 0, listed: m.Born == 0}
		w.servers = append(w.servers, n)
		w.startProcess(n, 0)
		if m.Born == 0 {
			w.record(record.Event{Kind: record.NodeStarted, Node: int32(i), Capacity: float64(m.Spec.Cores) * m.Spec.Speed})
		}
	}
	keys := workload.NewZipf(s.Load.Keys, s.Load.Zipf)
	for i := range s.Fleet.Sidecars {
		c := &sidecar{simulation: w, index: int32(i), zone: i % len(s.Fleet.Zones), source: workload.NewSource(s, i, w.plan.Seed, keys),
			clientRandom: rand.New(rand.NewPCG(w.plan.Seed, uint64(i)+0xc11e47)), endpoints: map[int32]balance.Endpoint{}}
		w.sidecars = append(w.sidecars, c)
		for n, m := range w.servers {
			if m.listed {
				c.endpoints[int32(n)] = w.endpoint(int32(n))
			}
		}
		if err := c.start(); err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		c.scheduleArrival()
	}
	for i := range w.plan.Acts {
		w.scheduleAt(w.plan.Acts[i].At, planActDue{&w.plan.Acts[i]})
	}
	return nil
}

func (w *simulation) record(e record.Event) {
	if e.At == 0 {
		e.At = w.now
	}
	w.recorded = e
	w.options.Sink.Record(&w.recorded)
}

// callbackDue is a call that was scheduled.
type callbackDue struct{ call func() }

func (e callbackDue) happen(*simulation) { e.call() }
