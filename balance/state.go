package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/loadlevel"
	"milletramp.example/milletramp/internal/quota"
	"milletramp.example/milletramp/internal/repeats"
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	set     Settings
	act     Actions
	witness Witness // nil: nobody wants to know
	rng     *rand.Rand
	index
	active     []*endpoint     // members of the subsets
	out        map[string]bool // taken out by hand, listed or not
	back       map[string]Time // put back by hand, and when
	groups     []*group        // of the best rule, and a last one of all endpoints
	fleet      *group          // the last of them
	loadLevel  loadlevel.Meter // of answers now, against those that the rest of this knows
	apart      [2]group        // what answers took in the own zone and in the others
	requests   map[RequestID]*request
	tenants    []quota.Meter // of this sidecar's parts of their allowances
	work       []float64     // mean time of the answers in seconds, by class
	spread     []float64     // mean distance of their times from it
	ended      float64       // fading count of attempts that ended
	failed     float64       // and of those that failed
	mean       float64       // mean time of the answers in seconds, of all classes
	shape      *repeats.Shape
	losses     repeats.Record // of the fleet
	budget     repeats.Budget
	aim        float64    // the shortest aim
	dropped    []bool     // of the classes, that are in the settings no more
	near       [2]float64 // weight of the own zone, which is 1, and of the others
	room       float64    // registered size of the active endpoints for their warmth and zone
	whole      float64    // and for their warmth alone
	arrived    float64    // fading count of requests
	allowed    float64    // sum of the tenants' allowances
	grouped    Time       // when the subsets were last taken
	sends      float64    // count of attempts sent
	doubts     int        // endpoints that others speak ill of
	panicking  bool       // so much is ejected that the fault is likely ours
	subscribed bool
	tight      Time // until then lesser classes give way
	refusals   int  // of discovery calls, in a row

	capacity capacityMeter // of warm endpoints, as this sidecar sees it
}

// request is a request that is not over, or has attempts out.
type request struct {
	Request
	class    *Class
	deadline Time
	over     bool // beyond its tenant's allowance
	reached  bool // an attempt has got to an endpoint, or may have
	paid     bool // the next attempt is paid for
	ended    bool // has its final answer
	out      int  // attempts without a result
	attempts []attempt
}

// attempt is one sending of a request.
type attempt struct {
	to      *endpoint
	sent    Time
	owed    Time    // its answer is taken to be due since
	held    float64 // what the endpoint held, this attempt included
	done    bool
	mayRun  bool    // done, and may have run
	dropped bool    // not counted as in flight any more
	silent  bool    // counts for the silence of its endpoint
	late    bool    // a witness was told that it is late
	copied  bool    // another attempt was made as this one seemed lost
	scale   float64 // seconds that its answer is expected to take
	alarm   float64 // weight of its silence in the test of its class
	doubt   float64 // probability with which it counts as lost already; 0: it does not count yet

	expected float64 // seconds that its answer was expected to take at the sending
}

// forgive has the attempt's answer be due from now on.
func (a *attempt) forgive(now Time) {
	if !a.dropped {
		a.to.sent += now - a.owed
		a.owed = now
	}
}

// drop has the attempt count for its endpoint no more.
func (a *attempt) drop() {
	if !a.dropped {
		a.dropped = true
		a.to.inFlight--
		a.to.sent -= a.owed
	}
}

// endpoint is a server and what this sidecar has of it.
type endpoint struct {
	Endpoint
	seen
	inFlight int      // this sidecar's attempts out
	sent     Time     // sum of the times since which those are owed
	heard    Time     // when it last answered
	word     Time     // when others last spoke ill of it; 0: they do not
	warm     float64  // share of its capacity that it has
	fresh    bool     // its process has started and has no turn yet
	turns    turns    // while it is cold, towards its next request
	abroad   int      // 1 in another zone, 0 in the sidecar's own
	home     *group   // the first whose tags it carries; its peers there are alike
	joins    []*group // of the rule, whose tags it carries
	key      uint64   // its place on their rings
	listed   bool     // it is in the index
	at       int      // and where
	placed   bool     // and in the rings: ready, and not out
	warming  bool     // in the list of the cold ones
	weighed  float64  // the warmth that it counts with in its groups' sizes
	active   bool     // in the subset of one of them
	open     bool     // may be chosen for the request in hand
	expects  float64  // seconds that it was expected to take for that
}

// seen is what the sidecar has seen of an endpoint's process.
type seen struct {
	took    float64        // fading sum of the seconds that answers took
	held    float64        // and of the requests it held
	told    Time           // when an attempt last told how fast it is
	ended   float64        // fading count of attempts that ended
	failed  float64        // and of those that failed
	faults  repeats.Alarm  // for one that fails much more than the others
	broke   Time           // when a fault last counted
	until   Time           // ejected until
	loss    repeats.Record // of its attempts that it would have answered, had it answered any
	silent  repeats.Alarm  // for an endpoint that loses all
	hushed  Time           // when a silence last counted
	classes []repeats.Access

	slowdown repeats.Slowdown // of its latest answers, against what was expected of them
}

func (b *Balancer) nothing(now Time) seen {
	return seen{told: now, classes: make([]repeats.Access, len(b.set.Classes))}
}

