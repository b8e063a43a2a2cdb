package loopback

import (
	"context"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

// runActions applies the plan's actions, each at its time.
func (r *run) runActions(ctx context.Context, fail context.CancelCauseFunc) {
	for _, action := range r.plan.Actions {
		timer := time.NewTimer(max(action.At-r.log.Now(), 0))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if err := r.apply(ctx, action, fail); err != nil {
			fail(err)
			return
		}
	}
}

// apply applies one action. Errors of what it starts in the background go to fail.
func (r *run) apply(ctx context.Context, action runplan.Action, fail context.CancelCauseFunc) error {
	node := action.Node
	switch action.Kind {
	case runplan.FaultOver:
		r.log.Add(record.Event{Kind: record.FaultOver})
	case runplan.CutZone, runplan.IsolateNode, runplan.CutRequestShare, runplan.CutResponseShare:
		r.applyLinkFault(action)
	case runplan.SilenceDiscovery, runplan.CutWatch, runplan.RewindWatch:
		r.applyDiscoveryFault(action)
	case runplan.MoveWatch:
		return r.moveDiscovery()
	case runplan.RestartSidecar:
		r.restartInBackground(ctx, node, fail)
	case runplan.StartNode, runplan.RestartNode:
		return r.restartServer(node)
	case runplan.DrainNode:
		r.notify(node, record.Draining)
	case runplan.RemoveNode:
		r.servers[node].Kill()
		r.notify(node, record.Gone)
	case runplan.CrashNode:
		r.servers[node].Kill()
	case runplan.SlowNode, runplan.LoseClass, runplan.RejectClass,
		runplan.LoseShare, runplan.ErrorShare, runplan.GarbleShare:
		r.servers[node].Change(func(server *servermodel.Server, now time.Duration) {
			applyServerFault(server, now, action)
		})
	}
	return nil
}

// applyLinkFault sets a fault of the network and the links by it.
func (r *run) applyLinkFault(action runplan.Action) {
	switch action.Kind {
	case runplan.CutZone:
		r.isolatedZones[action.Node] = action.On
	case runplan.IsolateNode:
		r.isolatedServers[action.Node] = action.On
	case runplan.CutRequestShare:
		r.requestCutShares[action.Node] = action.Value
	case runplan.CutResponseShare:
		r.responseCutShares[action.Node] = action.Value
	}
	r.updateLinks()
}

// applyDiscoveryFault sets a fault at every discovery service.
func (r *run) applyDiscoveryFault(action runplan.Action) {
	for _, discovery := range r.discoveries {
		switch action.Kind {
		case runplan.SilenceDiscovery:
			discovery.SetStalled(action.On)
		case runplan.CutWatch:
			discovery.TruncateNext()
		case runplan.RewindWatch:
			discovery.Rollback()
		}
	}
}

// applyServerFault sets a fault in the model of a server.
func applyServerFault(server *servermodel.Server, now time.Duration, action runplan.Action) {
	switch action.Kind {
	case runplan.SlowNode:
		server.SetSlowdown(now, action.Value)
	case runplan.LoseClass:
		server.Faults.LostClasses[action.Class] = action.On
	case runplan.RejectClass:
		server.Faults.RejectedClasses[action.Class] = action.On
	case runplan.LoseShare:
		server.Faults.LossShare = action.Value
	case runplan.ErrorShare:
		server.Faults.ErrorShare = action.Value
	case runplan.GarbleShare:
		server.Faults.MalformedShare = action.Value
	}
}
