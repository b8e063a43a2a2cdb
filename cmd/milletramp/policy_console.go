package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/fleet/policyagent"
	"milletramp.example/milletramp/internal/fleetadapter"
)

// pollInterval is the time between two calls of a command that waits.
const pollInterval = 200 * time.Millisecond

// policyConsole holds the flags of all commands that call a console about the policy, and makes their calls.
type policyConsole struct {
	Console string        `arg:"" help:"Address of any sidecar's console."`
	JSON    bool          `help:"Print the answer as JSON."`
	Wait    time.Duration `default:"30s" help:"How long to wait for the answer or outcome."`
}

// withTimeout returns a context that ends after --wait.
func (p policyConsole) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.Wait)
}

// print prints text, or value with --json.
func (p policyConsole) print(value any, text string) error {
	if p.JSON {
		return printIndentedJSON(value)
	}
	_, err := fmt.Println(text)
	return err
}

func (p policyConsole) get(ctx context.Context, path string, reply any) error {
	return p.nameConsole(p.console().get(ctx, path, reply))
}

func (p policyConsole) post(ctx context.Context, path string, body, reply any) error {
	return p.nameConsole(p.console().post(ctx, path, body, reply))
}

func (p policyConsole) console() console {
	return console{address: p.Console, maxReply: maxPolicyReply}
}

// nameConsole adds the console's address to a refusal by it.
func (p policyConsole) nameConsole(err error) error {
	var refusal *statusError
	if errors.As(err, &refusal) {
		return fmt.Errorf("%s: %w", p.Console, err)
	}
	return err
}

func (p policyConsole) status(ctx context.Context) (policyagent.Status, error) {
	var status policyagent.Status
	err := p.get(ctx, "/ops/policy/status", &status)
	return status, err
}

// noVoterError says that the sidecar has reached no voter.
func (p policyConsole) noVoterError() error {
	return fmt.Errorf("%s: no decider answers", p.Console)
}

// policyInForce returns the highest number of a policy that a voter says is in force.
func (p policyConsole) policyInForce(ctx context.Context) (uint64, error) {
	status, err := p.status(ctx)
	if err != nil {
		return 0, err
	}
	number := uint64(0)
	for _, voter := range status.Voters {
		number = max(number, voter.InForce)
	}
	if number == 0 {
		return 0, p.noVoterError()
	}
	return number, nil
}

// document fetches a document by its number, or the one in force for number 0.
func (p policyConsole) document(ctx context.Context, number uint64) (fleetadapter.Document, error) {
	path := "/ops/policy/document"
	if number > 0 {
		path += fmt.Sprintf("?number=%d", number)
	}
	var document fleetadapter.Document
	err := p.get(ctx, path, &document)
	return document, err
}

// sleep waits until the next call of a console is due. It returns false if ctx ended before.
func sleep(ctx context.Context) bool {
	select {
	case <-time.After(pollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}
