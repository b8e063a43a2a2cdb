package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// noTenant is the tenant of a request where the scenario has none.
const noTenant = -1

// seedSalt keeps the arrivals of a seed apart from what else is drawn with it.
const seedSalt = 0x10ad

// Request is one request as its client makes it.
type Request struct {
	At          time.Duration
	Class       int
	Tenant      int // -1: none
	Key         uint64
	Work        float64       // true work in seconds on a standard core
	Timeout     time.Duration // how long the client waits for this request's response
	RetriesLeft int           // that the client may still make
	LeavesAfter time.Duration // when the client leaves early, from At; 0: it stays
	RetriesMade int           // 0: this is the first request
	FirstAt     time.Duration // when the first request was made
}

// Source draws the arrivals at one sidecar, in order of time.
type Source struct {
	scenario     *scenario.Scenario
	random       *rand.Rand
	meanRate     float64 // requests a second
	peakFactor   float64 // bound of the rate against its mean
	faults       []arrivalFault
	clock        time.Duration
	keys         *Zipf
	classShares  []float64 // cumulative
	tenantShares []float64 // cumulative
}

// arrivalFault is a fault that changes the arrivals.
type arrivalFault struct {
	kind     string
	from, to time.Duration
	size     float64
}

// activeAt reports whether the fault is of the kind and present at a time.
func (f arrivalFault) activeAt(at time.Duration, kind string) bool {
	return f.kind == kind && at >= f.from && at < f.to
}

// NewSource returns the source for a sidecar. keys may be shared between the sources of a run.
func NewSource(s *scenario.Scenario, sidecar int, seed uint64, keys *Zipf) *Source {
	source := &Source{
		scenario:   s,
		random:     rand.New(rand.NewPCG(seed, uint64(sidecar)+seedSalt)),
		meanRate:   meanRate(s, sidecar),
		peakFactor: 1 + s.Load.Swing,
		keys:       keys,
	}
	for _, fault := range s.Faults {
		source.addFault(fault, sidecar)
	}
	sum := 0.0
	for _, class := range s.Classes {
		sum += class.Share
		source.classShares = append(source.classShares, sum)
	}
	sum = 0
	for _, tenant := range s.Tenants {
		sum += tenant.Share
		source.tenantShares = append(source.tenantShares, sum)
	}
	return source
}

// meanRate returns a sidecar's part of the scenario's rate. Sidecar i has one in proportion to (i+1)^-skew.
func meanRate(s *scenario.Scenario, sidecar int) float64 {
	total, own := 0.0, 0.0
	for i := range s.Fleet.Sidecars {
		part := math.Pow(float64(i+1), -s.Load.Skew)
		total += part
		if i == sidecar {
			own = part
		}
	}
	return s.Rate() * own / total
}

// addFault adds a fault of the scenario if it changes the sidecar's arrivals.
func (l *Source) addFault(fault scenario.Fault, sidecar int) {
	switch fault.Kind {
	case scenario.FaultHotKey:
	case scenario.FaultFlood:
		flooded := int(math.Ceil(fault.Share * float64(l.scenario.Fleet.Sidecars))) // these are the first ones
		if sidecar >= flooded {
			return
		}
		l.peakFactor *= math.Max(fault.Size, 1)
	case scenario.FaultBurst:
		l.peakFactor *= math.Max(fault.Size, 1)
	default:
		return
	}
	l.faults = append(l.faults, arrivalFault{
		kind: fault.Kind,
		from: fault.At.Std(),
		to:   fault.At.Std() + fault.Length.Std(),
		size: fault.Size,
	})
}

// rateFactor returns the rate at a time as a multiple of the mean.
func (l *Source) rateFactor(at time.Duration) float64 {
	factor := 1 + l.scenario.Load.Swing*math.Sin(2*math.Pi*at.Seconds()/l.scenario.Load.SwingPeriod.Std().Seconds())
	for _, fault := range l.faults {
		if fault.activeAt(at, scenario.FaultBurst) || fault.activeAt(at, scenario.FaultFlood) {
			factor *= fault.size
		}
	}
	return factor
}

// Next draws the next arrival. It is false after the scenario's length. Arrivals are a Poisson process whose rate
// changes, drawn by thinning one at the peak rate (Lewis and Shedler, 1979).
func (l *Source) Next() (Request, bool) {
	if l.meanRate <= 0 {
		return Request{}, false
	}
	for {
		seconds := l.random.ExpFloat64() / (l.meanRate * l.peakFactor)
		l.clock += time.Duration(seconds * float64(time.Second))
		if l.clock >= l.scenario.Length.Std() {
			return Request{}, false
		}
		if l.random.Float64()*l.peakFactor < l.rateFactor(l.clock) {
			return l.drawRequest(l.clock), true
		}
	}
}

// drawRequest draws what an arrival requests. The order of the draws is part of what a seed means.
func (l *Source) drawRequest(at time.Duration) Request {
	request := Request{At: at, FirstAt: at, Tenant: noTenant}
	request.Class = drawShare(l.random, l.classShares)
	if len(l.tenantShares) > 0 {
		request.Tenant = drawShare(l.random, l.tenantShares)
	}
	request.Key = l.drawKey(at)
	class := l.scenario.Classes[request.Class]
	clients := &l.scenario.Clients
	request.Work = class.Work.Std().Seconds() * drawFactor(l.random, class.CV)
	request.Timeout = time.Duration(clients.TimeoutShare * float64(class.Deadline.Std()))
	request.RetriesLeft = drawCount(l.random, clients.Retries)
	if l.random.Float64() < clients.ImpatientShare {
		request.LeavesAfter = request.Timeout / 2
	}
	return request
}

// drawKey draws a key, which a hot key may replace.
func (l *Source) drawKey(at time.Duration) uint64 {
	key := l.keys.Draw(l.random)
	for _, fault := range l.faults {
		if fault.activeAt(at, scenario.FaultHotKey) && l.random.Float64() < fault.size {
			key = uint64(l.scenario.Load.Keys) // the distribution draws smaller ones only
		}
	}
	return key
}
