package main

import (
	"context"
	"os"

	"milletramp.example/milletramp/internal/fleetadapter"
)

type policyPropose struct {
	File    string `arg:"" type:"existingfile" help:"The document."`
	ID      string `help:"Names the change, for later calls; default: a random one."`
	Author  string `help:"Who proposes the change; default: the user's name."`
	Follows uint64 `help:"Number of the policy that must be in force until then; default: the present one."`

	policyConsole `embed:""`
}

// Help says what the exit status means.
func (policyPropose) Help() string { return changeHelp }

// Run proposes the document.
func (c policyPropose) Run(ctx context.Context) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.propose(ctx, fleetadapter.Proposal{ID: c.ID, Author: c.Author, Follows: c.Follows, Text: text})
}
