// Package loopback runs a plan in real time on loopback: real sidecar processes between simulated clients, servers,
// discovery services and links. It knows nothing of how a sidecar decides.
package loopback

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/servermodel"
	"milletramp.example/milletramp/internal/lab/workload"
	"milletramp.example/milletramp/internal/standin"
)

// Options are the settings of a run that are not in its plan.
type Options struct {
	Command    []string // of one sidecar, which reads PROXY_CONFIG
	Sink       record.Sink
	Progress   func(at time.Duration) // about each second; may be nil
	SidecarLog io.Writer              // what sidecars log; may be nil
}

const (
	// ResponseSlack is how late a response may arrive on this backend before the checker reports it as late.
	ResponseSlack = 50 * time.Millisecond

	// randomSeed keeps the draws of this package apart from others for the same seed.
	randomSeed = 0x50c7

	// progressInterval is the time between two calls of Options.Progress.
	progressInterval = time.Second
)

// run is the state of one run. It owns all processes, listeners and links that the run starts.
type run struct {
	plan      *runplan.Plan
	options   Options
	log       *standin.Log
	requests  *standin.RequestRegistry
	rng       *rand.Rand
	directory string // of the configuration files

	// By server.
	servers           []*standin.Node
	listeners         []net.Listener // of servers that have not started
	serverAddresses   []string       // kept over restarts
	startTimes        []time.Duration
	incarnations      []int
	isolatedServers   []bool
	requestCutShares  []float64
	responseCutShares []float64

	pods          map[int]*servermodel.Pod // by pod group
	isolatedZones []bool                   // by zone

	// By sidecar.
	links       [][]*standin.Link // and by server
	discoveries []*standin.Discovery
	sidecars    []*process
	clients     []*standin.Clients
	lastNotices []time.Duration // when the latest change of the endpoint list is due

	restarts sync.WaitGroup
}

// Run plays a plan to its end. All processes and goroutines that it started have ended when it returns, also after an
// error.
func Run(ctx context.Context, plan *runplan.Plan, options Options) (result Result, err error) {
	if err := checkDescriptorLimit(plan); err != nil {
		return result, err
	}
	directory, err := os.MkdirTemp("", "milletramp-lab-")
	if err != nil {
		return result, fmt.Errorf("lab: %w", err)
	}
	defer os.RemoveAll(directory)
	r := newRun(plan, options, directory)
	defer r.close()
	if err := r.build(ctx); err != nil {
		return result, err
	}
	if err := r.play(ctx, &result); err != nil {
		return result, err
	}
	r.recordEvents()
	return result, nil
}

// newRun returns a run in which nothing has started yet.
func newRun(plan *runplan.Plan, options Options, directory string) *run {
	servers, fleet := len(plan.Machines), plan.Scenario.Fleet
	return &run{
		plan:              plan,
		options:           options,
		log:               standin.NewLog(),
		requests:          standin.NewRequestRegistry(),
		rng:               rand.New(rand.NewPCG(plan.Seed, randomSeed)),
		directory:         directory,
		startTimes:        make([]time.Duration, servers),
		incarnations:      make([]int, servers),
		isolatedServers:   make([]bool, servers),
		requestCutShares:  make([]float64, servers),
		responseCutShares: make([]float64, servers),
		pods:              map[int]*servermodel.Pod{},
		isolatedZones:     make([]bool, len(fleet.Zones)),
		lastNotices:       make([]time.Duration, fleet.Sidecars),
	}
}

// play plays the plan from its first request to the end of the sidecars.
func (r *run) play(ctx context.Context, result *Result) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	keys := workload.NewZipf(r.plan.Scenario.Load.Keys, r.plan.Scenario.Load.Zipf)
	r.createClients()
	r.log.Begin() // the run's time begins now, and with it the servers' clocks
	for i, listener := range r.listeners {
		if listener != nil {
			r.startServer(i, listener, 0)
		}
	}
	r.listeners = nil
	for i, sidecar := range r.sidecars {
		sidecar.notifyUnexpectedExit(func(err error) { cancel(fmt.Errorf("sidecar n%d ended: %w", i, err)) })
	}
	actionsDone := make(chan struct{})
	delays, clientsDone := r.startClients(ctx, keys)
	go func() {
		defer close(actionsDone)
		r.runActions(ctx, cancel)
	}()
	r.reportProgress(clientsDone)
	<-actionsDone
	r.restarts.Wait()
	if err := context.Cause(ctx); err != nil {
		length := r.plan.Scenario.Length.Std()
		return fmt.Errorf("interrupted at %v of %v: %w", r.log.Now().Round(time.Millisecond), length, err)
	}
	for _, delay := range delays {
		result.MaxSendDelay = max(result.MaxSendDelay, delay)
	}
	result.addResourceUsage(r.sidecars)
	return r.stopSidecars()
}

// createClients creates the clients of each sidecar.
func (r *run) createClients() {
	var ids atomic.Uint64
	for i, sidecar := range r.sidecars {
		clients := standin.NewClients(standin.ClientOptions{
			Sidecar:       int32(i),
			Scenario:      r.plan.Scenario,
			Requests:      r.requests,
			Log:           r.log,
			IDs:           &ids,
			ResponseGrace: standin.ResponseGrace,
		}, r.plan.Seed)
		clients.SetAddress(sidecar.address)
		r.clients = append(r.clients, clients)
	}
}

// startClients lets all clients send. When done is closed, delays holds the longest delay of a request by client.
func (r *run) startClients(ctx context.Context, keys *workload.Zipf) (delays []time.Duration, done <-chan struct{}) {
	delays = make([]time.Duration, len(r.clients))
	var running sync.WaitGroup
	for i, clients := range r.clients {
		running.Add(1)
		go func() {
			defer running.Done()
			delays[i] = clients.Run(ctx, workload.NewSource(r.plan.Scenario, i, r.plan.Seed, keys))
		}()
	}
	clientsDone := make(chan struct{})
	go func() {
		running.Wait()
		close(clientsDone)
	}()
	return delays, clientsDone
}

// reportProgress calls Options.Progress until done is closed.
func (r *run) reportProgress(done <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			if r.options.Progress != nil {
				r.options.Progress(r.log.Now())
			}
		}
	}
}

// close ends all processes, listeners and links that still exist.
func (r *run) close() {
	for _, p := range r.sidecars {
		p.kill()
	}
	for _, d := range r.discoveries {
		d.Close()
	}
	for _, n := range r.servers {
		n.Kill()
	}
	for _, l := range r.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
	var closing sync.WaitGroup
	for _, links := range r.links {
		for _, k := range links {
			closing.Add(1)
			go func() {
				defer closing.Done()
				k.Close()
			}()
		}
	}
	closing.Wait()
}
