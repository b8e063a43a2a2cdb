package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"os"
	"os/user"
	"strings"

	"milletramp.example/milletramp/internal/fleetadapter"
)

// propose proposes a change and waits for its outcome. It fills in what the proposal lacks: the policy that it follows,
// an id and the author.
func (p policyConsole) propose(ctx context.Context, proposal fleetadapter.Proposal) error {
	ctx, cancel := p.withTimeout(ctx)
	defer cancel()
	if proposal.Follows == 0 {
		number, err := p.policyInForce(ctx)
		if err != nil {
			return err
		}
		proposal.Follows = number
	}
	if proposal.ID == "" {
		proposal.ID = fmt.Sprintf("%016x", rand.Uint64())
	}
	if current, err := user.Current(); err == nil {
		proposal.Author = cmp.Or(proposal.Author, current.Username)
	}
	fmt.Fprintln(os.Stderr, "change", proposal.ID)
	c := change{policyConsole: p, proposal: &proposal}
	c.outcome = fleetadapter.Outcome{ID: proposal.ID, State: stateUnknown}
	if err := p.post(ctx, "/ops/policy/propose", proposal, &c.outcome); err != nil {
		return err
	}
	return c.await(ctx)
}

// change follows a change until its outcome is final.
type change struct {
	policyConsole
	outcome  fleetadapter.Outcome
	proposal *fleetadapter.Proposal // nil: of a change that another command has proposed
	printed  string                 // the last progress line
}

// await polls the outcome until it is final or ctx ends, and prints it.
func (c *change) await(ctx context.Context) error {
	for c.outcome.State != stateInForce && c.outcome.State != stateRefused {
		c.printProgress(ctx)
		if !sleep(ctx) {
			text := fmt.Sprintf("undecided: %s is %s", c.outcome.ID, c.outcome.State)
			return errors.Join(c.print(c.outcome, text), errUndecided)
		}
		c.poll(ctx)
	}
	if c.outcome.State == stateRefused {
		text := "refused, nowhere in force: " + c.outcome.Reason
		return errors.Join(c.print(c.outcome, text), fmt.Errorf("change %s was refused", c.outcome.ID))
	}
	return c.print(c.outcome, fmt.Sprintf("policy %d is in force", c.outcome.Number))
}

// poll fetches the outcome. A change that no voter knows, as there was no leader when it was proposed, is proposed
// again; its id keeps it from taking effect twice. Calls that fail are left to the next poll.
func (c *change) poll(ctx context.Context) {
	var latest fleetadapter.Outcome
	var err error
	if c.outcome.State == stateUnknown && c.proposal != nil {
		err = c.post(ctx, "/ops/policy/propose", c.proposal, &latest)
	} else {
		err = c.get(ctx, "/ops/policy/outcome?id="+url.QueryEscape(c.outcome.ID), &latest)
	}
	if err == nil && latest.State != stateUnknown {
		c.outcome = latest
	}
}

// printProgress prints to standard error which sidecars the change waits for, if that has changed.
func (c *change) printProgress(ctx context.Context) {
	status, err := c.status(ctx)
	if err != nil {
		return
	}
	for _, voter := range status.Voters {
		if voter.Pending == nil || voter.Pending.ID != c.outcome.ID || len(voter.Waiting) == 0 {
			continue
		}
		line := fmt.Sprintf("%s, waits for %s, %.1f s at most",
			c.outcome.State, strings.Join(voter.Waiting, ", "), voter.WaitSeconds)
		if line != c.printed {
			fmt.Fprintln(os.Stderr, line)
			c.printed = line
		}
	}
}
