// Package workload draws what clients ask for: open-loop arrivals, which never wait for answers, with classes, keys, work and
// patience, and what a client does with the answer. It does no I/O, and the same seed always draws the same.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// Request is one request as its client makes it.
type Request struct {
	At          time.Duration
	Class       int
	Tenant      int // -1: none
	Key         uint64
	Work        float64       // true work in seconds on a standard core
	Timeout     time.Duration // the client's patience with this try
	RetriesLeft int           // further tries that the client may make
	LeavesAfter time.Duration // when the client leaves early, from At; 0: it stays
	RetriesMade int           // 0: the first
	FirstAt     time.Duration // when the first try was made
}

// Source draws the arrivals at one sidecar, in order of time.
type Source struct {
	scenario     *scenario.Scenario
	random       *rand.Rand
	meanRate     float64 // mean, a second
	peakFactor   float64 // bound of rate's factor
	faults       []arrivalFault
	clock        time.Duration
	keys         *Zipf
	classShares  []float64 // of classes, added up
	tenantShares []float64 // of tenants, added up
}

// arrivalFault is a trouble that changes the arrivals.
type arrivalFault struct {
	kind     string
	from, to time.Duration
	size     float64
}

// NewSource returns the source for a sidecar. keys may be shared between the sources of a run.
func NewSource(s *scenario.Scenario, sidecar int, seed uint64, keys *Zipf) *Source {
	total, own := 0.0, 0.0
	for i := range s.Fleet.Sidecars {
		w := math.Pow(float64(i+1), -s.Load.Skew)
		if total += w; i == sidecar {
			own = w
		}
	}
	l := &Source{scenario: s, random: rand.New(rand.NewPCG(seed, uint64(sidecar)+0x10ad)), meanRate: s.Rate() * own / total,
		peakFactor: 1 + s.Load.Swing, keys: keys}
	for _, t := range s.Trouble {
		b := arrivalFault{t.Kind, t.At.Std(), t.At.Std() + t.For.Std(), t.Size}
		switch t.Kind {
		case "flood": // the first sidecars flood
			if sidecar >= int(math.Ceil(t.Part*float64(s.Fleet.Sidecars))) {
				continue
			}
			l.peakFactor *= math.Max(t.Size, 1)
		case "burst":
			l.peakFactor *= math.Max(t.Size, 1)
		case "hot_key":
		default:
			continue
		}
		l.faults = append(l.faults, b)
	}
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share
		l.classShares = append(l.classShares, sum)
	}
	sum = 0
	for _, t := range s.Tenants {
		sum += t.Share
		l.tenantShares = append(l.tenantShares, sum)
	}
	return l
}

// rateFactor is the rate at a time against the mean.
func (l *Source) rateFactor(at time.Duration) float64 {
	f := 1 + l.scenario.Load.Swing*math.Sin(2*math.Pi*at.Seconds()/l.scenario.Load.Wave.Std().Seconds())
	for _, b := range l.faults {
		if (b.kind == "burst" || b.kind == "flood") && at >= b.from && at < b.to {
			f *= b.size
		}
	}
	return f
}

// Next draws the next arrival. It is false after the scenario's length.
func (l *Source) Next() (Request, bool) {
	if l.meanRate <= 0 {
		return Request{}, false
	}
	for { // thinning of a Poisson process at the peak rate (Lewis and Shedler, 1979)
		l.clock += time.Duration(l.random.ExpFloat64() / (l.meanRate * l.peakFactor) * 1e9)
		if l.clock >= l.scenario.Length.Std() {
			return Request{}, false
		}
		if l.random.Float64()*l.peakFactor < l.rateFactor(l.clock) {
			return l.drawRequest(l.clock), true
		}
	}
}

// drawRequest draws a request.
func (l *Source) drawRequest(at time.Duration) Request {
	a := Request{At: at, FirstAt: at, Tenant: -1, Class: min(sort.SearchFloat64s(l.classShares, l.random.Float64()), len(l.classShares)-1)}
	if len(l.tenantShares) > 0 {
		a.Tenant = min(sort.SearchFloat64s(l.tenantShares, l.random.Float64()), len(l.tenantShares)-1)
	}
	a.Key = l.keys.Draw(l.random)
	for _, b := range l.faults {
		if b.kind == "hot_key" && at >= b.from && at < b.to && l.random.Float64() < b.size {
			a.Key = uint64(l.scenario.Load.Keys) // one that is rare otherwise
		}
	}
	c := l.scenario.Classes[a.Class]
	a.Work = c.Work.Std().Seconds() * drawFactor(l.random, c.CV)
	a.Timeout = time.Duration(l.scenario.Clients.TryShare * float64(c.Deadline.Std()))
	whole, part := math.Modf(l.scenario.Clients.Retries)
	if a.RetriesLeft = int(whole); l.random.Float64() < part {
		a.RetriesLeft++
	}
	if l.random.Float64() < l.scenario.Clients.Impatient {
		a.LeavesAfter = a.Timeout / 2
	}
	return a
}

// drawFactor draws a factor of mean 1 with a coefficient of variation: exponential at 1, else log-normal.
func drawFactor(rng *rand.Rand, cv float64) float64 {
	switch cv {
	case 0:
		return 1
	case 1:
		return rng.ExpFloat64()
	}
	v := math.Log1p(cv * cv)
	return math.Exp(math.Sqrt(v)*rng.NormFloat64() - v/2)
}

// Outcome is how a try ended for its client.
type Outcome int

// The outcomes of a try.
const (
	Served   Outcome = iota
	Rejected         // trying again is harmless
	Failed
	Unreachable // no connection, or it broke before the request was written
)

// Retry tells whether the client makes another try, and when. after is the sidecar's advice, 0 for none.
func Retry(s *scenario.Scenario, a Request, now time.Duration, how Outcome, after time.Duration, rng *rand.Rand) (Request, bool) {
	c := s.Classes[a.Class]
	repeats := c.Effect == "idempotent" || c.Effect == "deduplicated" && c.Scope == "all"
	if how == Served || a.RetriesLeft == 0 || how == Failed && !repeats {
		return Request{}, false
	}
	wait := time.Duration(float64(s.Clients.Backoff.Std()) * math.Pow(s.Clients.Growth, float64(a.RetriesMade)) * (0.5 + rng.Float64()))
	if after > 0 && rng.Float64() < s.Clients.Honour {
		wait = max(wait, min(after, s.Clients.MostAfter.Std()))
	}
	a.At = now + wait
	a.RetriesLeft--
	a.RetriesMade++
	a.LeavesAfter = 0
	left := a.FirstAt + c.Deadline.Std() - a.At // the deadline is for all tries
	if a.Timeout = min(a.Timeout, left); a.Timeout < 10*time.Millisecond {
		return Request{}, false
	}
	return a, true
}

// Zipf draws from 0 to n-1 with probabilities in proportion to (i+1)^-exponent, any exponent from 0 up.
type Zipf struct{ cumulative []float64 }

// NewZipf returns the distribution.
func NewZipf(n int, exponent float64) *Zipf {
	z := &Zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		z.cumulative[i] = sum
	}
	return z
}

// Draw draws one.
func (z *Zipf) Draw(rng *rand.Rand) uint64 {
	return uint64(min(sort.SearchFloat64s(z.cumulative, rng.Float64()*z.cumulative[len(z.cumulative)-1]), len(z.cumulative)-1))
}