// group is one destination of the best rule, or all endpoints.
type group struct {
	dest     Destination
	ready    []*endpoint // in order of the ring
	anchor   uint64      // where on the ring the subset begins
	anchorID string
	anchored bool
	wants    int         // how many the subset is to have
	inUse    bool        // it has a part in the schedule
	total    float64     // registered size of the ready ones
	members  []*endpoint // the sidecar's subset of them, in order of rotation
	size     [2]float64  // registered size of the ready ones for their warmth, in the own zone and elsewhere
	heard    Time        // when any of its endpoints last answered
	told     Time        // when an attempt last told how fast its endpoints are
	took     float64     // fading sum of the seconds that answers of endpoints at home in it took
	held     float64     // and of the requests held for a unit of size
	owed     float64     // seconds for which answers of those have been due, at the last tick
	whole    float64     // the largest registered size ever ready in it
	next     int         // whose turn it is
	credit   float64     // of the smooth weighted schedule
}

// New returns a Balancer, or an error that says what is wrong with the settings.
func New(set Settings, act Actions) (*Balancer, error) {
	if set.Rules == nil {
		set.Rules = DefaultRules(set.Service, set.Zones, set.Kinds)
	}
	if err := check(set, act); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b := &Balancer{set: set, act: act, out: map[string]bool{},
		index: index{known: map[string]*endpoint{}, joins: map[[2]string][]*group{}},
		back:  map[string]Time{}, requests: map[RequestID]*request{},
		rng: rand.New(rand.NewPCG(set.Seed, uint64(set.Self))), tenants: make([]quota.Meter, len(set.Tenants)),
		near:  [2]float64{1, leastNear},
		shape: repeats.NewShape(), budget: repeats.NewBudget(len(set.Classes), budgetShare, budgetMost)}
	b.setTerms()
	b.mean = b.aim
	b.setRoutes()
	act.Timer(time.Duration(b.rng.Float64()*float64(tickEvery)), tokenTick)
	if set.AskDiscovery {
		// Danger: all sidecars start at once, and the list service serves few calls at a time.
		turn := (float64(set.Self) + b.rng.Float64()) / float64(set.Peers)
		act.Timer(time.Duration(turn*float64(max(set.MustAsk/2, time.Second))), tokenAsk)
	}
	return b, nil
}

// setTerms takes in the settings of classes and tenants.
func (b *Balancer) setTerms() {
	b.aim, b.allowed = 0, 0
	b.dropped = append(b.dropped, make([]bool, len(b.set.Classes)-len(b.dropped))...)
	for i, c := range b.set.Classes {
		if !b.dropped[i] {
			b.aim = min(cmp.Or(b.aim, c.Aim.Seconds()), c.Aim.Seconds())
		}
		if i == len(b.work) {
			b.work = append(b.work, c.Aim.Seconds()) // until answers tell
			b.spread = append(b.spread, 0)
		}
	}
	for _, t := range b.set.Tenants {
		b.allowed += t.Allowance
	}
	b.budget.Grow(len(b.set.Classes))
	for _, e := range b.known {
		e.classes = append(e.classes, make([]repeats.Access, len(b.set.Classes)-len(e.classes))...)
	}
}

// Configure replaces the settings, but for those of the sidecar's place in the deployment: its number, zone
// and rules. Requests that are open keep their class, and what is known of endpoints stays. It returns where
// each new class stands from now on, for Request, or an error, and then nothing has changed. A class is known
// by its name, and one that is dropped keeps its place.
func (b *Balancer) Configure(set Settings) (places []int, err error) {
	return b.configure(set, true)
}

// CanConfigure returns the error that Configure would, and changes nothing.
func (b *Balancer) CanConfigure(set Settings) error {
	_, err := b.configure(set, false)
	return err
}

func (b *Balancer) configure(set Settings, take bool) (places []int, err error) {
	old := b.set
	set.Seed, set.Self, set.Peers, set.Kinds = old.Seed, old.Self, old.Peers, old.Kinds
	set.Zone, set.Zones = old.Zone, old.Zones
	set.Service, set.Tags, set.Rules, set.AskDiscovery = old.Service, old.Tags, old.Rules, old.AskDiscovery
	if err := check(set, b.act); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	classes, dropped := slices.Clone(old.Classes), make([]bool, len(old.Classes))
	for i := range dropped {
		dropped[i] = true
	}
	for i, c := range set.Classes {
		at := slices.IndexFunc(classes, func(o Class) bool { return o.Name == c.Name })
		switch {
		case slices.Contains(places, at):
			return nil, fmt.Errorf("balance: class %d, %q: named twice", i, c.Name)
		case at >= 0:
			classes[at], dropped[at] = c, false
		case len(classes) >= mostClasses:
			return nil, fmt.Errorf("balance: class %d, %q: more than %d so far", i, c.Name, mostClasses)
		default:
			at = len(classes)
			classes, dropped = append(classes, c), append(dropped, false)
		}
		places = append(places, at)
	}
	if !take {
		return places, nil
	}
	set.Classes = classes
	b.set, b.dropped = set, dropped
	tenants := make([]quota.Meter, len(set.Tenants))
	for i, t := range set.Tenants {
		at := slices.IndexFunc(old.Tenants, func(o Tenant) bool { return o.Name == t.Name })
		if at >= 0 {
			tenants[i] = b.tenants[at]
		}
	}
	b.tenants = tenants
	b.setTerms()
	return places, nil
}
