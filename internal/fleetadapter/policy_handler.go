package fleetadapter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
	"milletramp.example/milletramp/internal/fleet/policyagent"
)

const (
	answerWithin = 700 * time.Millisecond // the staff is owed an answer in 1 s
	mostCall     = 2*policy.MaxDocumentBytes + 4096
)

// calls implements sidecar.Policy: it answers the staff's calls on the policy.
type calls struct {
	*policyagent.Agent
	mux   *http.ServeMux
	large chan struct{} // has one while a proposal is read. Danger: many at once would take all memory
}

func newCalls(c *policyagent.Agent) *calls {
	p := &calls{Agent: c, mux: http.NewServeMux(), large: make(chan struct{}, 1)}
	p.mux.HandleFunc("GET /ops/policy/status", p.status)
	p.mux.HandleFunc("GET /ops/policy/document", p.document)
	p.mux.HandleFunc("GET /ops/policy/outcome", p.outcome)
	p.mux.HandleFunc("POST /ops/policy/propose", p.propose)
	p.mux.HandleFunc("POST /ops/policy/replace", p.replace)
	return p
}

// Handler implements sidecar.Policy.
func (p *calls) Handler() http.Handler { return p.mux }

func (p *calls) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	write(w, p.Status(ctx))
}

// Document is a policy as the console gives it.
type Document struct {
	Number uint64          `json:"number"`
	Digest string          `json:"digest"`
	Text   json.RawMessage `json:"text"`
}

func (p *calls) document(w http.ResponseWriter, r *http.Request) {
	number := uint64(0) // in force
	if text := r.FormValue("number"); text != "" {
		var err error
		if number, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "number: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	d, err := p.Document(ctx, number)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	write(w, Document{d.Number, d.Digest.String(), d.Text})
}

// Proposal is a change as the console takes it.
type Proposal struct {
	ID      string          `json:"id"` // by which the answer is asked for again
	Author  string          `json:"author"`
	Follows uint64          `json:"follows"` // the policy that is to be in force until then
	Text    json.RawMessage `json:"text"`
}

// Outcome is how far a change has come.
type Outcome struct {
	ID     string `json:"id"`
	Number uint64 `json:"number,omitempty"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

func outcomeOf(o policy.Outcome) Outcome {
	return Outcome{o.ID, o.Number, o.State.String(), o.Reason}
}

func (p *calls) propose(w http.ResponseWriter, r *http.Request) {
	select {
	case p.large <- struct{}{}:
		defer func() { <-p.large }()
	default:
		http.Error(w, "another proposal is being read; again in a moment", http.StatusServiceUnavailable)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostCall))
	if err != nil {
		http.Error(w, "proposal: "+err.Error(), http.StatusBadRequest)
		return
	}
	var c Proposal
	switch err := json.Unmarshal(text, &c); {
	case err != nil:
		http.Error(w, "proposal: "+err.Error(), http.StatusBadRequest)
		return
	case c.ID == "" || len(c.ID) > 64 || c.Follows == 0 || len(c.Text) == 0 || len(c.Text) > policy.MaxDocumentBytes:
		http.Error(w, fmt.Sprintf("proposal: an id of 1 to 64 bytes, the number that it follows, and a text of 1 to %d bytes are needed", policy.MaxDocumentBytes), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	write(w, outcomeOf(p.Propose(ctx, policy.Proposal{ID: c.ID, Author: c.Author, Follows: c.Follows, Text: c.Text})))
}

// Replacement asks for one that waits for a place to take that of a decider.
type Replacement struct {
	Out string `json:"out"`
	In  string `json:"in"`
}

func (p *calls) replace(w http.ResponseWriter, r *http.Request) {
	var c Replacement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&c); err != nil || c.Out == "" || c.In == "" {
		http.Error(w, "replace: the names of a decider that goes (out) and of one that comes (in) are needed", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	if err := p.Replace(ctx, c.Out, c.In); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	write(w, c)
}

func (p *calls) outcome(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	write(w, outcomeOf(p.Outcome(ctx, r.FormValue("id"))))
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // a caller that is gone needs none
}
