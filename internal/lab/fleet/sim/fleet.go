package sim

import (
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	// randomStream selects the generator's stream, so that it differs from those that draw the plan.
	randomStream = 0x776f726c64
	// maxStartDelay bounds the time at which a sidecar first starts.
	maxStartDelay = time.Second
)

// Options are the settings of a run that the plan does not give.
type Options struct {
	SeedPeers           int           // sidecars whose addresses each is configured with; it discovers the others
	SettleTime          time.Duration // from the last fault until all copies must be equal
	ObservationInterval time.Duration // between two observations of a sidecar; 0: only at the end
	EvidenceInterval    time.Duration // between two rows of evidence that a sidecar writes; 0: it writes none
}

// Fleet is a fleet of sidecars that runs a plan in simulated time. It is not safe for concurrent use.
type Fleet struct {
	Plan     faultplan.Plan
	Sidecars []*Sidecar
	Record   checker.Record
	// Lost and Sent count datagrams.
	Lost, Sent int

	options     Options
	rng         *rand.Rand
	scheduler   scheduler
	linkFreeAt  map[link]time.Duration              // when a link with a bounded rate has sent what is queued
	deliveredAt map[string]map[string]time.Duration // by call and sidecar
	callDots    map[string]replication.Dot          // by call
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

// scheduleFault schedules what a fault does to one sidecar's processes. Faults of links are looked up in the plan as
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

// planEnd returns when the plan's faults and its length are over.
func (f *Fleet) planEnd() time.Duration {
	return max(f.Plan.End(), f.Plan.Length)
}

// Run runs to the plan's end and for the time to settle after it, and returns the record.
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

// RunUntil runs up to a time of the plan.
func (f *Fleet) RunUntil(end time.Duration) { f.scheduler.runUntil(end) }

// Now returns the time since the plan's start.
func (f *Fleet) Now() time.Duration { return f.scheduler.now }
