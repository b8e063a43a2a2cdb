package main

import (
	"context"

	"milletramp.example/milletramp/internal/fleetadapter"
)

type policyRevert struct {
	Number uint64 `arg:"" help:"Of the document that is to be in force again, under a new number."`

	policyConsole `embed:""`
}

// Help says what the exit status means.
func (policyRevert) Help() string { return changeHelp }

// Run proposes the earlier document.
func (c policyRevert) Run(ctx context.Context) error {
	document, err := c.document(ctx, c.Number)
	if err != nil {
		return err
	}
	return c.propose(ctx, fleetadapter.Proposal{Text: document.Text})
}
