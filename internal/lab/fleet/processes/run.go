package processes

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/checker"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
	"milletramp.example/milletramp/internal/standin/mesh"
)

const (
	startTimeout      = 30 * time.Second // limit for all sidecars to become ready
	startPollInterval = 20 * time.Millisecond
	finalPollTimeout  = 10 * time.Second // limit for all sidecars to show equal copies
	// pollsPerSnapshotInterval is the maximum time between two snapshots of a running sidecar, in poll intervals.
	pollsPerSnapshotInterval = 4
)

// fleetRun is one run of a plan. Its fields, except recorder and clock, do not change once the fleet is ready.
type fleetRun struct {
	plan       faultplan.Plan
	options    Options
	clock      *planClock
	recorder   *recorder
	mesh       *mesh.Mesh
	sidecars   []*sidecar
	webServers []*http.Server
}

// Run runs a plan and returns the record for the checker.
func Run(ctx context.Context, p faultplan.Plan, options Options) (checker.Record, error) {
	record, _, err := runPlan(ctx, p, options)
	return record, err
}

// RunWithPolicy runs a plan against a fleet with a policy and also returns the observations of the policy.
func RunWithPolicy(ctx context.Context, p faultplan.Plan, options Options) (checker.Record, PolicyHistory, error) {
	options.WithPolicy = true
	return runPlan(ctx, p, options)
}

func runPlan(ctx context.Context, p faultplan.Plan, options Options) (
	record checker.Record, history PolicyHistory, err error) {
	clock := &planClock{}
	clock.restart()
	r := &fleetRun{plan: p, options: options.withDefaults(), clock: clock, recorder: newRecorder(clock)}
	r.mesh, err = mesh.New(processesPerSidecar*p.Sidecars, p.Seed, r.linkConditions)
	if err != nil {
		return record, history, err
	}
	defer func() { err = errors.Join(err, r.mesh.Close()) }()
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return record, history, err
	}
	started := r.recorder.restart()
	r.executeUntil(ctx, started.Add(r.faultsEnd()+r.options.SettleTime))
	if ctx.Err() != nil {
		return record, history, context.Cause(ctx)
	}
	r.awaitConvergence()
	return r.result()
}

// faultsEnd returns the end of the plan's last fault, call or change, or the plan's length if that is later.
func (r *fleetRun) faultsEnd() time.Duration { return max(r.plan.End(), r.plan.Length) }

// executeUntil executes the plan, with clients and polls running until the end, and returns when all goroutines have
// ended.
func (r *fleetRun) executeUntil(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	start := func(task func(ctx context.Context)) {
		running.Add(1)
		go func() {
			defer running.Done()
			task(ctx)
		}()
	}
	for _, s := range r.sidecars {
		start(s.sendRequests)
		start(s.pollStatus)
		if r.options.WithPolicy {
			start(s.sendPolicyRequests)
		}
		if r.options.SendGarbage != nil {
			start(func(ctx context.Context) { r.options.SendGarbage(ctx, r.mesh.Inside(s.index)) })
		}
	}
	if r.options.WithPolicy {
		start(r.proposeChanges)
	}
	r.runScript(ctx)
}

// awaitConvergence polls all sidecars until they show equal copies, or for finalPollTimeout. One poll is not enough: on
// a busy machine backends respond late, and evidence about them may be in transit at any given moment.
func (r *fleetRun) awaitConvergence() {
	deadline := time.Now().Add(finalPollTimeout)
	for {
		sums := map[string]bool{}
		for _, s := range r.sidecars {
			sums[s.observe()] = true
		}
		if len(sums) == 1 || time.Now().After(deadline) {
			return
		}
		time.Sleep(r.options.PollInterval)
	}
}

// linkConditions returns the conditions of a relay at the current time of the plan. The second process during an
// upgrade has the link conditions of its sidecar.
func (r *fleetRun) linkConditions(from, to int) mesh.Conditions {
	link := r.plan.LinkCondition(r.clock.now(), from%r.plan.Sidecars, to%r.plan.Sidecars)
	return mesh.Conditions{
		Cut:       link.Cut,
		Drop:      link.Drop,
		Duplicate: link.Duplicate,
		Delay:     link.Delay,
		Rate:      link.Rate,
	}
}

// serve starts an HTTP server with a handler on loopback. stopAll closes it.
func (r *fleetRun) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	r.webServers = append(r.webServers, server)
	go func() { _ = server.Serve(listener) }() // returns when stopAll closes the server
	return listener.Addr().String(), nil
}

// stopAll kills all processes and closes all HTTP servers.
func (r *fleetRun) stopAll() {
	for _, s := range r.sidecars {
		s.kill()
	}
	for _, server := range r.webServers {
		_ = server.Close()
	}
}
