package processes

import (
	"context"
	"sort"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

// scriptEvent is an action on a sidecar at a time of the plan.
type scriptEvent struct {
	at  time.Duration
	run func()
}

// runScript runs the plan's events, each at its time, until the context ends. It waits for the events that it started.
func (r *fleetRun) runScript(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, event := range r.script() {
		select {
		case <-time.After(event.at - r.clock.now()):
		case <-ctx.Done():
			return
		}
		running.Add(1)
		go func() {
			defer running.Done()
			event.run()
		}()
	}
	<-ctx.Done()
}

// script returns the events of the plan in chronological order. Faults of links, clocks and backends are not events:
// they are looked up in the plan when needed.
func (r *fleetRun) script() (events []scriptEvent) {
	for _, f := range r.plan.Faults {
		for _, i := range f.From {
			events = append(events, r.faultEvents(f, i)...)
		}
	}
	for _, c := range r.plan.Calls {
		s := r.sidecars[c.Sidecar]
		events = append(events, scriptEvent{c.At, func() { s.setAdminDown(serverName(c.Server), c.Down) }})
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	return events
}

// faultEvents returns the events of a fault for one entry of its From list. The index refers to a sidecar only for the
// kinds handled here.
func (r *fleetRun) faultEvents(f faultplan.Fault, index int) []scriptEvent {
	end := f.At + f.Duration
	switch f.Kind {
	case faultplan.Kill:
		s := r.sidecars[index]
		return []scriptEvent{{f.At, s.kill}, {end, s.restart}}
	case faultplan.Upgrade:
		return []scriptEvent{{f.At, r.sidecars[index].upgrade}}
	case faultplan.Suspend:
		s := r.sidecars[index]
		return []scriptEvent{{f.At, s.suspend}, {end, s.resume}}
	default:
		return nil
	}
}

// restart starts a new incarnation after a kill.
func (s *sidecar) restart() {
	if err := s.start(); err != nil {
		s.run.recorder.addFailure("%s did not restart: %v", s.name, err)
	}
}
