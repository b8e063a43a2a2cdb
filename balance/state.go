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
	settings Settings
	actions  Actions
	observer Observer // nil: nobody wants to know
	random   *rand.Rand
	index
	active            []*endpoint     // members of the subsets
	adminDown         map[string]bool // taken out by hand, listed or not
	restored          map[string]Time // put back by hand, and when
	groups            []*group        // of the best rule, and a last one of all endpoints
	allEndpoints      *group          // the last of them
	loadLevel         loadlevel.Meter // of answers now, against those that the rest of this knows
	zoneTimes         [2]group        // what answers took in the own zone and in the others
	requests          map[RequestID]*request
	tenants           []quota.Meter // of this sidecar's parts of their allowances
	meanTime          []float64     // mean time of the answers in seconds, by class
	timeDeviation     []float64     // mean distance of their times from it
	endedAttempts     float64       // fading count of attempts that ended
	failedAttempts    float64       // and of those that failed
	meanTimeOfAll     float64       // mean time of the answers in seconds, of all classes
	answerTimes       *repeats.Shape
	fleetLosses       repeats.Record // of the fleet
	retryBudget       repeats.Budget
	objective         float64    // the shortest aim
	removedClasses    []bool     // of the classes, that are in the settings no more
	zoneWeight        [2]float64 // weight of the own zone, which is 1, and of the others
	zonedCapacity     float64    // registered size of the active endpoints for their warmth and zone
	activeCapacity    float64    // and for their warmth alone
	arrivals          float64    // fading count of requests
	allowances        float64    // sum of the tenants' allowances
	subsetsTaken      Time       // when the subsets were last taken
	sends             float64    // count of attempts sent
	suspects          int        // endpoints that others speak ill of
	panicking         bool       // so much is ejected that the fault is likely ours
	subscribed        bool
	overloadedUntil   Time // until then lesser classes give way
	discoveryFailures int  // of discovery calls, in a row

	capacity capacityMeter // of warm endpoints, as this sidecar sees it
}

// request is a request that is not over, or has attempts out.
type request struct {
	Request
	class         *Class
	deadline      Time
	overAllowance bool // beyond its tenant's allowance
	reached       bool // an attempt has got to an endpoint, or may have
	prepaid       bool // the next attempt is paid for
	ended         bool // has its final answer
	outstanding   int  // attempts without a result
	attempts      []attempt
}

// attempt is one sending of a request.
type attempt struct {
	endpoint        *endpoint
	sent            Time
	dueSince        Time    // its answer is taken to be due since
	inFlightThen    float64 // what the endpoint held, this attempt included
	done            bool
	mayHaveRun      bool    // done, and may have run
	uncounted       bool    // not counted as in flight any more
	countsAsSilence bool    // counts for the silence of its endpoint
	reportedLate    bool    // a witness was told that it is late
	hedged          bool    // another attempt was made as this one seemed lost
	expectedNow     float64 // seconds that its answer is expected to take
	alarmWeight     float64 // weight of its silence in the test of its class
	lossProbability float64 // probability with which it counts as lost already; 0: it does not count yet

	expectedAtSend float64 // seconds that its answer was expected to take at the sending
}

// restartWait has the attempt's answer be due from now on.
func (a *attempt) restartWait(now Time) {
	if !a.uncounted {
		a.endpoint.dueSinceSum += now - a.dueSince
		a.dueSince = now
	}
}

// uncount has the attempt count for its endpoint no more.
func (a *attempt) uncount() {
	if !a.uncounted {
		a.uncounted = true
		a.endpoint.inFlight--
		a.endpoint.dueSinceSum -= a.dueSince
	}
}

// endpoint is a server and what this sidecar has of it.
type endpoint struct {
	Endpoint
	observations
	inFlight        int      // this sidecar's attempts out
	dueSinceSum     Time     // sum of the times since which those are owed
	lastResponse    Time     // when it last answered
	reportedAt      Time     // when others last spoke ill of it; 0: they do not
	warmth          float64  // share of its capacity that it has
	awaitsFirstTurn bool     // its process has started and has no turn yet
	turns           turns    // while it is cold, towards its next request
	zoneIndex       int      // 1 in another zone, 0 in the sidecar's own
	homeGroup       *group   // the first whose tags it carries; its peers there are alike
	memberOf        []*group // of the rule, whose tags it carries
	ringKey         uint64   // its place on their rings
	listed          bool     // it is in the index
	listPosition    int      // and where
	usable          bool     // and in the rings: ready, and not out
	inColdList      bool     // in the list of the cold ones
	countedWarmth   float64  // the warmth that it counts with in its groups' sizes
	active          bool     // in the subset of one of them
	eligible        bool     // may be chosen for the request in hand
	expectedSeconds float64  // seconds that it was expected to take for that
}

