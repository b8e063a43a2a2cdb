package policyagent

import (
	"context"
	"errors"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
)

const (
	minRenewPause = 50 * time.Millisecond // between two requests
	// renewalsPerLease is how many requests are sent while a lease lasts, so that two of them may get lost.
	renewalsPerLease = 3
	maxVoters        = 9 // that a leader may name
)

// errNoDocument says that a voter could not be asked for a document, or did not have it.
var errNoDocument = errors.New("policy: no document")

// renewLoop keeps up the lease under which this sidecar serves, until the agent is closed.
func (a *Agent) renewLoop() {
	for attempt := 0; ; attempt++ {
		if !sleep(a.ctx, a.renew(a.nextVoter(attempt))) {
			return
		}
	}
}

// nextVoter is the voter to call: the leader, as far as it is known, or else another one on each attempt.
func (a *Agent) nextVoter(attempt int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return a.leader
	}
	return a.candidates[attempt%len(a.candidates)]
}

// voters returns the voters, as far as this sidecar knows.
func (a *Agent) voters() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidates[:a.voterCount]
}

// setVoters takes the voters from a leader that a majority follows. Those of the operator's file stay behind them, to
// be asked when all of the voters are gone.
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

// setLeader notes the leader; "": none is known. A name that no sidecar can have counts as none.
func (a *Agent) setLeader(name string) {
	if len(name) > maxNameBytes {
		name = ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = name
}

// renew requests a lease once, and returns after what pause to request the next.
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
	return 0 // the leader waits for what was found
}

// requestLease requests a lease, and takes leader and voters from the response. It returns nil without a lease.
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

// renewPause is the pause after a lease was renewed. While a change may be under way it is shorter, as each step of the
// change waits for the next request of the last sidecar.
func (a *Agent) renewPause(length time.Duration) time.Duration {
	pause := min(length, a.settings.Terms.Length) / renewalsPerLease
	if a.now() < a.renewOftenUntil {
		pause = min(pause, a.settings.Terms.ShortLength/renewalsPerLease)
	}
	return max(pause, minRenewPause)
}

// checkDocument fetches a document and has it checked. It returns why the document cannot run here, "" if it can, or an
// error that wraps errNoDocument if there is no document to be checked.
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
		a.log.Warn("this sidecar cannot run a policy", "number", number, "why", fault)
	}
	return fault, nil
}
