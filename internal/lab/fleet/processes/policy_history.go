package processes

import "time"

// ServedRequest is a request that a sidecar served, and the policy document that was in force for the request. The
// request's class identifies the document, as each document has a class of its own; the sidecar's status is not used.
type ServedRequest struct {
	Sidecar        string
	Document       int
	Sent, Answered time.Duration
}

// ProposalState is the state of a proposal.
type ProposalState string

// The states of a proposal. StateNotSent and StateSent are set by the author, the others are reported by admin servers.
const (
	StateNotSent ProposalState = "never asked"
	StateSent    ProposalState = "asked" // no response yet
	StateInForce ProposalState = "in force"
	StateRefused ProposalState = "refused"
	StateUnknown ProposalState = "unknown" // the sidecar has no record of the proposal
)

// IsFinal reports whether the state can no longer change.
func (s ProposalState) IsFinal() bool { return s == StateInForce || s == StateRefused }

// Proposal is a policy change as observed by its author.
type Proposal struct {
	ID         string
	Document   int
	ProposedAt time.Duration
	DecidedAt  time.Duration // 0 if the author received no final state
	State      ProposalState // last known state
	Reason     string
}

// PolicyHistory contains the observations of the policy in a run.
type PolicyHistory struct {
	Served    []ServedRequest
	Proposals []Proposal
	// Contradicted lists the ids of proposals for which two responses had different final states.
	Contradicted []string
}