// observations is what the sidecar has seen of an endpoint's process.
type observations struct {
	answerSeconds  float64        // fading sum of the seconds that answers took
	answerInFlight float64        // and of the requests it held
	lastSample     Time           // when an attempt last told how fast it is
	endedAttempts  float64        // fading count of attempts that ended
	failedAttempts float64        // and of those that failed
	failureAlarm   repeats.Alarm  // for one that fails much more than the others
	lastFailure    Time           // when a fault last counted
	ejectedUntil   Time           // ejected until
	losses         repeats.Record // of its attempts that it would have answered, had it answered any
	silenceAlarm   repeats.Alarm  // for an endpoint that loses all
	lastSilence    Time           // when a silence last counted
	classes        []repeats.Access

	slowdown repeats.Slowdown // of its latest answers, against what was expected of them
}

func (b *Balancer) newObservations(now Time) observations {
	return observations{lastSample: now, classes: make([]repeats.Access, len(b.settings.Classes))}
}

// group is one destination of the best rule, or all endpoints.
type group struct {
	destination    Destination
	endpoints      []*endpoint // in order of the ring
	anchor         uint64      // where on the ring the subset begins
	anchorID       string
	anchored       bool
	subsetSize     int         // how many the subset is to have
	inUse          bool        // it has a part in the schedule
	totalWeight    float64     // registered size of the ready ones
	subset         []*endpoint // the sidecar's subset of them, in order of rotation
	capacity       [2]float64  // registered size of the ready ones for their warmth, in the own zone and elsewhere
	lastResponse   Time        // when any of its endpoints last answered
	lastSample     Time        // when an attempt last told how fast its endpoints are
	answerSeconds  float64     // fading sum of the seconds that answers of endpoints at home in it took
	answerInFlight float64     // and of the requests held for a unit of size
	waitingSeconds float64     // seconds for which answers of those have been due, at the last tick
	largestWeight  float64     // the largest registered size ever ready in it
	next           int         // whose turn it is
	credit         float64     // of the smooth weighted schedule
}

// New returns a Balancer, or an error that says what is wrong with the settings.
func New(set Settings, act Actions) (*Balancer, error) {
	if set.Rules == nil {
		set.Rules = DefaultRules(set.Service, set.Zones, set.Kinds)
	}
	if err := check(set, act); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b := &Balancer{settings: set, actions: act, adminDown: map[string]bool{},
		index:    index{known: map[string]*endpoint{}, groupsByTags: map[[2]string][]*group{}},
		restored: map[string]Time{}, requests: map[RequestID]*request{},
		random: rand.New(rand.NewPCG(set.Seed, uint64(set.Ordinal))), tenants: make([]quota.Meter, len(set.Tenants)),
		zoneWeight:  [2]float64{1, minZoneWeight},
		answerTimes: repeats.NewShape(), retryBudget: repeats.NewBudget(len(set.Classes), retryBudgetRatio, retryBudgetMax)}
	b.applyClasses()
	b.meanTimeOfAll = b.objective
	b.makeGroups()
	act.Timer(time.Duration(b.random.Float64()*float64(tickEvery)), tokenTick)
	if set.PollDiscovery {
		// Danger: all sidecars start at once, and the list service serves few calls at a time.
		turn := (float64(set.Ordinal) + b.random.Float64()) / float64(set.Peers)
		act.Timer(time.Duration(turn*float64(max(set.MaxListAge/2, time.Second))), tokenDiscovery)
	}
	return b, nil
}

// applyClasses takes in the settings of classes and tenants.
func (b *Balancer) applyClasses() {
	b.objective, b.allowances = 0, 0
	b.removedClasses = append(b.removedClasses, make([]bool, len(b.settings.Classes)-len(b.removedClasses))...)
	for i, c := range b.settings.Classes {
		if !b.removedClasses[i] {
			b.objective = min(cmp.Or(b.objective, c.LatencyObjective.Seconds()), c.LatencyObjective.Seconds())
		}
		if i == len(b.meanTime) {
			b.meanTime = append(b.meanTime, c.LatencyObjective.Seconds()) // until answers tell
			b.timeDeviation = append(b.timeDeviation, 0)
		}
	}
	for _, t := range b.settings.Tenants {
		b.allowances += t.Allowance
	}
	b.retryBudget.Grow(len(b.settings.Classes))
	for _, e := range b.known {
		e.classes = append(e.classes, make([]repeats.Access, len(b.settings.Classes)-len(e.classes))...)
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
	old := b.settings
	set.Seed, set.Ordinal, set.Peers, set.Kinds = old.Seed, old.Ordinal, old.Peers, old.Kinds
	set.Zone, set.Zones = old.Zone, old.Zones
	set.Service, set.Tags, set.Rules, set.PollDiscovery = old.Service, old.Tags, old.Rules, old.PollDiscovery
	if err := check(set, b.actions); err != nil {
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
		case len(classes) >= maxClasses:
			return nil, fmt.Errorf("balance: class %d, %q: more than %d so far", i, c.Name, maxClasses)
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
	b.settings, b.removedClasses = set, dropped
	tenants := make([]quota.Meter, len(set.Tenants))
	for i, t := range set.Tenants {
		at := slices.IndexFunc(old.Tenants, func(o Tenant) bool { return o.Name == t.Name })
		if at >= 0 {
			tenants[i] = b.tenants[at]
		}
	}
	b.tenants = tenants
	b.applyClasses()
	return places, nil
}
