package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	leaseLength         = 1500 * time.Millisecond
	outcomePollInterval = 100 * time.Millisecond
	outcomeTimeout      = 20 * time.Second // limit for a proposal to reach a final state
	finalChangeDelay    = 3 * time.Second  // from the end of the plan to the final policy change
)

// policyAuthor proposes one policy change and polls its outcome.
type policyAuthor struct {
	run      *fleetRun
	proposal Proposal
	accepted bool // a sidecar has accepted the proposal
}

// proposalRequest is the body of an admin server call that proposes a policy document.
type proposalRequest struct {
	Author  string          `json:"author"`
	Follows uint64          `json:"follows"` // number of the policy to replace
	ID      string          `json:"id"`
	Text    json.RawMessage `json:"text"`
}

// proposalOutcome is an admin server's response with the state of a proposal.
type proposalOutcome struct {
	State  ProposalState `json:"state"`
	Reason string        `json:"reason"`
}

// policyStatus is the part of an admin server's policy status that policyInForce reads.
type policyStatus struct {
	Voters []struct {
		InForce uint64 `json:"in_force"`
	} `json:"deciders"`
}

// proposeChanges proposes the policy changes of the plan in order, and a final one after the last fault.
func (r *fleetRun) proposeChanges(ctx context.Context) {
	last := faultplan.Change{At: r.faultsEnd() + finalChangeDelay, Sidecar: r.plan.Sidecars - 1}
	for i, change := range append(slices.Clone(r.plan.Changes), last) {
		select {
		case <-time.After(change.At - r.clock.now()):
		case <-ctx.Done():
			return
		}
		r.propose(ctx, i+1, change.Sidecar)
	}
}

// propose proposes a document to a sidecar, or to the next one that responds, and records the outcome.
func (r *fleetRun) propose(ctx context.Context, document, sidecarIndex int) {
	author := policyAuthor{run: r, proposal: Proposal{
		ID:         fmt.Sprint("change-", document),
		Document:   document,
		ProposedAt: r.clock.now(),
		State:      StateNotSent,
	}}
	author.followOutcome(ctx, sidecarIndex)
	if !author.proposal.State.IsFinal() {
		author.proposal.DecidedAt = 0
	}
	r.recorder.addProposal(author.proposal)
}

// followOutcome sends the proposal until a sidecar accepts it, and then polls its outcome, from one sidecar after
// another. It returns when the state is final, after outcomeTimeout, or when the context ends.
func (a *policyAuthor) followOutcome(ctx context.Context, sidecarIndex int) {
	deadline := a.run.clock.now() + outcomeTimeout
	for a.run.clock.now() < deadline && ctx.Err() == nil {
		s := a.run.sidecars[sidecarIndex%len(a.run.sidecars)]
		sidecarIndex++
		if a.accepted {
			a.recordOutcome(s.callAdmin(http.MethodGet, policyOutcomePath+"?id="+url.QueryEscape(a.proposal.ID), ""))
		} else if err := a.proposeAt(s); err != nil {
			a.run.recorder.addFailure("%v", err)
			return
		}
		if a.proposal.State.IsFinal() {
			return
		}
		time.Sleep(outcomePollInterval)
	}
}

// proposeAt sends the proposal to a sidecar, with the same id in each attempt. It sends nothing while the sidecar
// reports no policy in force.
func (a *policyAuthor) proposeAt(s *sidecar) error {
	follows := s.policyInForce()
	if follows == 0 {
		return nil
	}
	body, err := json.Marshal(proposalRequest{
		Author:  "play",
		Follows: follows,
		ID:      a.proposal.ID,
		Text:    policyDocument(a.proposal.Document),
	})
	if err != nil {
		return err
	}
	a.accepted = a.recordOutcome(s.callAdmin(http.MethodPost, policyProposePath, string(body)))
	if a.proposal.State == StateNotSent {
		a.proposal.State = StateSent
	}
	return nil
}

// recordOutcome updates the proposal from an admin server's response; ok is false if the response has no outcome. It
// records a contradiction if the response has another final state than an earlier response.
func (a *policyAuthor) recordOutcome(response adminResponse) (ok bool) {
	var outcome proposalOutcome
	if response.status != http.StatusOK || json.Unmarshal([]byte(response.body), &outcome) != nil {
		return false
	}
	if a.proposal.State.IsFinal() && outcome.State.IsFinal() && outcome.State != a.proposal.State {
		a.run.recorder.addContradiction(a.proposal.ID)
	}
	if outcome.State != StateUnknown {
		a.proposal.State = outcome.State
		a.proposal.Reason = outcome.Reason
		a.proposal.DecidedAt = a.run.clock.now()
	}
	return true
}

// policyInForce returns the highest number of a policy in force among the voters, as the sidecar reports it; 0 if it
// reports none.
func (s *sidecar) policyInForce() (number uint64) {
	response := s.callAdmin(http.MethodGet, policyStatusPath, "")
	var status policyStatus
	if response.status != http.StatusOK || json.Unmarshal([]byte(response.body), &status) != nil {
		return 0
	}
	for _, voter := range status.Voters {
		number = max(number, voter.InForce)
	}
	return number
}
