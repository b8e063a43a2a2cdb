package main

import (
	"context"

	"milletramp.example/milletramp/internal/fleetadapter"
)

type policyOutcome struct {
	ID string `arg:"" help:"Of the change."`

	policyConsole `embed:""`
}

// Help says what the exit status means.
func (policyOutcome) Help() string { return changeHelp }

// Run waits for the outcome of the change.
func (c policyOutcome) Run(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	proposed := change{policyConsole: c.policyConsole, outcome: fleetadapter.Outcome{ID: c.ID, State: stateUnknown}}
	return proposed.await(ctx)
}
