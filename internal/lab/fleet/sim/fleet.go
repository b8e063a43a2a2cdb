package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

// Options say how a plan is played.
type Options struct {
	SeedPeers           int           // sidecars that each is told of; the others are found
	SettleTime          time.Duration // behind the last fault, until copies must be equal
	ObservationInterval time.Duration // between two looks at a sidecar; 0: only at the end
	// Evidence has each sidecar write of a server this often; 0: never.
	EvidenceInterval time.Duration
}

// Fleet is a fleet under a plan.
type Fleet struct {
	Plan     faultplan.Plan
	Sidecars []*Sidecar
	Record   checker.Record
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

// New returns a fleet that has not begun.
func New(plan faultplan.Plan, options Options) *Fleet {
	fleet := &Fleet{Plan: plan, options: options, rng: rand.New(rand.NewPCG(plan.Seed, 0x776f726c64)), linkFreeAt: map[[2]int]time.Duration{},
		deliveredAt: map[string]map[string]time.Duration{}, callDots: map[string]replication.Dot{}, processes: map[string]*Sidecar{}}
	fleet.Record.LostCalls = map[string]bool{}
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

// Run plays to the plan's end and the time to settle behind it, and returns the record.
func (f *Fleet) Run() checker.Record {
	end := max(f.Plan.End(), f.Plan.Length) + f.options.SettleTime
	f.RunUntil(end)
	f.Record.FaultsEnd, f.Record.ConvergenceTime, f.Record.SnapshotInterval = end-f.options.SettleTime, f.options.SettleTime, f.options.ObservationInterval
	for _, s := range f.Sidecars {
		f.Record.Sidecars = append(f.Record.Sidecars, s.Name)
		s.observe()
	}
	f.Record.KnownSince = func(ack checker.OperatorCall, sidecar string, _ time.Duration) (time.Duration, bool) {
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
