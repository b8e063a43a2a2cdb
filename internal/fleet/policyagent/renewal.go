package policyagent

import (
	"context"
	"errors"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
)

const (
	minRenewPause = 50 * time.Millisecond // between two lease requests
	// renewalsPerLease is the number of requests per lease duration, so that two of them may be lost.
	renewalsPerLease = 3
	maxVoters        = 9 // accepted from a leader
)

// errNoDocument means that a request for a document failed, or that the voter did not have the document.
var errNoDocument = errors.New("policy: no document")

// renewLoop renews the lease under which this sidecar serves, until the agent is closed.
func (a *Agent) renewLoop() {
	for attempt := 0; ; attempt++ {
		if !sleep(a.ctx, a.renew(a.nextVoter(attempt))) {
			return
		}
	}
}

// nextVoter returns the voter to call: the leader if it is known, otherwise a different candidate on each attempt.
func (a *Agent) nextVoter(attempt int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return a.leader
	}
	return a.candidates[attempt%len(a.candidates)]
}

// voters returns the current voters, as known to this sidecar.
func (a *Agent) voters() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidates[:a.voterCount]
}

// setVoters sets the voters to those named by a leader that a majority has confirmed. The voters from the operator's
// file remain as further candidates, for the case that none of the current voters is reachable.
func (a *Agent) setVoters(names []string) {
	if len(names) == 0 || len(names) > maxVoters {
		return
	}
	candidates := slices.Clone(names)
	for _, name := range a.settings.Voters {
		if !slices.Contains(candidates, name) {
			candidates = append(candidates, name)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidates, a.voterCount = candidates, len(names)
}

// setLeader sets the known leader. It is "" if none is known, or if the name is too long for a sidecar.
func (a *Agent) setLeader(name string) {
	if len(name) > maxNameBytes {
		name = ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = name
}

// renew requests a lease once, and returns the pause before the next request.
func (a *Agent) renew(voter string) (pause time.Duration) {
	sent, lease := a.requestLease(voter)
	if lease == nil {
		return minRenewPause
	}
	a.mu.Lock()
	number := a.holder.ApplyResponse(a.now(), sent, *lease)
	a.mu.Unlock()
	if number == 0 {
		return a.renewPause(lease.Duration)
	}
	a.renewOftenUntil = a.now() + a.settings.Terms.Length
	fault, err := a.checkDocument(voter, number)
	if err != nil {
		return minRenewPause
	}
	a.mu.Lock()
	a.holder.RecordCheck(number, fault)
	a.mu.Unlock()
	return 0 // the leader waits for the result of the check
}

// requestLease requests a lease, and sets leader and voters from the response. lease is nil if there is no lease.
func (a *Agent) requestLease(voter string) (sent time.Duration, lease *policy.LeaseResponse) {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	a.mu.Lock()
	req := a.holder.Request()
	a.mu.Unlock()
	sent = a.now()
	resp, err := a.call(ctx, voter, request{Lease: &req})
	if err != nil || resp.Lease == nil {
		leader := ""
		if err == nil && resp.Leader != voter {
			leader = resp.Leader
		}
		a.setLeader(leader)
		return sent, nil
	}
	a.setLeader(voter)
	a.setVoters(resp.Voters)
	return sent, resp.Lease
}

// renewPause returns the pause after a renewed lease. It is shorter while a change may be pending, because each step of
// a change waits for the next request of the slowest sidecar.
func (a *Agent) renewPause(length time.Duration) time.Duration {
	pause := min(length, a.settings.Terms.Length) / renewalsPerLease
	if a.now() < a.renewOftenUntil {
		pause = min(pause, a.settings.Terms.ShortLength/renewalsPerLease)
	}
	return max(pause, minRenewPause)
}

// checkDocument fetches and checks a document. It returns the reason why the document cannot run on this sidecar, or ""
// if it can. The error wraps errNoDocument if no document was received.
func (a *Agent) checkDocument(voter string, number uint64) (fault string, err error) {
	ctx, cancel := context.WithTimeout(a.ctx, voterCallTimeout)
	defer cancel()
	resp, err := a.callChecked(ctx, voter, request{Document: number})
	if err != nil {
		return "", errors.Join(errNoDocument, err)
	}
	if resp.Document == nil || resp.Document.Number != number {
		return "", errNoDocument
	}
	if fault = a.settings.Check(number, resp.Document.Text); fault != "" {
		a.log.Warn("this sidecar cannot run a policy document", "policy", number, "reason", fault)
	}
	return fault, nil
}
