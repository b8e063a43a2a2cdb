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
	// callTimeout bounds a call, which operators expect to be answered within 1 s.
	callTimeout = 700 * time.Millisecond
	// maxProposalBytes bounds a proposal: its document, which JSON may write longer, and the rest.
	maxProposalBytes = 2*policy.MaxDocumentBytes + 4096
	// maxReplacementBytes bounds the body of a call to replace a voter.
	maxReplacementBytes = 4096
	// maxProposalID bounds the id of a proposal, in bytes.
	maxProposalID = 64
)

// policyHandler answers operators' calls on the policy. It implements proxy.Policy.
type policyHandler struct {
	*policyagent.Agent
	mux          *http.ServeMux
	proposalSlot chan struct{} // has a value while a proposal is read; many at once could take all memory
}

// newPolicyHandler returns a handler of calls on the policy of an agent.
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

// serveStatus answers with the state of the policy.
func (h *policyHandler) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	writeJSON(w, h.Status(ctx))
}

// Document is a policy as the admin server gives it.
type Document struct {
	Number uint64          `json:"number"`
	Digest string          `json:"digest"`
	Text   json.RawMessage `json:"text"`
}

// serveDocument answers with the policy of a number, or the one in force.
func (h *policyHandler) serveDocument(w http.ResponseWriter, r *http.Request) {
	number := uint64(0) // the one in force
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

// Proposal is a change of the policy as the admin server takes it.
type Proposal struct {
	ID      string          `json:"id"` // by which its outcome can be asked for
	Author  string          `json:"author"`
	Follows uint64          `json:"follows"` // the number of the policy that it replaces
	Text    json.RawMessage `json:"text"`
}

// validate returns what a proposal lacks.
func (p *Proposal) validate() error {
	hasID := p.ID != "" && len(p.ID) <= maxProposalID
	hasText := len(p.Text) > 0 && len(p.Text) <= policy.MaxDocumentBytes
	if hasID && hasText && p.Follows != 0 {
		return nil
	}
	return fmt.Errorf("an id of 1 to %d bytes, the number that it follows, and a text of 1 to %d bytes are needed",
		maxProposalID, policy.MaxDocumentBytes)
}

// Outcome is how far a proposal has come.
type Outcome struct {
	ID     string `json:"id"`
	Number uint64 `json:"number,omitempty"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// newOutcome returns an outcome as the admin server gives it.
func newOutcome(o policy.Outcome) Outcome {
	return Outcome{o.ID, o.Number, o.State.String(), o.Reason}
}

// servePropose proposes a change and answers with its outcome so far.
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

// readProposal reads and checks the proposal of a call.
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

// Replacement asks for a waiting sidecar to take the place of a voter.
type Replacement struct {
	Out string `json:"out"`
	In  string `json:"in"`
}

// serveReplace replaces a voter.
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

// serveOutcome answers with how far a proposal has come.
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
	_ = encoder.Encode(value) // a caller that has gone needs no response
}
