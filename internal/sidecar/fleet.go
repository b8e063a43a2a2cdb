package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/proxy"
)

// fleetQueryTimeout bounds a question that the part in the fleet answers from memory.
const fleetQueryTimeout = 200 * time.Millisecond

// joinFleet begins this sidecar's part in the fleet, where the operator's file names one, and waits until it has caught
// up, or has tried for long enough. leave ends it.
func (o *operator) joinFleet(stop context.Context, c *config.Config, log *slog.Logger,
	join JoinFunc) (leave func(), err error) {
	nothing := func() {}
	if join == nil {
		return nothing, checkNoFleet(c)
	}
	o.adminDownChanged = make(chan struct{}, 1)
	gate := proxy.NewPolicyGate(o.loop, c)
	participant, err := join(c, o.group.fleetAddresses(), log, Callbacks{
		OnAdminDown:  o.applyAdminDown,
		OnSuspicions: o.applySuspicions,
		CheckPolicy:  gate.Check,
	})
	if err != nil || participant == nil {
		return nothing, err
	}
	err = o.group.member.Update(func(s *hotrestart.State) { s.FleetAddress = participant.Address() })
	if err != nil {
		log.Warn("the next process will not ask this one what the fleet holds", "err", err)
	}
	if policy := participant.Policy(); policy != nil {
		gate.SetPolicy(policy)
		if err := o.loop.Do(stop, func() { o.loop.SetPolicyGate(gate) }); err != nil {
			return nothing, errors.Join(err, participant.Close())
		}
		o.gate = gate
	}
	ctx, cancel := context.WithCancel(context.Background())
	publishing := make(chan struct{})
	go func() { // ends with ctx
		defer close(publishing)
		o.publishChanges(ctx, log)
	}()
	o.connect(participant)
	select {
	case <-participant.CaughtUp():
	case <-stop.Done():
	}
	return func() {
		cancel()
		o.disconnect(participant, log)
		<-publishing
	}, nil
}

// checkNoFleet returns an error where the operator names a fleet and this program cannot take part in one.
func checkNoFleet(c *config.Config) error {
	file := c.Getenv(FleetEnvironment)
	if file == "" {
		return nil
	}
	return fmt.Errorf("%s names %s, and this program is built without a part in a fleet: fleetsidecar has one",
		FleetEnvironment, file)
}

// connect has the event loop report to the part in the fleet.
func (o *operator) connect(participant Participant) {
	o.participant.Store(&participant)
	o.loop.Post(func() {
		o.loop.SetObserver(participant)
		o.loop.SetListObserver(func(endpoints []discovery.Endpoint) {
			participant.UpdateServers(listedServers(endpoints))
		})
	})
}

// listedServers returns endpoints as servers of the own list.
func listedServers(endpoints []discovery.Endpoint) []ListedServer {
	servers := make([]ListedServer, 0, len(endpoints))
	for _, e := range endpoints {
		servers = append(servers, ListedServer{e.ID, e.StartedAt})
	}
	return servers
}

// disconnect ends the part in the fleet.
func (o *operator) disconnect(participant Participant, log *slog.Logger) {
	o.loop.Post(func() {
		o.loop.SetObserver(nil)
		o.loop.SetSuspected(nil)
	})
	if err := participant.Close(); err != nil {
		log.Warn("leaving the fleet", "err", err)
	}
}

// publishChanges publishes what is administratively down each time that the fleet has changed it, until ctx ends.
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

// fleet returns the part in the fleet; nil: there is none.
func (o *operator) fleet() Participant {
	participant := o.participant.Load()
	if participant == nil {
		return nil
	}
	return *participant
}

// applyAdminDown takes in which servers are administratively down in the fleet. A peer's call may take down what the
// own list names, and bring up what the fleet has had down; it ends no drain, which is the list's.
func (o *operator) applyAdminDown(ids []string) {
	o.loop.Post(func() {
		wasDown := set(o.loop.AdminDown())
		isDown := set(ids)
		var added []string
		for _, id := range ids {
			if !wasDown[id] {
				added = append(added, id)
			}
		}
		if len(added) > 0 {
			o.loop.AdoptAdminDown(added)
		}
		for id := range o.fleetAdminDown {
			if !isDown[id] && wasDown[id] {
				o.loop.SetAdminDown(id, false)
			}
		}
		o.fleetAdminDown = isDown
		select {
		case o.adminDownChanged <- struct{}{}:
		default:
		}
	})
}

// set returns ids as a set.
func set(ids []string) map[string]bool {
	members := make(map[string]bool, len(ids))
	for _, id := range ids {
		members[id] = true
	}
	return members
}

// applySuspicions takes in which servers the fleet suspects.
func (o *operator) applySuspicions(suspicions []Suspicion) {
	o.loop.Post(func() {
		servers := make([]proxy.SuspectedServer, 0, len(suspicions))
		for _, s := range suspicions {
			servers = append(servers, proxy.SuspectedServer(s))
		}
		o.loop.SetSuspected(servers)
	})
}

// publishToFleet replicates an operator's call in the fleet, and returns a note for the operator. known says whether
// this sidecar, or its other process, knows the server. A forwarded call waits for nobody: the process that forwarded
// it has its own caller waiting.
func (o *operator) publishToFleet(ctx context.Context, id string, down, known, forwarded bool) (string, error) {
	fleet := o.fleet()
	if fleet != nil && !known { // on no list here, but it may be down all the same
		var err error
		known, err = fleet.KnowsServer(ctx, id)
		if err != nil {
			return "", err
		}
	}
	if !known {
		return "", admin.ErrUnknownServer
	}
	if fleet == nil {
		return "", nil
	}
	held, asked, err := fleet.SetAdminDown(ctx, id, down, !forwarded)
	if err != nil {
		return "", o.replicationError(err)
	}
	if forwarded {
		return "", nil
	}
	return replicationNote(held, asked), nil
}

// replicationError returns an operator's error for a call that was not replicated. In an upgrade the other process,
// which speaks for the sidecar, has the call too.
func (o *operator) replicationError(err error) error {
	switch {
	case !errors.Is(err, ErrSuperseded):
		return fmt.Errorf("it holds here, and the fleet may not know: %w", err)
	case o.group.hasOthers():
		return nil
	}
	return errors.New("it holds here alone: this process ends, or another sidecar bears its name in the fleet; " +
		"call at another console")
}

// replicationNote says how many of the sidecars that were asked hold a call.
func replicationNote(held, asked int) string {
	switch {
	case asked == 0:
		return "there is no other sidecar to know of it"
	case held == 0:
		return "no other sidecar has answered: this one is cut off, and tells them when it can"
	}
	return fmt.Sprintf("%d other sidecars hold it and tell the rest", held)
}

// fleetReady reports whether the part in the fleet is ready, and if not, why.
func (o *operator) fleetReady() (ready bool, why string) {
	fleet := o.fleet()
	if fleet == nil {
		return true, ""
	}
	if o.gate != nil && !o.gate.Await(context.Background(), fleetQueryTimeout) {
		return false, "policy: nobody has promised this sidecar one"
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetQueryTimeout)
	defer cancel()
	ready, phase := fleet.Ready(ctx)
	if !ready {
		return false, "fleet: " + phase
	}
	return true, ""
}

// writeFleetMetrics writes the fleet's metrics, where there is a fleet.
func (o *operator) writeFleetMetrics(ctx context.Context, w io.Writer) error {
	fleet := o.fleet()
	if fleet == nil {
		return nil
	}
	return fleet.WriteMetrics(ctx, w)
}
