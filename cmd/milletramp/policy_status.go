package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strings"

	"milletramp.example/milletramp/internal/fleet/policyagent"
)

type policyStatus struct {
	policyConsole `embed:""`
}

// Help says what the exit status means.
func (policyStatus) Help() string {
	return "Voters are the members of the consensus group. Exit status: 0 if the sidecar serves under a lease, 1 if " +
		"it serves without one, takes no requests or does not answer."
}

// Run shows the status.
func (c policyStatus) Run(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	status, err := c.status(ctx)
	if err != nil {
		return err
	}
	service := describeService(status)
	lines := []string{service}
	for _, voter := range status.Voters {
		lines = append(lines, describeVoter(voter))
	}
	for _, name := range status.Unresponsive {
		lines = append(lines, fmt.Sprintf("decider %s: no answer", name))
	}
	err = c.print(status, strings.Join(lines, "\n"))
	if status.Serves == 0 || status.WithoutLease {
		err = errors.Join(err, errors.New(service))
	}
	return err
}

// describeService words under which policy the sidecar serves.
func describeService(s policyagent.Status) string {
	if s.Serves == 0 {
		return "takes no requests: nobody has promised it a policy"
	}
	text := fmt.Sprintf("serves under policy %d", s.Serves)
	if s.WithoutLease {
		text += " WITHOUT A PROMISE: others may serve under another one"
	}
	return text
}

// describeVoter words the state of one voter.
func describeVoter(v policyagent.VoterState) string {
	var b strings.Builder
	leader := cmp.Or(v.Leader, "unknown")
	fmt.Fprintf(&b, "decider %s: policy %d (%s) in force, leader %s", v.Voter, v.InForce, v.Digest, leader)
	if p := v.Pending; p != nil {
		fmt.Fprintf(&b, "; change %s to policy %d by %s: %s", p.ID, p.Number, p.Author, p.State)
	}
	if len(v.Waiting) > 0 {
		fmt.Fprintf(&b, ", waits for %s, %.1f s at most", strings.Join(v.Waiting, ", "), v.WaitSeconds)
	}
	if !v.Settled && v.Bootstrapped {
		b.WriteString("; one decider is taking the place of another")
	}
	if v.Standby {
		b.WriteString("; waits for a place: `milletramp policy replace`")
	}
	if len(v.Standbys) > 0 {
		fmt.Fprintf(&b, "; may take a place: %s", strings.Join(v.Standbys, ", "))
	}
	if v.NodeError != "" {
		fmt.Fprintf(&b, "; takes part no more: %s", v.NodeError)
	}
	return b.String()
}
