package sim

import (
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	// randomStream selects a generator stream that is different from those used to draw plans.
	randomStream = 0x776f726c64
	// maxStartDelay limits the random delay before a sidecar's first start.
	maxStartDelay = time.Second
)

// Options are the settings of a run that are not part of the plan.
type Options struct {
	SeedPeers           int           // configured peers of each sidecar; the others are discovered
	SettleTime          time.Duration // after the last fault, until all copies must be equal
	ObservationInterval time.Duration // between observations of a sidecar; 0: observed only at the end
	EvidenceInterval    time.Duration // between evidence rows written by a sidecar; 0: none are written
}

// Fleet runs a plan on a fleet of sidecars in simulated time. It is not safe for concurrent use.
type Fleet struct {
	Plan     faultplan.Plan
	Sidecars []*Sidecar
	Record   checker.Record
	// Lost and Sent are numbers of datagrams.
	Lost, Sent int

	options     Options
	rng         *rand.Rand
	scheduler   scheduler
	linkFreeAt  map[link]time.Duration              // when a rate-limited link has sent its queued datagrams
	deliveredAt map[string]map[string]time.Duration // by call ID and sidecar name
	callDots    map[string]replication.Dot          // by call ID
	processes   map[string]*Sidecar                 // by address
}

// New returns a fleet that is ready to run a plan from its start.
func New(plan faultplan.Plan, options Options) *Fleet {
	f := &Fleet{
		Plan:        plan,
		options:     options,
		rng:         rand.New(rand.NewPCG(plan.Seed, randomStream)),
		linkFreeAt:  map[link]time.Duration{},
		deliveredAt: map[string]map[string]time.Duration{},
		callDots:    map[string]replication.Dot{},
		processes:   map[string]*Sidecar{},
	}
	f.Record.LostCalls = map[string]bool{}
	for i := range plan.Sidecars {
		f.addSidecar(i)
	}
	for _, fault := range plan.Faults {
		for _, i := range fault.From {
			f.scheduleFault(fault, f.Sidecars[i])
		}
	}
	for _, call := range plan.Calls {
		s := f.Sidecars[call.Sidecar]
		f.scheduler.at(call.At, func() { s.setAdminDown(serverName(call.Server), call.Down) })
	}
	return f
}

// addSidecar adds a sidecar and schedules its start and its periodic events.
func (f *Fleet) addSidecar(index int) {
	s := &Sidecar{Name: sidecarName(index), Index: index, fleet: f, address: sidecarAddress(index)}
	f.Sidecars = append(f.Sidecars, s)
	f.processes[s.address] = s
	f.scheduler.at(time.Duration(f.rng.Int64N(int64(maxStartDelay))), s.start)
	if f.options.ObservationInterval > 0 {
		f.scheduler.at(f.options.ObservationInterval, s.observePeriodically)
	}
	if f.options.EvidenceInterval > 0 {
		f.scheduler.at(f.options.EvidenceInterval, s.writeEvidencePeriodically)
	}
}

// scheduleFault schedules the effects of a fault on one sidecar's processes. Link faults are looked up in the plan when
// messages are sent.
func (f *Fleet) scheduleFault(fault faultplan.Fault, s *Sidecar) {
	end := fault.At + fault.Duration
	switch fault.Kind {
	case faultplan.Kill:
		f.scheduler.at(fault.At, s.kill)
		f.scheduler.at(end, s.start)
	case faultplan.Suspend:
		f.scheduler.at(end, s.resume)
	case faultplan.Upgrade:
		f.scheduler.at(fault.At, func() { s.upgrade(fault.Duration) })
	}
}

// planEnd returns the end of the plan's last fault, call or change, or the plan's length if that is later.
func (f *Fleet) planEnd() time.Duration {
	return max(f.Plan.End(), f.Plan.Length)
}

// Run runs the plan to its end and for SettleTime after it, and returns the record.
func (f *Fleet) Run() checker.Record {
	f.RunUntil(f.planEnd() + f.options.SettleTime)
	f.Record.FaultsEnd = f.planEnd()
	f.Record.ConvergenceTime = f.options.SettleTime
	f.Record.SnapshotInterval = f.options.ObservationInterval
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

// RunUntil runs the simulation up to a time since the plan's start.
func (f *Fleet) RunUntil(end time.Duration) { f.scheduler.runUntil(end) }

// Now returns the time since the plan's start.
func (f *Fleet) Now() time.Duration { return f.scheduler.now }
