// Package load draws what clients ask for: open-loop arrivals, which never wait for answers, with classes, keys, work and
// patience, and what a client does with the answer. It does no I/O, and the same seed always draws the same.
package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// Ask is one request as its client makes it.
type Ask struct {
	At     time.Duration
	Class  int
	Tenant int // -1: none
	Key    uint64
	Work   float64       // true work in seconds on a standard core
	Wait   time.Duration // the client's patience with this try
	Tries  int           // further tries that the client may make
	Leaves time.Duration // when the client leaves early, from At; 0: it stays
	Try    int           // 0: the first
	First  time.Duration // when the first try was made
}

// Source draws the arrivals at one sidecar, in order of time.
type Source struct {
	s      *scenario.Scenario
	rng    *rand.Rand
	rate   float64 // mean, a second
	peak   float64 // bound of rate's factor
	bends  []bend
	at     time.Duration
	keys   *Zipf
	shares []float64 // of classes, added up
	owners []float64 // of tenants, added up
}

// bend is a trouble that changes the arrivals.
type bend struct {
	kind     string
	from, to time.Duration
	size     float64
}

// New returns the source for a sidecar. keys may be shared between the sources of a run.
func New(s *scenario.Scenario, sidecar int, seed uint64, keys *Zipf) *Source {
	total, own := 0.0, 0.0
	for i := range s.Fleet.Sidecars {
		w := math.Pow(float64(i+1), -s.Load.Skew)
		if total += w; i == sidecar {
			own = w
		}
	}
	l := &Source{s: s, rng: rand.New(rand.NewPCG(seed, uint64(sidecar)+0x10ad)), rate: s.Rate() * own / total,
		peak: 1 + s.Load.Swing, keys: keys}
	for _, t := range s.Trouble {
		b := bend{t.Kind, t.At.Std(), t.At.Std() + t.For.Std(), t.Size}
		switch t.Kind {
		case "flood": // the first sidecars flood
			if sidecar >= int(math.Ceil(t.Part*float64(s.Fleet.Sidecars))) {
				continue
			}
			l.peak *= math.Max(t.Size, 1)
		case "burst":
			l.peak *= math.Max(t.Size, 1)
		case "hot_key":
		default:
			continue
		}
		l.bends = append(l.bends, b)
	}
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share
		l.shares = append(l.shares, sum)
	}
	sum = 0
	for _, t := range s.Tenants {
		sum += t.Share
		l.owners = append(l.owners, sum)
	}
	return l
}

// factor is the rate at a time against the mean.
func (l *Source) factor(at time.Duration) float64 {
	f := 1 + l.s.Load.Swing*math.Sin(2*math.Pi*at.Seconds()/l.s.Load.Wave.Std().Seconds())
	for _, b := range l.bends {
		if (b.kind == "burst" || b.kind == "flood") && at >= b.from && at < b.to {
			f *= b.size
		}
	}
	return f
}

// Next draws the next arrival. It is false after the scenario's length.
func (l *Source) Next() (Ask, bool) {
	if l.rate <= 0 {
		return Ask{}, false
	}
	for { // thinning of a Poisson process at the peak rate (Lewis and Shedler, 1979)
		l.at += time.Duration(l.rng.ExpFloat64() / (l.rate * l.peak) * 1e9)
		if l.at >= l.s.Length.Std() {
			return Ask{}, false
		}
		if l.rng.Float64()*l.peak < l.factor(l.at) {
			return l.draw(l.at), true
		}
	}
}

// draw draws a request.
func (l *Source) draw(at time.Duration) Ask {
	a := Ask{At: at, First: at, Tenant: -1, Class: min(sort.SearchFloat64s(l.shares, l.rng.Float64()), len(l.shares)-1)}
	if len(l.owners) > 0 {
		a.Tenant = min(sort.SearchFloat64s(l.owners, l.rng.Float64()), len(l.owners)-1)
	}
	a.Key = l.keys.Draw(l.rng)
	for _, b := range l.bends {
		if b.kind == "hot_key" && at >= b.from && at < b.to && l.rng.Float64() < b.size {
			a.Key = uint64(l.s.Load.Keys) // one that is rare otherwise
		}
	}
	c := l.s.Classes[a.Class]
	a.Work = c.Work.Std().Seconds() * spread(l.rng, c.CV)
	a.Wait = time.Duration(l.s.Clients.TryShare * float64(c.Deadline.Std()))
	whole, part := math.Modf(l.s.Clients.Retries)
	if a.Tries = int(whole); l.rng.Float64() < part {
		a.Tries++
	}
	if l.rng.Float64() < l.s.Clients.Impatient {
		a.Leaves = a.Wait / 2
	}
	return a
}

// spread draws a factor of mean 1 with a coefficient of variation: exponential at 1, else log-normal.
func spread(rng *rand.Rand, cv float64) float64 {
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
	Served  Outcome = iota
	Refused         // trying again is harmless
	Failed
	Unreached // no connection, or it broke before the request was written
)

// Again tells whether the client makes another try, and when. after is the sidecar's advice, 0 for none.
func Again(s *scenario.Scenario, a Ask, now time.Duration, how Outcome, after time.Duration, rng *rand.Rand) (Ask, bool) {
	c := s.Classes[a.Class]
	repeats := c.Effect == "idempotent" || c.Effect == "deduplicated" && c.Scope == "all"
	if how == Served || a.Tries == 0 || how == Failed && !repeats {
		return Ask{}, false
	}
	wait := time.Duration(float64(s.Clients.Backoff.Std()) * math.Pow(s.Clients.Growth, float64(a.Try)) * (0.5 + rng.Float64()))
	if after > 0 && rng.Float64() < s.Clients.Honour {
		wait = max(wait, min(after, s.Clients.MostAfter.Std()))
	}
	a.At = now + wait
	a.Tries--
	a.Try++
	a.Leaves = 0
	left := a.First + c.Deadline.Std() - a.At // the deadline is for all tries
	if a.Wait = min(a.Wait, left); a.Wait < 10*time.Millisecond {
		return Ask{}, false
	}
	return a, true
}

// Zipf draws from 0 to n-1 with probabilities in proportion to (i+1)^-exponent, any exponent from 0 up.
type Zipf struct{ sums []float64 }

// NewZipf returns the distribution.
func NewZipf(n int, exponent float64) *Zipf {
	z := &Zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i+1), -exponent)
		z.sums[i] = sum
	}
	return z
}

// Draw draws one.
func (z *Zipf) Draw(rng *rand.Rand) uint64 {
	return uint64(min(sort.SearchFloat64s(z.sums, rng.Float64()*z.sums[len(z.sums)-1]), len(z.sums)-1))
}
