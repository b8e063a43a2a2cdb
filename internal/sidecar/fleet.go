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

// participantTimeout limits calls that the fleet participant answers from memory.
const participantTimeout = 200 * time.Millisecond

// joinFleet joins the fleet that the fleet's configuration file describes, if there is one, and waits until the
// participant has caught up or its time limit for that has passed. leave leaves the fleet.
func (o *operator) joinFleet(stop context.Context, c *config.Config, log *slog.Logger,
	join JoinFunc) (leave func(), err error) {
	noop := func() {}
	if join == nil {
		return noop, rejectFleetConfig(c)
	}
	o.adminDownChanged = make(chan struct{}, 1)
	gate := proxy.NewPolicyGate(o.loop, c)
	participant, err := join(c, o.group.fleetAddresses(), log, Callbacks{
		OnAdminDown:  o.applyAdminDown,
		OnSuspicions: o.applySuspicions,
		CheckPolicy:  gate.Check,
	})
	if err != nil || participant == nil {
		return noop, err
	}
	err = o.group.member.Update(func(s *hotrestart.State) { s.FleetAddress = participant.Address() })
	if err != nil {
		log.Warn("cannot publish the fleet address to the process group", "err", err)
	}
	if policy := participant.Policy(); policy != nil {
		gate.SetPolicy(policy)
		if err := o.loop.Do(stop, func() { o.loop.SetPolicyGate(gate) }); err != nil {
			return noop, errors.Join(err, participant.Close())
		}
		o.gate = gate
	}
	ctx, cancel := context.WithCancel(context.Background())
	publisherDone := make(chan struct{})
	go func() { // ends with ctx
		defer close(publisherDone)
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
		<-publisherDone
	}, nil
}

// rejectFleetConfig returns an error if a fleet configuration is set, as this program does not support fleets.
func rejectFleetConfig(c *config.Config) error {
	file := c.Getenv(FleetConfigVariable)
	if file == "" {
		return nil
	}
	return fmt.Errorf("%s is set to %s, but this program has no fleet support: use fleetsidecar",
		FleetConfigVariable, file)
}

// connect makes the event loop report observations and endpoint lists to the participant.
func (o *operator) connect(participant Participant) {
	o.participant.Store(&participant)
	o.loop.Post(func() {
		o.loop.SetObserver(participant)
		o.loop.SetListObserver(func(endpoints []discovery.Endpoint) {
			participant.UpdateServers(listedServers(endpoints))
		})
	})
}

// listedServers converts endpoints to the servers that a Participant receives.
func listedServers(endpoints []discovery.Endpoint) []ListedServer {
	servers := make([]ListedServer, 0, len(endpoints))
	for _, e := range endpoints {
		servers = append(servers, ListedServer{e.ID, e.StartedAt})
	}
	return servers
}

// disconnect stops the reports to the participant, clears the fleet's suspicions and leaves the fleet.
func (o *operator) disconnect(participant Participant, log *slog.Logger) {
	o.loop.Post(func() {
		o.loop.SetObserver(nil)
		o.loop.SetSuspected(nil)
	})
	if err := participant.Close(); err != nil {
		log.Warn("leaving the fleet failed", "err", err)
	}
}

// publishChanges publishes the servers that are administratively down each time the fleet has changed them, until ctx
// ends.
func (o *operator) publishChanges(ctx context.Context, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.adminDownChanged:
			if err := o.publishAdminDown(ctx); err != nil && ctx.Err() == nil {
				log.Warn("cannot publish administratively down servers to the process group", "err", err)
			}
		}
	}
}

// fleetParticipant returns the fleet participant; nil if the sidecar is not a member of a fleet.
func (o *operator) fleetParticipant() Participant {
	participant := o.participant.Load()
	if participant == nil {
		return nil
	}
	return *participant
}

// applyAdminDown applies the complete list of servers that are administratively down in the fleet. It sets them down,
// whether or not the endpoint list has them, and sets a server up only if the fleet had set it down before. It does not
// end a drain, which the endpoint list determines.
func (o *operator) applyAdminDown(ids []string) {
	o.loop.Post(func() {
		wasDown := toSet(o.loop.AdminDown())
		isDown := toSet(ids)
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

func toSet(ids []string) map[string]bool {
	members := make(map[string]bool, len(ids))
	for _, id := range ids {
		members[id] = true
	}
	return members
}

// applySuspicions replaces the servers that the fleet suspects.
func (o *operator) applySuspicions(suspicions []Suspicion) {
	o.loop.Post(func() {
		servers := make([]proxy.SuspectedServer, 0, len(suspicions))
		for _, s := range suspicions {
			servers = append(servers, proxy.SuspectedServer(s))
		}
		o.loop.SetSuspected(servers)
	})
}

// publishToFleet replicates an operator's call in the fleet and returns a note for the operator. known reports whether
// the server is known to this sidecar or its other process. A forwarded call does not wait for other sidecars, as the
// forwarding process already does so before it responds to its operator.
func (o *operator) publishToFleet(ctx context.Context, id string, down, known, forwarded bool) (string, error) {
	participant := o.fleetParticipant()
	if participant != nil && !known { // the fleet may have a record of a call for a server that is not listed here
		var err error
		known, err = participant.KnowsServer(ctx, id)
		if err != nil {
			return "", err
		}
	}
	if !known {
		return "", admin.ErrUnknownServer
	}
	if participant == nil {
		return "", nil
	}
	confirmed, contacted, err := participant.SetAdminDown(ctx, id, down, !forwarded)
	if err != nil {
		return "", o.replicationError(err)
	}
	if forwarded {
		return "", nil
	}
	return replicationNote(confirmed, contacted), nil
}

// replicationError returns the error for the operator of a call that was not replicated. During a hot restart it is nil
// for ErrSuperseded, because the other process represents the sidecar in the fleet and receives the same call.
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

// replicationNote returns the operator's note on how many of the contacted sidecars have stored a call.
func replicationNote(confirmed, contacted int) string {
	switch {
	case contacted == 0:
		return "there is no other sidecar to know of it"
	case confirmed == 0:
		return "no other sidecar has answered: this one is cut off, and tells them when it can"
	}
	return fmt.Sprintf("%d other sidecars hold it and tell the rest", confirmed)
}

// fleetReady reports whether the fleet participant is ready to serve and, if not, the reason.
func (o *operator) fleetReady() (ready bool, reason string) {
	participant := o.fleetParticipant()
	if participant == nil {
		return true, ""
	}
	if o.gate != nil && !o.gate.Await(context.Background(), participantTimeout) {
		return false, "policy: nobody has promised this sidecar one"
	}
	ctx, cancel := context.WithTimeout(context.Background(), participantTimeout)
	defer cancel()
	ready, phase := participant.Ready(ctx)
	if !ready {
		return false, "fleet: " + phase
	}
	return true, ""
}

// writeFleetMetrics writes the fleet's metrics if the sidecar is a member of a fleet.
func (o *operator) writeFleetMetrics(ctx context.Context, w io.Writer) error {
	participant := o.fleetParticipant()
	if participant == nil {
		return nil
	}
	return participant.WriteMetrics(ctx, w)
}
