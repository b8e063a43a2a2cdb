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
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/console"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/handover"
	"milletramp.example/milletramp/internal/proxy"
)

// fleetWithin bounds how long the fleet's part may take for a question that it answers from memory.
const fleetWithin = 200 * time.Millisecond

// FleetVariable names the operator's file in the environment. Without it no sidecar has a part in a fleet.
const FleetVariable = "MILLETRAMP_FLEET"

// Join begins a sidecar's part in the fleet that the operator's file names. It returns nil, and no error, where none is named. before
// are the addresses at which the sidecar's other processes have theirs.
type Join func(c *config.Config, before []string, log *slog.Logger, told Told) (Part, error)

// Part is a sidecar's part in a fleet. Package member has it; a program that is built without that package has none of
// the fleet's code.
type Part interface {
	// Address is where other sidecars, and this one's next process, reach the part.
	Address() string
	// CaughtUp is closed once the part knows what the fleet holds, or has tried for long enough.
	CaughtUp() <-chan struct{}
	// Ready tells whether it knows now, and what it is at.
	Ready(ctx context.Context) (ready bool, phase string)
	// Listed says which servers the own list has. It does not wait.
	Listed(servers []Server)
	// Observe implements balance.Observer. It does not wait.
	Observe(endpoint string, s balance.Observation)
	// Knows tells whether the staff has ever said anything of a server.
	Knows(ctx context.Context, server string) (bool, error)
	// TakeOut passes on a call of the staff. Where confirm says so it waits for others to hold it, and returns how many of those
	// that were asked do by then.
	TakeOut(ctx context.Context, server string, out, confirm bool) (held, asked int, err error)
	// Status is what is held of the fleet, as JSON.
	Status(ctx context.Context) ([]byte, error)
	// Figures writes the fleet's figures as the console gives them.
	Figures(ctx context.Context, w io.Writer) error
	// Policy is the fleet's; nil: it has none.
	Policy() proxy.Policy
	// Close says farewell and waits for all that was begun.
	Close() error
}

// Told is what a part tells its sidecar. None of it waits for the sidecar.
type Told struct {
	Out    func(servers []string) // that are out by hand, all of them, each time that they change
	Doubts func(doubts []Doubt)   // in place of those before
	// Check reads a policy whole, with the code that would run it, and says what is wrong with it; "": nothing, and then this
	// sidecar can run it under its number.
	Check func(number uint64, text []byte) (fault string)
}

// Server is an entry of the own list.
type Server struct {
	ID   string
	Boot time.Time // its last start; zero: long ago
}

// Doubt is a server that does not do its work, by the word of other sidecars.
type Doubt struct {
	ID  string
	Age time.Duration // of the youngest word
}

// ErrSilent says that this process does not speak for its sidecar in the fleet any more: another one does, as in an upgrade, or
// it is about to end.
var ErrSilent = errors.New("this process does not speak for its sidecar any more")

// joinFleet begins this sidecar's part in the fleet, where the operator's file names one, and waits until it has caught
// up, or has tried for long enough. leave ends it.
func (o *ops) joinFleet(stop context.Context, c *config.Config, log *slog.Logger, join Join) (leave func(), err error) {
	if join == nil {
		if file := c.Getenv(FleetVariable); file != "" {
			return nil, fmt.Errorf("%s names %s, and this program is built without a part in a fleet: fleetsidecar has one", FleetVariable, file)
		}
		return func() {}, nil
	}
	o.obeyed = make(chan struct{}, 1)
	var before []string
	for _, s := range o.family.member.Others() {
		if s.Fleet != "" {
			before = append(before, s.Fleet)
		}
	}
	gate := proxy.NewPolicyGate(o.host, c)
	part, err := join(c, before, log, Told{Out: o.obey, Doubts: o.doubt, Check: func(number uint64, text []byte) string {
		return gate.Check(number, text)
	}})
	if err != nil || part == nil {
		return func() {}, err
	}
	if err := o.family.member.Update(func(s *handover.State) { s.Fleet = part.Address() }); err != nil {
		log.Warn("the next process will not ask this one what the fleet holds", "err", err)
	}
	if policy := part.Policy(); policy != nil {
		gate.SetPolicy(policy)
		if err := o.host.Do(stop, func() { o.host.SetPolicyGate(gate) }); err != nil {
			return func() {}, errors.Join(err, part.Close())
		}
		o.gate = gate
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		defer close(over)
		o.publishEach(ctx, log)
	}()
	o.part.Store(&part)
	o.host.Post(func() {
		o.host.SetObserver(part)
		o.host.SetListObserver(func(endpoints []discovery.Endpoint) { part.Listed(listed(endpoints)) })
	})
	select {
	case <-part.CaughtUp():
	case <-stop.Done():
	}
	return func() {
		cancel()
		o.host.Post(func() {
			o.host.SetObserver(nil)
			o.host.SetSuspected(nil)
		})
		if err := part.Close(); err != nil {
			log.Warn("leaving the fleet", "err", err)
		}
		<-over
	}, nil
}

