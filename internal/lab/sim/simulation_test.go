package sim_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/sim"
)

func calmPlan(t *testing.T) *runplan.Plan {
	t.Helper()
	s, err := scenario.Read("../../../lab/short-calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	return runplan.Draw(s, 1)
}

// TestRunEndsWithItsContext checks that a run whose context is cancelled returns the cause of the cancellation, at most
// one simulated second later.
func TestRunEndsWithItsContext(t *testing.T) {
	cause := errors.New("interrupted by the test")
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	const cancelAt = 3 * time.Second
	var last time.Duration
	_, err := sim.Run(ctx, calmPlan(t), sim.Options{Progress: func(at time.Duration) {
		last = at
		if at >= cancelAt {
			cancel(cause)
		}
	}})
	if !errors.Is(err, cause) {
		t.Errorf("error %v, want the cause", err)
	}
	if last < cancelAt || last >= cancelAt+time.Second {
		t.Errorf("last progress at %v, want it in the second from %v", last, cancelAt)
	}
}

// TestRunReturnsErrorOfPolicy checks that Run returns the error of a policy constructor before it handles any event.
func TestRunReturnsErrorOfPolicy(t *testing.T) {
	rejected := errors.New("settings rejected by the test")
	newPolicy := func(balance.Settings, balance.Actions, sim.View) (sim.Policy, error) { return nil, rejected }
	result, err := sim.Run(t.Context(), calmPlan(t), sim.Options{NewPolicy: newPolicy})
	if !errors.Is(err, rejected) || result.Events != 0 {
		t.Errorf("error %v after %d events, want the policy's error after none", err, result.Events)
	}
}
