package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"milletramp.example/milletramp/internal/fleet/policyagent"
	"milletramp.example/milletramp/internal/fleetadapter"
)

type policyReplace struct {
	OldVoter string `arg:"" name:"out" help:"The voter to be replaced."`
	NewVoter string `arg:"" name:"in" help:"The candidate; the same name, if that voter has lost its folder."`

	policyConsole `embed:""`
}

// Help says what the exit status means.
func (policyReplace) Help() string {
	return "Voters are the members of the consensus group. Exit status: 0 if the candidate votes, 1 if the " +
		"replacement was refused or the call failed, 2 if it is not complete after --wait: `milletramp policy " +
		"status` shows the voters."
}

// Run begins the replacement and waits until it is complete.
func (c policyReplace) Run(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	replacement := fleetadapter.Replacement{Out: c.OldVoter, In: c.NewVoter}
	if err := c.post(ctx, "/ops/policy/replace", replacement, &fleetadapter.Replacement{}); err != nil {
		return err
	}
	for {
		if status, err := c.status(ctx); err == nil {
			if i := slices.IndexFunc(status.Voters, c.isComplete); i >= 0 {
				voters := status.Voters[i].Voters
				return c.print(voters, fmt.Sprintf("%s decides: %s", c.NewVoter, strings.Join(voters, ", ")))
			}
		}
		if !sleep(ctx) {
			err := fmt.Errorf("%s has not yet taken the place of %s", c.NewVoter, c.OldVoter)
			return errors.Join(err, errUndecided)
		}
	}
}

// isComplete reports whether v is the new voter and knows that it votes and the old one does not.
func (c policyReplace) isComplete(v policyagent.VoterState) bool {
	if v.Voter != c.NewVoter || !v.Settled || !slices.Contains(v.Voters, c.NewVoter) {
		return false
	}
	return c.NewVoter == c.OldVoter || !slices.Contains(v.Voters, c.OldVoter)
}
