package procs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// ServedRequest is a request that a sidecar served, and the document that it was decided under: each document alone has a class of its
// own, so that this shows without any word of the sidecar's.
type ServedRequest struct {
	Sidecar        string
	Document       int
	Sent, Answered time.Duration
}

// Proposal is a change as its author saw it. One whose author does not know what became of it has no end.
type Proposal struct {
	ID                    string
	Document              int
	ProposedAt, DecidedAt time.Duration
	State                 string // "in force", "refused" or, in the end, what was last known
	Reason                string
}

// PolicyHistory is what was seen of the policy.
type PolicyHistory struct {
	Served    []ServedRequest
	Proposals []Proposal
	// Contradicted are ids of which two consoles gave answers that cannot both be.
	Contradicted []string
}

const (
	leaseLength           = 1500 * time.Millisecond
	outcomePollInterval   = 100 * time.Millisecond
	outcomeTimeout        = 20 * time.Second // an author asks again
	policyRequestInterval = 10 * time.Millisecond
)

// policyDocument is a document, numbered from 0 on. Its class is its own.
func policyDocument(n int) []byte {
	return fmt.Appendf(nil, `{"limits":{"try_limit":2,"cancelling":true},"rules":{"cold_s":0.5,"start_capacity":0.5,"fall_multiple":4,"fall_s":2},
		"request_classes":[{"name":"read","effect":"idempotent","aim_s":0.5,"deadline_s":2},{"name":"p%d","effect":"idempotent","aim_s":0.5,"deadline_s":2}]}`, n)
}

// sendPolicyRequests has clients of a sidecar ask for the class of one document after another.
func (s *sidecar) sendPolicyRequests(ctx context.Context) {
	web := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
	defer web.CloseIdleConnections()
	every := time.NewTicker(policyRequestInterval)
	defer every.Stop()
	for i := 0; ; i++ {
		select {
		case <-every.C:
		case <-ctx.Done():
			return
		}
		document := i % (len(s.run.plan.Changes) + 2)
		r, err := http.NewRequest(http.MethodGet, "http://"+s.listenAddress+"/api", nil)
		if err != nil {
			s.run.recordFailure("%v", err)
			return
		}
		r.Header.Set("X-Request-ID", fmt.Sprintf("%s-%d", s.name, requestCounter.Add(1)))
		r.Header.Set("X-Priority-Class", fmt.Sprint("p", document))
		r.Header.Set("X-Timeout-Ms", "1000")
		sent := s.run.now()
		resp, err := web.Do(r)
		if err != nil {
			continue // that each has its answer is seen to by the other clients
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			s.run.mu.Lock()
			s.run.policyHistory.Served = append(s.run.policyHistory.Served, ServedRequest{s.name, document, sent, s.run.nowLocked()})
			s.run.mu.Unlock()
		}
	}
}

// nowLocked is the plan's time. The lock is held.
func (p *fleetRun) nowLocked() time.Duration { return time.Since(p.begun) }

// proposeChanges proposes what the plan says, one after another, and once more when all faults are over.
func (p *fleetRun) proposeChanges(ctx context.Context) {
	at, by := []time.Duration{}, []int{}
	for _, c := range p.plan.Changes {
		at, by = append(at, c.At), append(by, c.Sidecar)
	}
	at, by = append(at, max(p.plan.End(), p.plan.Length)+3*time.Second), append(by, p.plan.Sidecars-1)
	for i := range at {
		select {
		case <-time.After(at[i] - p.now()):
		case <-ctx.Done():
			return
		}
		p.propose(ctx, i+1, by[i])
	}
}

// propose has an author propose a document at a sidecar, or the next one that answers, and ask until it knows what became of it.
func (p *fleetRun) propose(ctx context.Context, document, by int) {
	change := Proposal{ID: fmt.Sprint("change-", document), Document: document, ProposedAt: p.now(), State: "never asked"}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if change.State != "in force" && change.State != "refused" {
			change.DecidedAt = 0
		}
		p.policyHistory.Proposals = append(p.policyHistory.Proposals, change)
	}()
	type outcome struct{ State, Reason string }
	note := func(o outcome) {
		ended := func(state string) bool { return state == "in force" || state == "refused" }
		if ended(change.State) && ended(o.State) && o.State != change.State {
			p.mu.Lock()
			p.policyHistory.Contradicted = append(p.policyHistory.Contradicted, change.ID)
			p.mu.Unlock()
		}
		if o.State != "unknown" {
			change.State, change.Reason, change.DecidedAt = o.State, o.Reason, p.now()
		}
	}
	sent := false
	for until := p.now() + outcomeTimeout; p.now() < until && ctx.Err() == nil; by++ {
		s := p.sidecars[by%len(p.sidecars)]
		var o outcome
		if !sent {
			var status struct {
				Deciders []struct {
					InForce uint64 `json:"in_force"`
				}
			}
			code, text := s.callAdmin(http.MethodGet, "/ops/policy/status", "", adminTimeout)
			if code != http.StatusOK || json.Unmarshal([]byte(text), &status) != nil {
				time.Sleep(outcomePollInterval)
				continue
			}
			follows := uint64(0)
			for _, d := range status.Deciders {
				follows = max(follows, d.InForce)
			}
			if follows == 0 {
				time.Sleep(outcomePollInterval)
				continue
			}
			body, err := json.Marshal(map[string]any{"id": change.ID, "author": "play", "follows": follows, "text": json.RawMessage(policyDocument(document))})
			if err != nil {
				p.recordFailure("%v", err)
				return
			}
			code, text = s.callAdmin(http.MethodPost, "/ops/policy/propose", string(body), adminTimeout)
			if code == http.StatusOK && json.Unmarshal([]byte(text), &o) == nil {
				note(o)
				sent = true // else it is asked again, with the same id
			}
			change.State = map[bool]string{true: "asked", false: change.State}[change.State == "never asked"]
		} else if code, text := s.callAdmin(http.MethodGet, "/ops/policy/outcome?id="+url.QueryEscape(change.ID), "", adminTimeout); code == http.StatusOK && json.Unmarshal([]byte(text), &o) == nil {
			note(o)
		}
		if change.State == "in force" || change.State == "refused" {
			return
		}
		time.Sleep(outcomePollInterval)
	}
}
