// Package member gives a sidecar its part in the fleet: it passes on what each of the two has for the other, and decides
// nothing. It is apart from package sidecar so that a program without a fleet has none of the fleet's code.
package fleetadapter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/fleet"
	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/proxy"
	"milletramp.example/milletramp/internal/sidecar"
	"milletramp.example/milletramp/internal/wallclock"
)

// part implements sidecar.Part.
type part struct{ *fleet.Fleet }

// Join begins a sidecar's part in the fleet that the operator's file names. It is a sidecar.Join.
func Join(c *config.Config, before []string, log *slog.Logger, told sidecar.Callbacks) (sidecar.Participant, error) {
	named, err := fleet.FromEnvironment(c.Getenv)
	if err != nil || named == nil {
		return nil, err
	}
	f, err := fleet.Start(named, c.Name, before, log, fleet.Callbacks{OnAdminDown: told.OnAdminDown, OnSuspicions: func(doubts []fleet.Suspicion) {
		words := make([]sidecar.Suspicion, 0, len(doubts))
		for _, d := range doubts {
			words = append(words, sidecar.Suspicion(d))
		}
		told.OnSuspicions(words)
	}, CheckPolicy: told.CheckPolicy})
	if err != nil {
		return nil, err
	}
	return part{f}, nil
}

// Policy implements sidecar.Part.
func (p part) Policy() proxy.Policy {
	if c := p.Fleet.Policy(); c != nil {
		return newCalls(c)
	}
	return nil
}

// UpdateServers implements sidecar.Part.
func (p part) UpdateServers(servers []sidecar.ListedServer) {
	list := make([]fleet.Server, 0, len(servers))
	for _, s := range servers {
		o := fleet.Server{ID: s.ID}
		if !s.StartedAt.IsZero() {
			o.Boot = wallclock.Milliseconds(s.StartedAt)
		}
		list = append(list, o)
	}
	p.Fleet.SetServers(list)
}

// ends are the Balancer's sights as the fleet calls them.
var ends = [...]failuredetector.Outcome{balance.ObservedAnswer: failuredetector.Answered, balance.ObservedLate: failuredetector.Late, balance.ObservedSilence: failuredetector.Silent,
	balance.ObservedFailure: failuredetector.Failed, balance.ObservedRefusal: failuredetector.Refused}

// Observe implements balance.Observer.
func (p part) Observe(endpoint string, s balance.Observation) { p.Fleet.Observe(endpoint, ends[s]) }

// SetAdminDown implements sidecar.Part.
func (p part) SetAdminDown(ctx context.Context, server string, out, confirm bool) (held, asked int, err error) {
	if held, asked, err = p.Fleet.SetAdminDown(ctx, server, out, confirm); errors.Is(err, fleet.ErrSuperseded) || errors.Is(err, fleet.ErrClosed) {
		return 0, 0, sidecar.ErrSuperseded
	}
	return held, asked, err
}

// Status implements sidecar.Part.
func (p part) Status(ctx context.Context) ([]byte, error) {
	s, err := p.Fleet.Status(ctx)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(s, "", "  ")
}

// WriteMetrics implements sidecar.Part.
func (p part) WriteMetrics(ctx context.Context, w io.Writer) error {
	s, err := p.Fleet.Status(ctx)
	if err != nil {
		return err
	}
	alone, doubts := 0, 0
	for _, d := range s.Suspicions {
		if d.Suspected && d.Listed {
			doubts++
		}
	}
	if s.Phase == "alone" {
		alone = 1
	}
	_, err = fmt.Fprintf(w, "sidecar.fleet.members=%d\nsidecar.fleet.alone=%d\nsidecar.fleet.own_trouble=%d\nsidecar.fleet.packets=%d\nsidecar.fleet.bytes=%d\nsidecar.fleet.in_doubt=%d\n",
		s.NumPresent, alone, s.LocalHealth, s.Figures.Packets, s.Figures.Bytes, doubts)
	return err
}
