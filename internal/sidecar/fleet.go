package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/proxy"
)

// fleetQueryTimeout bounds how long the fleet's part may take for a question that it answers from memory.
const fleetQueryTimeout = 200 * time.Millisecond

// FleetEnvironment names the operator's file in the environment. Without it no sidecar has a part in a fleet.
const FleetEnvironment = "MILLETRAMP_FLEET"

// JoinFunc begins a sidecar's part in the fleet that the operator's file names. It returns nil, and no error, where none is named. before
// are the addresses at which the sidecar's other processes have theirs.
type JoinFunc func(c *config.Config, before []string, log *slog.Logger, told Callbacks) (Participant, error)

// Participant is a sidecar's part in a fleet. Package member has it; a program that is built without that package has none of
// the fleet's code.
type Participant interface {
	// Address is where other sidecars, and this one's next process, reach the part.
	Address() string
	// CaughtUp is closed once the part knows what the fleet holds, or has tried for long enough.
	CaughtUp() <-chan struct{}
	// Ready tells whether it knows now, and what it is at.
	Ready(ctx context.Context) (ready bool, phase string)
	// Listed says which servers the own list has. It does not wait.
	UpdateServers(servers []ListedServer)
	// Observe implements balance.Observer. It does not wait.
	Observe(endpoint string, s balance.Observation)
	// Knows tells whether the staff has ever said anything of a server.
	KnowsServer(ctx context.Context, server string) (bool, error)
	// TakeOut passes on a call of the staff. Where confirm says so it waits for others to hold it, and returns how many of those
	// that were asked do by then.
	SetAdminDown(ctx context.Context, server string, out, confirm bool) (held, asked int, err error)
	// Status is what is held of the fleet, as JSON.
	Status(ctx context.Context) ([]byte, error)
	// Figures writes the fleet's figures as the console gives them.
	WriteMetrics(ctx context.Context, w io.Writer) error
	// Policy is the fleet's; nil: it has none.
	Policy() proxy.Policy
	// Close says farewell and waits for all that was begun.
	Close() error
}

// Callbacks is what a part tells its sidecar. None of it waits for the sidecar.
type Callbacks struct {
	OnAdminDown  func(servers []string)   // that are out by hand, all of them, each time that they change
	OnSuspicions func(doubts []Suspicion) // in place of those before
	// Check reads a policy whole, with the code that would run it, and says what is wrong with it; "": nothing, and then this
	// sidecar can run it under its number.
	CheckPolicy func(number uint64, text []byte) (fault string)
}

// ListedServer is an entry of the own list.
type ListedServer struct {
	ID        string
	StartedAt time.Time // its last start; zero: long ago
}

// Suspicion is a server that does not do its work, by the word of other sidecars.
type Suspicion struct {
	ID  string
	Age time.Duration // of the youngest word
}

// ErrSuperseded says that this process does not speak for its sidecar in the fleet any more: another one does, as in an upgrade, or
// it is about to end.
var ErrSuperseded = errors.New("this process does not speak for its sidecar any more")

// joinFleet begins this sidecar's part in the fleet, where the operator's file names one, and waits until it has caught
// up, or has tried for long enough. leave ends it.
func (o *operator) joinFleet(stop context.Context, c *config.Config, log *slog.Logger, join JoinFunc) (leave func(), err error) {
	if join == nil {
		if file := c.Getenv(FleetEnvironment); file != "" {
			return nil, fmt.Errorf("%s names %s, and this program is built without a part in a fleet: fleetsidecar has one", FleetEnvironment, file)
		}
		return func() {}, nil
	}
	o.adminDownChanged = make(chan struct{}, 1)
	var before []string
	for _, s := range o.group.member.Others() {
		if s.FleetAddress != "" {
			before = append(before, s.FleetAddress)
		}
	}
	gate := proxy.NewPolicyGate(o.loop, c)
	part, err := join(c, before, log, Callbacks{OnAdminDown: o.applyAdminDown, OnSuspicions: o.applySuspicions, CheckPolicy: func(number uint64, text []byte) string {
		return gate.Check(number, text)
	}})
	if err != nil || part == nil {
		return func() {}, err
	}
	if err := o.group.member.Update(func(s *hotrestart.State) { s.FleetAddress = part.Address() }); err != nil {
		log.Warn("the next process will not ask this one what the fleet holds", "err", err)
	}
	if policy := part.Policy(); policy != nil {
		gate.SetPolicy(policy)
		if err := o.loop.Do(stop, func() { o.loop.SetPolicyGate(gate) }); err != nil {
			return func() {}, errors.Join(err, part.Close())
		}
		o.gate = gate
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		defer close(over)
		o.publishChanges(ctx, log)
	}()
	o.participant.Store(&part)
	o.loop.Post(func() {
		o.loop.SetObserver(part)
		o.loop.SetListObserver(func(endpoints []discovery.Endpoint) { part.UpdateServers(listed(endpoints)) })
	})
	select {
	case <-part.CaughtUp():
	case <-stop.Done():
	}
	return func() {
		cancel()
		o.loop.Post(func() {
			o.loop.SetObserver(nil)
			o.loop.SetSuspected(nil)
		})
		if err := part.Close(); err != nil {
			log.Warn("leaving the fleet", "err", err)
		}
		<-over
	}, nil
}

