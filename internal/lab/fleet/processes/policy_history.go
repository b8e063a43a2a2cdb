package processes

import "time"

// ServedRequest is a request that a sidecar served, and the policy document that the sidecar served it under. Its class
// shows that without the sidecar's word for it: each document has a class that no other has.
type ServedRequest struct {
	Sidecar        string
	Document       int
	Sent, Answered time.Duration
}

// ProposalState is what became of a proposal.
type ProposalState string

// The states of a proposal: the author's own, and those of the admin server that the author acts on.
const (
	StateNotSent ProposalState = "never asked"
	StateSent    ProposalState = "asked" // without a response yet
	StateInForce ProposalState = "in force"
	StateRefused ProposalState = "refused"
	StateUnknown ProposalState = "unknown" // the sidecar does not know the proposal
)

// IsFinal says whether the state does not change any more.
func (s ProposalState) IsFinal() bool { return s == StateInForce || s == StateRefused }

// Proposal is a change of policy as its author saw it.
type Proposal struct {
	ID         string
	Document   int
	ProposedAt time.Duration
	DecidedAt  time.Duration // 0: its author does not know what became of it
	State      ProposalState // the last known one
	Reason     string
}

// PolicyHistory is what was seen of the policy.
type PolicyHistory struct {
	Served    []ServedRequest
	Proposals []Proposal
	// Contradicted are the ids of proposals for which two admin servers named different final states.
	Contradicted []string
}
