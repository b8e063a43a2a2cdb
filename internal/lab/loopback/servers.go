package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

// startServer starts a process of a server, with the start time that its endpoint list shows.
func (r *run) startServer(index int, listener net.Listener, started time.Duration) {
	machine := r.plan.Machines[index]
	spec := machine.Spec
	spec.StartedAt = started
	r.startTimes[index] = started
	r.incarnations[index]++
	fleet := r.plan.Scenario.Fleet
	keys := servermodel.KeySettings{
		Saving:   fleet.CacheSaving,
		Lifetime: fleet.CacheTTL.Std(),
		Max:      fleet.CacheKeysPerCore * spec.Cores,
	}
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)<<incarnationBits+uint64(r.incarnations[index])))
	processor := servermodel.NewProcessor(spec, r.log.Now())
	r.servers[index].Start(listener, servermodel.NewServer(processor, r.pod(machine.PodGroup), keys, random))
	r.log.Add(record.Event{
		Kind:     record.NodeStarted,
		Node:     int32(index),
		Capacity: float64(spec.Cores) * spec.Speed,
		Boot:     started,
	})
}

// incarnationBits are the low bits of a server's seed, which count its processes.
const incarnationBits = 20

// pod returns the pod of a group, which outlives the processes of its servers.
func (r *run) pod(group int) *servermodel.Pod {
	pod := r.pods[group]
	if pod == nil {
		pod = servermodel.NewPod(r.plan.DedupeWindow())
		r.pods[group] = pod
	}
	return pod
}

// restartServer starts a server that is down, and has it listed as serving.
func (r *run) restartServer(index int) error {
	listener, err := net.Listen("tcp", r.serverAddresses[index])
	if err != nil {
		return fmt.Errorf("node %d: %w", index, err)
	}
	r.startServer(index, listener, max(r.log.Now(), 1))
	r.notify(index, record.Serving)
	return nil
}
