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
	// callTimeout bounds a call. Operators expect a response within 1 s.
	callTimeout = 700 * time.Millisecond
	// maxProposalBytes is the maximum size of a proposal. It allows twice the maximum size of the document, which JSON
	// encoding may lengthen, plus the other fields.
	maxProposalBytes = 2*policy.MaxDocumentBytes + 4096
	// maxReplacementBytes is the maximum size of the body of a call to replace a voter.
	maxReplacementBytes = 4096
	// maxProposalID is the maximum length of a proposal ID, in bytes.
	maxProposalID = 64
)

// policyHandler serves operators' calls on the policy. It implements proxy.Policy.
type policyHandler struct {
	*policyagent.Agent
	mux          *http.ServeMux
	proposalSlot chan struct{} // contains a value while a proposal is served; concurrent proposals could exhaust memory
}

// newPolicyHandler returns a handler for calls on the policy of an agent.
func newPolicyHandler(agent *policyagent.Agent) *policyHandler {
	h := &policyHandler{Agent: agent, mux: http.NewServeMux(), proposalSlot: make(chan struct{}, 1)}
	h.mux.HandleFunc("GET /ops/policy/status", h.serveStatus)
	h.mux.HandleFunc("GET /ops/policy/document", h.serveDocument)
	h.mux.HandleFunc("GET /ops/policy/outcome", h.serveOutcome)
	h.mux.HandleFunc("POST /ops/policy/propose", h.servePropose)
	h.mux.HandleFunc("POST /ops/policy/replace", h.serveReplace)
	return h
}

// Handler implements proxy.Policy.
func (h *policyHandler) Handler() http.Handler { return h.mux }

// serveStatus responds with the state of the policy.
func (h *policyHandler) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	writeJSON(w, h.Status(ctx))
}

// Document is a policy in the format of the admin server's responses.
type Document struct {
	Number uint64          `json:"number"`
	Digest string          `json:"digest"`
	Text   json.RawMessage `json:"text"`
}

// serveDocument responds with the policy that has the requested number, or with the one in force.
func (h *policyHandler) serveDocument(w http.ResponseWriter, r *http.Request) {
	number := uint64(0) // 0 selects the policy in force
	if text := r.FormValue("number"); text != "" {
		var err error
		number, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "number: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	document, err := h.Document(ctx, number)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, Document{document.Number, document.Digest.String(), document.Text})
}

// Proposal is a proposed policy in the format of the calls to the admin server.
type Proposal struct {
	ID      string          `json:"id"` // used to query the outcome
	Author  string          `json:"author"`
	Follows uint64          `json:"follows"` // number of the policy that the proposal replaces
	Text    json.RawMessage `json:"text"`
}

// validate returns an error if a required field is missing or too long.
func (p *Proposal) validate() error {
	hasID := p.ID != "" && len(p.ID) <= maxProposalID
	hasText := len(p.Text) > 0 && len(p.Text) <= policy.MaxDocumentBytes
	if hasID && hasText && p.Follows != 0 {
		return nil
	}
	return fmt.Errorf("an id of 1 to %d bytes, the number that it follows, and a text of 1 to %d bytes are needed",
		maxProposalID, policy.MaxDocumentBytes)
}

// Outcome is the progress of a proposal in the format of the admin server's responses.
type Outcome struct {
	ID     string `json:"id"`
	Number uint64 `json:"number,omitempty"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// newOutcome converts an outcome to the format of the admin server's responses.
func newOutcome(o policy.Outcome) Outcome {
	return Outcome{o.ID, o.Number, o.State.String(), o.Reason}
}

// servePropose proposes a change of the policy and responds with its outcome so far. Only one proposal is served at a
// time.
func (h *policyHandler) servePropose(w http.ResponseWriter, r *http.Request) {
	select {
	case h.proposalSlot <- struct{}{}:
		defer func() { <-h.proposalSlot }()
	default:
		http.Error(w, "another proposal is being read; again in a moment", http.StatusServiceUnavailable)
		return
	}
	proposal, err := readProposal(w, r)
	if err != nil {
		http.Error(w, "proposal: "+err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	outcome := h.Propose(ctx, policy.Proposal{
		ID:      proposal.ID,
		Author:  proposal.Author,
		Follows: proposal.Follows,
		Text:    proposal.Text,
	})
	writeJSON(w, newOutcome(outcome))
}

// readProposal reads the proposal of a call and validates it.
func readProposal(w http.ResponseWriter, r *http.Request) (*Proposal, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxProposalBytes))
	if err != nil {
		return nil, err
	}
	var proposal Proposal
	if err := json.Unmarshal(body, &proposal); err != nil {
		return nil, err
	}
	return &proposal, proposal.validate()
}

// Replacement is the body of a call that replaces a voter (Out) by a waiting sidecar (In).
type Replacement struct {
	Out string `json:"out"`
	In  string `json:"in"`
}

// serveReplace replaces a voter and responds with the replacement.
func (h *policyHandler) serveReplace(w http.ResponseWriter, r *http.Request) {
	var replacement Replacement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReplacementBytes)).Decode(&replacement)
	if err != nil || replacement.Out == "" || replacement.In == "" {
		http.Error(w, "replace: the names of a decider that goes (out) and of one that comes (in) are needed",
			http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if err := h.Replace(ctx, replacement.Out, replacement.In); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, replacement)
}

// serveOutcome responds with the outcome of a proposal so far.
func (h *policyHandler) serveOutcome(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	writeJSON(w, newOutcome(h.Outcome(ctx, r.FormValue("id"))))
}

// writeJSON writes a value as indented JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // fails only if the operator has closed the connection
}