// fleet is the part in the fleet; nil: there is none.
func (o *operator) fleet() Participant {
	if p := o.participant.Load(); p != nil {
		return *p
	}
	return nil
}

// applyAdminDown takes in which servers the fleet has out by hand. It does not wait. A peer's word may take out what the own
// list names, and put back what the fleet has had out; it ends no drain, as that is the list's.
func (o *operator) applyAdminDown(out []string) {
	o.loop.Post(func() {
		now, here := map[string]bool{}, map[string]bool{}
		for _, id := range o.loop.AdminDown() {
			here[id] = true
		}
		var news []string
		for _, id := range out {
			if now[id] = true; !here[id] {
				news = append(news, id)
			}
		}
		if len(news) > 0 {
			o.loop.AdoptAdminDown(news)
		}
		for id := range o.fleetAdminDown {
			if !now[id] && here[id] {
				o.loop.SetAdminDown(id, false)
			}
		}
		o.fleetAdminDown = now
		select {
		case o.adminDownChanged <- struct{}{}:
		default:
		}
	})
}

// applySuspicions takes in which servers the fleet doubts. It does not wait.
func (o *operator) applySuspicions(doubts []Suspicion) {
	o.loop.Post(func() {
		servers := make([]proxy.SuspectedServer, 0, len(doubts))
		for _, d := range doubts {
			servers = append(servers, proxy.SuspectedServer(d))
		}
		o.loop.SetSuspected(servers)
	})
}

// publishChanges writes down what is out each time that the fleet has changed it, until ctx ends.
func (o *operator) publishChanges(ctx context.Context, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.adminDownChanged:
			if err := o.publishAdminDown(ctx); err != nil && ctx.Err() == nil {
				log.Warn("the next process will not know what is out by hand", "err", err)
			}
		}
	}
}

// publishToFleet passes a call of the staff on to the fleet. known tells whether this sidecar, or its other process, has the
// server. One that the other process has passed on waits for nobody: that process has its own caller waiting.
func (o *operator) publishToFleet(ctx context.Context, id string, out, known, passed bool) (note string, err error) {
	part := o.fleet()
	if part != nil && !known { // on no list here, but it may be out all the same
		if known, err = part.KnowsServer(ctx, id); err != nil {
			return "", err
		}
	}
	switch {
	case !known:
		return "", admin.ErrUnknownServer
	case part == nil:
		return "", nil
	}
	held, asked, err := part.SetAdminDown(ctx, id, out, !passed)
	switch {
	case errors.Is(err, ErrSuperseded) && len(o.group.member.Others()) > 0: // the other process of an upgrade was told
		return "", nil
	case errors.Is(err, ErrSuperseded):
		return "", errors.New("it holds here alone: this process ends, or another sidecar bears its name in the fleet; call at another console")
	case err != nil:
		return "", fmt.Errorf("it holds here, and the fleet may not know: %w", err)
	case passed:
		return "", nil
	case asked == 0:
		return "there is no other sidecar to know of it", nil
	case held == 0:
		return "no other sidecar has answered: this one is cut off, and tells them when it can", nil
	}
	return fmt.Sprintf("%d other sidecars hold it and tell the rest", held), nil
}

// fleetReady tells whether the part in the fleet is ready.
func (o *operator) fleetReady() (ready bool, why string) {
	part := o.fleet()
	if part == nil {
		return true, ""
	}
	if o.gate != nil && !o.gate.Enter(context.Background(), fleetQueryTimeout) {
		return false, "policy: nobody has promised this sidecar one"
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetQueryTimeout)
	defer cancel()
	if ready, phase := part.Ready(ctx); !ready {
		return false, "fleet: " + phase
	}
	return true, ""
}

// PolicyHandler implements console.Sidecar.
func (o *operator) PolicyHandler() http.Handler {
	if o.fleet() == nil || o.gate == nil {
		return nil
	}
	return o.gate.Policy().Handler()
}

// FleetStatus implements console.Sidecar.
func (o *operator) FleetStatus(ctx context.Context) ([]byte, error) {
	part := o.fleet()
	if part == nil {
		return nil, admin.ErrNoFleet
	}
	return part.Status(ctx)
}

// writeFleetMetrics writes the fleet's figures behind the others.
func (o *operator) writeFleetMetrics(ctx context.Context, w io.Writer) error {
	part := o.fleet()
	if part == nil {
		return nil
	}
	return part.WriteMetrics(ctx, w)
}

// listed returns endpoints as entries of the own list.
func listed(endpoints []discovery.Endpoint) []ListedServer {
	servers := make([]ListedServer, 0, len(endpoints))
	for _, e := range endpoints {
		servers = append(servers, ListedServer{e.ID, e.StartedAt})
	}
	return servers
}
