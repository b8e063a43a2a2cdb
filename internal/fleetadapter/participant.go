// Package fleetadapter connects a sidecar to a fleet. It only translates between the types of package sidecar and
// package fleet. It is separate from both packages so that a program without a fleet does not link the code of the
// fleet.
//
// The package starts no goroutine. It returns the errors of package fleet, except that sidecar.ErrSuperseded replaces
// the errors of a fleet in which this process no longer takes part.
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

// participant implements sidecar.Participant.
type participant struct{ *fleet.Fleet }

// Join starts a sidecar's participation in the fleet that is named in the operator's file. It returns nil if no fleet
// is named. It is a sidecar.JoinFunc.
func Join(c *config.Config, peers []string, log *slog.Logger,
	callbacks sidecar.Callbacks) (sidecar.Participant, error) {
	fleetConfig, err := fleet.FromEnvironment(c.Getenv)
	if err != nil || fleetConfig == nil {
		return nil, err
	}
	f, err := fleet.Start(fleetConfig, c.Name, peers, log, fleet.Callbacks{
		OnAdminDown:  callbacks.OnAdminDown,
		OnSuspicions: func(s []fleet.Suspicion) { callbacks.OnSuspicions(convertSuspicions(s)) },
		CheckPolicy:  callbacks.CheckPolicy,
	})
	if err != nil {
		return nil, err
	}
	return participant{f}, nil
}

// convertSuspicions converts the fleet's suspicions to the sidecar's type.
func convertSuspicions(fleetSuspicions []fleet.Suspicion) []sidecar.Suspicion {
	list := make([]sidecar.Suspicion, 0, len(fleetSuspicions))
	for _, s := range fleetSuspicions {
		list = append(list, sidecar.Suspicion(s))
	}
	return list
}

// Policy implements sidecar.Participant.
func (p participant) Policy() proxy.Policy {
	agent := p.Fleet.Policy()
	if agent == nil {
		return nil
	}
	return newPolicyHandler(agent)
}

// UpdateServers implements sidecar.Participant.
func (p participant) UpdateServers(servers []sidecar.ListedServer) {
	list := make([]fleet.Server, 0, len(servers))
	for _, s := range servers {
		server := fleet.Server{ID: s.ID}
		if !s.StartedAt.IsZero() {
			server.Boot = wallclock.Milliseconds(s.StartedAt)
		}
		list = append(list, server)
	}
	p.Fleet.SetServers(list)
}

// detectorOutcomes maps the Balancer's observations to the outcomes of the fleet's failure detector.
var detectorOutcomes = [...]failuredetector.Outcome{
	balance.ObservedResponse:       failuredetector.Answered,
	balance.ObservedLate:           failuredetector.Late,
	balance.ObservedNoResponse:     failuredetector.Silent,
	balance.ObservedFailure:        failuredetector.Failed,
	balance.ObservedConnectFailure: failuredetector.Refused,
}

// Observe implements balance.Observer.
func (p participant) Observe(endpoint string, observation balance.Observation) {
	p.Fleet.Observe(endpoint, detectorOutcomes[observation])
}

// SetAdminDown implements sidecar.Participant.
func (p participant) SetAdminDown(ctx context.Context, server string,
	down, confirm bool) (holders, asked int, err error) {
	holders, asked, err = p.Fleet.SetAdminDown(ctx, server, down, confirm)
	if errors.Is(err, fleet.ErrSuperseded) || errors.Is(err, fleet.ErrClosed) {
		return 0, 0, sidecar.ErrSuperseded
	}
	return holders, asked, err
}

// Status implements sidecar.Participant.
func (p participant) Status(ctx context.Context) ([]byte, error) {
	status, err := p.Fleet.Status(ctx)
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(status, "", "  ")
}

// WriteMetrics implements sidecar.Participant.
func (p participant) WriteMetrics(ctx context.Context, w io.Writer) error {
	status, err := p.Fleet.Status(ctx)
	if err != nil {
		return err
	}
	alone := 0
	if status.Phase == "alone" {
		alone = 1
	}
	suspected := 0
	for _, s := range status.Suspicions {
		if s.Suspected && s.Listed {
			suspected++
		}
	}
	for _, metric := range []struct {
		name  string
		value any
	}{
		{"members", status.NumPresent},
		{"alone", alone},
		{"own_trouble", status.LocalHealth},
		{"packets", status.Figures.Packets},
		{"bytes", status.Figures.Bytes},
		{"in_doubt", suspected},
	} {
		if _, err := fmt.Fprintf(w, "sidecar.fleet.%s=%d\n", metric.name, metric.value); err != nil {
			return err
		}
	}
	return nil
}
