package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"milletramp.example/milletramp/internal/fleet/policyagent"
)

type policyLog struct {
	policyConsole `embed:""`
}

// Help says what the exit status means.
func (policyLog) Help() string {
	return "Lists them by the voter that remembers most. Exit status: 0, or 1 if no voter answers."
}

// Run lists the changes.
func (c policyLog) Run(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	status, err := c.status(ctx)
	if err != nil {
		return err
	}
	if len(status.Voters) == 0 {
		return c.noVoterError()
	}
	outcomes := slices.MaxFunc(status.Voters, func(a, b policyagent.VoterState) int {
		return cmp.Compare(len(a.Outcomes), len(b.Outcomes))
	}).Outcomes
	var b strings.Builder
	table := newTable(&b)
	fmt.Fprintln(table, "number\tid\tauthor\tstate\treason")
	for _, o := range outcomes {
		fmt.Fprintf(table, "%d\t%s\t%s\t%v\t%s\n", o.Number, o.ID, o.Author, o.State, o.Reason)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return c.print(outcomes, strings.TrimSuffix(b.String(), "\n"))
}
