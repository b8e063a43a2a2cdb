package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"milletramp.example/milletramp/internal/console"
	"milletramp.example/milletramp/internal/fleet"
)

// fleetWithin bounds how long the fleet's part may take for a question that it answers from memory.
const fleetWithin = 200 * time.Millisecond

// joinFleet begins this sidecar's part in the fleet, where the operator's file names one, and waits until it has caught
// up, or has tried for long enough. leave ends it.
func (o *ops) joinFleet(stop context.Context, c *Config, log *slog.Logger) (leave func(), err error) {
	named, err := fleet.FromEnvironment(c.getenv)
	if err != nil || named == nil {
		return func() {}, err
	}
	o.obeyed = make(chan struct{}, 1)
	part, err := fleet.Start(named, c.Name, log, o.obey)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		defer close(over)
		o.publishEach(ctx, log)
	}()
	o.part.Store(part)
	o.host.post(func() {
		o.host.listed = part.Listed
		o.host.tellList()
	})
	select {
	case <-part.CaughtUp():
	case <-stop.Done():
	}
	return func() {
		cancel()
		if err := part.Close(); err != nil {
			log.Warn("leaving the fleet", "err", err)
		}
		<-over
	}, nil
}

// obey takes in which servers the fleet has out by hand. It does not wait. Danger: a peer's word may take out what the own
// list names, and put back what the fleet has had out; it ends no drain, as that is the list's.
func (o *ops) obey(out []string) {
	o.host.post(func() {
		now, here := map[string]bool{}, map[string]bool{}
		for _, id := range o.host.balancer.Out() {
			here[id] = true
		}
		var news []string
		for _, id := range out {
			if now[id] = true; !here[id] {
				news = append(news, id)
				o.host.upstream.bar(id, true)
			}
		}
		if len(news) > 0 {
			o.host.balancer.HandedOut(o.host.now, news)
		}
		for id := range o.obeys {
			if !now[id] && here[id] {
				o.host.takeOut(id, false)
			}
		}
		o.obeys = now
		select {
		case o.obeyed <- struct{}{}:
		default:
		}
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
// server.
func (o *ops) tellFleet(ctx context.Context, id string, out, known bool) (note string, err error) {
	part := o.part.Load()
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
	held, asked, err := part.TakeOut(ctx, id, out)
	switch {
	case errors.Is(err, fleet.ErrSilent): // the other process of an upgrade speaks for this sidecar, and was told
		return "", nil
	case err != nil:
		return "", fmt.Errorf("it holds here, and the fleet may not know: %w", err)
	case asked == 0:
		return "there is no other sidecar to know of it", nil
	case held == 0:
		return "no other sidecar has answered: this one is cut off, and tells them when it can", nil
	}
	return fmt.Sprintf("%d other sidecars hold it and tell the rest", held), nil
}

// caughtUp tells whether the part in the fleet is ready.
func (o *ops) caughtUp() (ready bool, why string) {
	part := o.part.Load()
	if part == nil {
		return true, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetWithin)
	defer cancel()
	if ready, phase := part.Ready(ctx); !ready {
		return false, "fleet: " + phase
	}
	return true, ""
}

// Fleet implements console.Sidecar.
func (o *ops) Fleet(ctx context.Context) ([]byte, error) {
	part := o.part.Load()
	if part == nil {
		return nil, console.ErrNoFleet
	}
	status, err := part.Status(ctx)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(status, "", "  ")
}

// fleetFigures writes the fleet's figures behind the others.
func (o *ops) fleetFigures(ctx context.Context, w io.Writer) error {
	part := o.part.Load()
	if part == nil {
		return nil
	}
	s, err := part.Status(ctx)
	if err != nil {
		return err
	}
	alone := 0
	if s.Phase == "alone" {
		alone = 1
	}
	_, err = fmt.Fprintf(w, "sidecar.fleet.members=%d\nsidecar.fleet.alone=%d\nsidecar.fleet.own_trouble=%d\nsidecar.fleet.packets=%d\nsidecar.fleet.bytes=%d\n",
		s.Here, alone, s.Sick, s.Figures.Packets, s.Figures.Bytes)
	return err
}

// tellList hands the own list on, where somebody wants it.
func (h *host) tellList() {
	if h.listed == nil {
		return
	}
	var servers []fleet.Server
	for _, t := range h.upstream.list() {
		s := fleet.Server{ID: t.ID}
		if !t.Boot.IsZero() {
			s.Boot = t.Boot.UnixMilli()
		}
		servers = append(servers, s)
	}
	h.listed(servers)
}
