package policyagent

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// request is a call to a voter. Exactly one of its fields is set.
type request struct {
	Raft     []byte               `cbor:"1,keyasint,omitempty"` // from another voter
	Lease    *policy.LeaseRequest `cbor:"2,keyasint,omitempty"`
	Document uint64               `cbor:"3,keyasint,omitempty"` // number of a document to return
	Propose  *policy.Proposal     `cbor:"4,keyasint,omitempty"`
	Outcome  string               `cbor:"5,keyasint,omitempty"` // ID of a proposal whose outcome to return
	State    bool                 `cbor:"6,keyasint,omitempty"`
	Replace  *replacement         `cbor:"7,keyasint,omitempty"`
}

// replacement is the replacement of a voter by a standby.
type replacement struct {
	Outgoing string `cbor:"1,keyasint"`
	Incoming string `cbor:"2,keyasint"`
}

// response is a voter's response to a request.
type response struct {
	Fault    string                `cbor:"1,keyasint,omitempty"` // reason why the request was not executed
	Leader   string                `cbor:"2,keyasint,omitempty"` // as known to the voter
	Lease    *policy.LeaseResponse `cbor:"3,keyasint,omitempty"`
	Document *document             `cbor:"4,keyasint,omitempty"`
	Outcome  *policy.Outcome       `cbor:"5,keyasint,omitempty"`
	State    *VoterState           `cbor:"6,keyasint,omitempty"`
	Voters   []string              `cbor:"7,keyasint,omitempty"` // current voters; sent along with a lease
}

type document struct {
	Number uint64 `cbor:"1,keyasint"`
	Text   []byte `cbor:"2,keyasint"`
}

// VoterState is the state of a voter, for operators.
type VoterState struct {
	Voter        string           `cbor:"1,keyasint" json:"decider"`
	Leader       string           `cbor:"2,keyasint" json:"leader"`
	NodeError    string           `cbor:"3,keyasint" json:"takes_part_no_more,omitempty"` // why it is not running
	Bootstrapped bool             `cbor:"4,keyasint" json:"founded"`
	InForce      uint64           `cbor:"5,keyasint" json:"in_force"` // number of the policy in force
	Digest       string           `cbor:"6,keyasint" json:"digest"`   // of the policy in force
	Pending      *policy.Outcome  `cbor:"7,keyasint" json:"under_way,omitempty"`
	Outcomes     []policy.Outcome `cbor:"8,keyasint" json:"changes"`
	// Waiting and WaitSeconds are set on the leader: the sidecars that the pending change waits for, and the maximum
	// wait.
	Waiting     []string `cbor:"9,keyasint,omitempty" json:"waits_for,omitempty"`
	WaitSeconds float64  `cbor:"10,keyasint,omitempty" json:"waits_s,omitempty"`
	// Voters are the current voters. Settled is false while one is being replaced. Standbys may replace a voter.
	// Standby is true if this sidecar is one.
	Voters   []string `cbor:"11,keyasint" json:"deciders"`
	Settled  bool     `cbor:"12,keyasint" json:"settled"`
	Standbys []string `cbor:"13,keyasint,omitempty" json:"candidates,omitempty"`
	Standby  bool     `cbor:"14,keyasint,omitempty" json:"waits_for_a_place,omitempty"`
}

// FaultError is the error of a request that a voter did not execute.
type FaultError struct {
	Voter string
	Fault string // the voter's reason
}

// Error returns the voter's reason.
func (e *FaultError) Error() string { return e.Fault }

// Call implements transport.CallHandler: it serves a call from another sidecar. It is safe for concurrent use and
// returns within callTimeout. The response to a request that was not executed contains a fault. An error means that the
// request could not be decoded.
func (a *Agent) Call(ctx context.Context, text []byte) ([]byte, error) {
	var req request
	if err := cbor.Unmarshal(text, &req); err != nil {
		return nil, fmt.Errorf("policy: malformed call: %w", err)
	}
	return cbor.Marshal(a.serveRequest(ctx, req))
}

// call sends a request to a voter, which may be this sidecar itself, and returns the response.
func (a *Agent) call(ctx context.Context, voter string, req request) (resp response, err error) {
	if voter == a.settings.Name {
		return a.serveRequest(ctx, req), nil
	}
	text, err := cbor.Marshal(req)
	if err != nil {
		return resp, err
	}
	if text, err = a.peers.Call(ctx, voter, text); err != nil {
		return resp, err
	}
	if err := cbor.Unmarshal(text, &resp); err != nil {
		return resp, fmt.Errorf("policy: an answer of %s that cannot be read: %w", voter, err)
	}
	return resp, nil
}

// callChecked is like call, but returns a FaultError if the response contains a fault. The response is then valid too.
func (a *Agent) callChecked(ctx context.Context, voter string, req request) (response, error) {
	resp, err := a.call(ctx, voter, req)
	if err == nil && resp.Fault != "" {
		err = &FaultError{voter, resp.Fault}
	}
	return resp, err
}
