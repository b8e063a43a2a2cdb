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

// Decided is a request that a sidecar served, and the document that it was decided under: each document alone has a class of its
// own, so that this shows without any word of the sidecar's.
type Decided struct {
	Sidecar        string
	Document       int
	Sent, Answered time.Duration
}

// Proposed is a change as its author saw it. One whose author does not know what became of it has no end.
type Proposed struct {
	ID           string
	Document     int
	Asked, Ended time.Duration
	State        string // "in force", "refused" or, in the end, what was last known
	Reason       string
}

// Policies is what was seen of the policy.
type Policies struct {
	Decided  []Decided
	Proposed []Proposed
	// Contradicted are ids of which two consoles gave answers that cannot both be.
	Contradicted []string
}

const (
	promise      = 1500 * time.Millisecond
	outcomeEvery = 100 * time.Millisecond
	outcomeFor   = 20 * time.Second // an author asks again
	decidedEvery = 10 * time.Millisecond
)

// policyText is a document, numbered from 0 on. Its class is its own.
func policyText(n int) []byte {
	return fmt.Appendf(nil, `{"limits":{"try_limit":2,"cancelling":true},"rules":{"cold_s":0.5,"start_capacity":0.5,"fall_multiple":4,"fall_s":2},
		"request_classes":[{"name":"read","effect":"idempotent","aim_s":0.5,"deadline_s":2},{"name":"p%d","effect":"idempotent","aim_s":0.5,"deadline_s":2}]}`, n)
}

// decides has clients of a sidecar ask for the class of one document after another.
func (s *sidecar) decides(ctx context.Context) {
	web := &http.Client{Timeout: askWithin, Transport: &http.Transport{}}
	defer web.CloseIdleConnections()
	every := time.NewTicker(decidedEvery)
	defer every.Stop()
	for i := 0; ; i++ {
		select {
		case <-every.C:
		case <-ctx.Done():
			return
		}
		document := i % (len(s.play.plan.Changes) + 2)
		r, err := http.NewRequest(http.MethodGet, "http://"+s.listen+"/api", nil)
		if err != nil {
			s.play.fail("%v", err)
			return
		}
		r.Header.Set("X-Request-ID", fmt.Sprintf("%s-%d", s.name, asks.Add(1)))
		r.Header.Set("X-Priority-Class", fmt.Sprint("p", document))
		r.Header.Set("X-Timeout-Ms", "1000")
		sent := s.play.now()
		resp, err := web.Do(r)
		if err != nil {
			continue // that each has its answer is seen to by the other clients
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			s.play.mu.Lock()
			s.play.policies.Decided = append(s.play.policies.Decided, Decided{s.name, document, sent, s.play.nowLocked()})
			s.play.mu.Unlock()
		}
	}
}

// nowLocked is the plan's time. The lock is held.
func (p *Play) nowLocked() time.Duration { return time.Since(p.begun) }

// changes proposes what the plan says, one after another, and once more when all faults are over.
func (p *Play) changes(ctx context.Context) {
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
func (p *Play) propose(ctx context.Context, document, by int) {
	change := Proposed{ID: fmt.Sprint("change-", document), Document: document, Asked: p.now(), State: "never asked"}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if change.State != "in force" && change.State != "refused" {
			change.Ended = 0
		}
		p.policies.Proposed = append(p.policies.Proposed, change)
	}()
	type outcome struct{ State, Reason string }
	note := func(o outcome) {
		ended := func(state string) bool { return state == "in force" || state == "refused" }
		if ended(change.State) && ended(o.State) && o.State != change.State {
			p.mu.Lock()
			p.policies.Contradicted = append(p.policies.Contradicted, change.ID)
			p.mu.Unlock()
		}
		if o.State != "unknown" {
			change.State, change.Reason, change.Ended = o.State, o.Reason, p.now()
		}
	}
	sent := false
	for until := p.now() + outcomeFor; p.now() < until && ctx.Err() == nil; by++ {
		s := p.sidecars[by%len(p.sidecars)]
		var o outcome
		if !sent {
			var status struct {
				Deciders []struct {
					InForce uint64 `json:"in_force"`
				}
			}
			code, text := s.get(http.MethodGet, "/ops/policy/status", "", callWithin)
			if code != http.StatusOK || json.Unmarshal([]byte(text), &status) != nil {
				time.Sleep(outcomeEvery)
				continue
			}
			follows := uint64(0)
			for _, d := range status.Deciders {
				follows = max(follows, d.InForce)
			}
			if follows == 0 {
				time.Sleep(outcomeEvery)
				continue
			}
			body, err := json.Marshal(map[string]any{"id": change.ID, "author": "play", "follows": follows, "text": json.RawMessage(policyText(document))})
			if err != nil {
				p.fail("%v", err)
				return
			}
			code, text = s.get(http.MethodPost, "/ops/policy/propose", string(body), callWithin)
			if code == http.StatusOK && json.Unmarshal([]byte(text), &o) == nil {
				note(o)
				sent = true // else it is asked again, with the same id
			}
			change.State = map[bool]string{true: "asked", false: change.State}[change.State == "never asked"]
		} else if code, text := s.get(http.MethodGet, "/ops/policy/outcome?id="+url.QueryEscape(change.ID), "", callWithin); code == http.StatusOK && json.Unmarshal([]byte(text), &o) == nil {
			note(o)
		}
		if change.State == "in force" || change.State == "refused" {
			return
		}
		time.Sleep(outcomeEvery)
	}
}