// inFleet is the part in the fleet; nil: there is none.
func (o *ops) inFleet() Part {
	if p := o.part.Load(); p != nil {
		return *p
	}
	return nil
}

// obey takes in which servers the fleet has out by hand. It does not wait. A peer's word may take out what the own
// list names, and put back what the fleet has had out; it ends no drain, as that is the list's.
func (o *ops) obey(out []string) {
	o.host.Post(func() {
		now, here := map[string]bool{}, map[string]bool{}
		for _, id := range o.host.AdminDown() {
			here[id] = true
		}
		var news []string
		for _, id := range out {
			if now[id] = true; !here[id] {
				news = append(news, id)
			}
		}
		if len(news) > 0 {
			o.host.AdoptAdminDown(news)
		}
		for id := range o.obeys {
			if !now[id] && here[id] {
				o.host.SetAdminDown(id, false)
			}
		}
		o.obeys = now
		select {
		case o.obeyed <- struct{}{}:
		default:
		}
	})
}

// doubt takes in which servers the fleet doubts. It does not wait.
func (o *ops) doubt(doubts []Doubt) {
	o.host.Post(func() {
		servers := make([]proxy.SuspectedServer, 0, len(doubts))
		for _, d := range doubts {
			servers = append(servers, proxy.SuspectedServer(d))
		}
		o.host.SetSuspected(servers)
	})
}

// publishEach writes down what is out each time that the fleet has changed it, until ctx ends.
func (o *ops) publishEach(ctx context.Context, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.obeyed:
			if err := o.publish(ctx); err != nil && ctx.Err() == nil {
				log.Warn("the next process will not know what is out by hand", "err", err)
			}
		}
	}
}

// tellFleet passes a call of the staff on to the fleet. known tells whether this sidecar, or its other process, has the
// server. One that the other process has passed on waits for nobody: that process has its own caller waiting.
func (o *ops) tellFleet(ctx context.Context, id string, out, known, passed bool) (note string, err error) {
	part := o.inFleet()
	if part != nil && !known { // on no list here, but it may be out all the same
		if known, err = part.Knows(ctx, id); err != nil {
			return "", err
		}
	}
	switch {
	case !known:
		return "", console.ErrUnknown
	case part == nil:
		return "", nil
	}
	held, asked, err := part.TakeOut(ctx, id, out, !passed)
	switch {
	case errors.Is(err, ErrSilent) && len(o.family.member.Others()) > 0: // the other process of an upgrade was told
		return "", nil
	case errors.Is(err, ErrSilent):
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

// caughtUp tells whether the part in the fleet is ready.
func (o *ops) caughtUp() (ready bool, why string) {
	part := o.inFleet()
	if part == nil {
		return true, ""
	}
	if o.gate != nil && !o.gate.Enter(context.Background(), fleetWithin) {
		return false, "policy: nobody has promised this sidecar one"
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetWithin)
	defer cancel()
	if ready, phase := part.Ready(ctx); !ready {
		return false, "fleet: " + phase
	}
	return true, ""
}

// Policy implements console.Sidecar.
func (o *ops) Policy() http.Handler {
	if o.inFleet() == nil || o.gate == nil {
		return nil
	}
	return o.gate.Policy().Handler()
}

// Fleet implements console.Sidecar.
func (o *ops) Fleet(ctx context.Context) ([]byte, error) {
	part := o.inFleet()
	if part == nil {
		return nil, console.ErrNoFleet
	}
	return part.Status(ctx)
}

// fleetFigures writes the fleet's figures behind the others.
func (o *ops) fleetFigures(ctx context.Context, w io.Writer) error {
	part := o.inFleet()
	if part == nil {
		return nil
	}
	return part.Figures(ctx, w)
}

// listed returns endpoints as entries of the own list.
func listed(endpoints []discovery.Endpoint) []Server {
	servers := make([]Server, 0, len(endpoints))
	for _, e := range endpoints {
		servers = append(servers, Server{e.ID, e.StartedAt})
	}
	return servers
}
