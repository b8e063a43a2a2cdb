package policyagent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
)

const (
	pollInterval   = 100 * time.Millisecond // between two requests for an outcome, or two attempts
	resendProposal = 10                     // attempts after which a proposal without a known outcome is sent again
)

// Propose proposes a change and waits until it is in force or refused, or until ctx ends. It returns the last known
// outcome. The caller can later fetch the outcome by its ID, or make the same proposal again.
func (a *Agent) Propose(ctx context.Context, p policy.Proposal) policy.Outcome {
	p.Author = p.Author[:min(len(p.Author), maxNameBytes)]
	outcome := policy.Outcome{ID: p.ID, Author: p.Author}
	sent := false
	for attempt := 0; ; attempt++ {
		voter := a.nextVoter(attempt)
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if !sent {
			sent = a.sendProposal(attemptCtx, voter, p)
		}
		if o, ok := a.fetchOutcome(attemptCtx, voter, p.ID); ok && o.State >= outcome.State {
			outcome = o
		}
		cancel()
		if outcome.State == policy.InForce || outcome.State == policy.Refused {
			return outcome
		}
		// The proposal may have been lost with its leader. Its ID is the idempotency key, so it can be sent again.
		if outcome.State == policy.Unknown && attempt%resendProposal == resendProposal-1 {
			sent = false
		}
		if !sleep(ctx, pollInterval) {
			return outcome
		}
	}
}

// sendProposal sends a proposal to a voter, and reports whether the voter, as the leader, has accepted it.
func (a *Agent) sendProposal(ctx context.Context, voter string, p policy.Proposal) bool {
	resp, err := a.callChecked(ctx, voter, request{Propose: &p})
	if fault := (*FaultError)(nil); errors.As(err, &fault) && resp.Leader != voter {
		a.setLeader(resp.Leader)
	}
	return err == nil
}

func (a *Agent) fetchOutcome(ctx context.Context, voter, id string) (policy.Outcome, bool) {
	resp, err := a.call(ctx, voter, request{Outcome: id})
	if err != nil || resp.Outcome == nil {
		return policy.Outcome{}, false
	}
	return *resp.Outcome, true
}

// Outcome returns the most advanced outcome of a proposal that is known to any voter that responds.
func (a *Agent) Outcome(ctx context.Context, id string) policy.Outcome {
	outcome := policy.Outcome{ID: id}
	for _, voter := range a.voters() {
		if o, ok := a.fetchOutcome(ctx, voter, id); ok && o.State > outcome.State {
			outcome = o
		}
	}
	return outcome
}

// Document fetches a document from any voter that has it. Number 0 is the policy in force. The error joins the errors
// of all voters.
func (a *Agent) Document(ctx context.Context, number uint64) (policy.Document, error) {
	var failed []error
	for _, voter := range a.voters() {
		d, err := a.fetchDocument(ctx, voter, number)
		if err == nil {
			return policy.NewDocument(d.Number, d.Text), nil
		}
		failed = append(failed, fmt.Errorf("%s: %w", voter, err))
	}
	return policy.Document{}, errors.Join(failed...)
}

func (a *Agent) fetchDocument(ctx context.Context, voter string, number uint64) (*document, error) {
	if number == 0 {
		resp, err := a.callChecked(ctx, voter, request{State: true})
		if err != nil {
			return nil, err
		}
		if resp.State == nil || !resp.State.Bootstrapped {
			return nil, errNoDocument
		}
		number = resp.State.InForce
	}
	resp, err := a.callChecked(ctx, voter, request{Document: number})
	if err == nil && resp.Document == nil {
		err = errNoDocument
	}
	return resp.Document, err
}

// Replace replaces a voter by a standby. Both may have the same name, if that voter has lost its folder. Replace
// returns nil when the leader has begun the replacement; Status shows its completion. A FaultError means that the
// leader refused. While no leader responds, Replace retries until ctx ends, and then returns the last error.
func (a *Agent) Replace(ctx context.Context, out, in string) error {
	for attempt := 0; ; attempt++ {
		voter := a.nextVoter(attempt)
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := a.callChecked(attemptCtx, voter, request{Replace: &replacement{out, in}})
		cancel()
		if err == nil {
			return nil
		}
		if fault := (*FaultError)(nil); errors.As(err, &fault) {
			if resp.Leader == voter {
				return err
			}
			a.setLeader(resp.Leader)
		}
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("policy: %s: %w", voter, err)
		}
	}
}

// Status is the state of this sidecar and of the voters.
type Status struct {
	Serves       uint64       `json:"serves_under"` // number of a policy; 0: no requests are accepted now
	WithoutLease bool         `json:"without_a_promise"`
	KnownLeader  string       `json:"asks"` // leader known to this sidecar; "": none
	Voters       []VoterState `json:"deciders"`
	Unresponsive []string     `json:"silent_deciders"`
}

// Status returns the status. It calls all voters, one after the other.
func (a *Agent) Status(ctx context.Context) (s Status) {
	number, _, ok := a.Serves()
	a.mu.Lock()
	s.KnownLeader, s.WithoutLease = a.leader, a.withoutLease
	a.mu.Unlock()
	if ok {
		s.Serves = number
	}
	for _, voter := range a.voters() {
		resp, err := a.call(ctx, voter, request{State: true})
		if err == nil && resp.State != nil {
			s.Voters = append(s.Voters, *resp.State)
		} else {
			s.Unresponsive = append(s.Unresponsive, voter)
		}
	}
	return s
}
