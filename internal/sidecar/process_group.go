package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/hotrestart"
)

// processPollInterval is the interval at which a process checks whether another process of the sidecar has started or
// ended.
const processPollInterval = 250 * time.Millisecond

// maxProcessCount is the maximum number of processes that are counted. Two processes serve during a hot restart.
const maxProcessCount = 2

// processGroup is the group of processes of this sidecar: usually one, two during a hot restart.
type processGroup struct {
	member       *hotrestart.Member // nil: other processes cannot be discovered
	published    *hotrestart.Usage  // last published usage of this process; nil: none
	processCount atomic.Int32       // number of processes, capped at maxProcessCount
}

// joinProcessGroup joins the group of this sidecar's processes, which share a temporary directory. Without TMPDIR, or
// if joining fails, the process is alone in its group.
func joinProcessGroup(c *config.Config, log *slog.Logger) *processGroup {
	g := &processGroup{}
	g.processCount.Store(1)
	dir := c.Getenv("TMPDIR")
	if dir == "" {
		log.Info("TMPDIR is not set: no state is handed over in a hot restart")
		return g
	}
	var err error
	g.member, err = hotrestart.Join(dir, hotrestart.State{
		Name:          c.Name,
		ListenAddress: c.ListenAddress,
		AdminAddress:  c.AdminAddress,
		Started:       time.Now(),
		Phase:         hotrestart.Starting,
	}, log)
	if err != nil {
		log.Warn("cannot join the process group: no state is handed over in a hot restart", "err", err)
	}
	return g
}

// others returns the states of the other processes of the group.
func (g *processGroup) others() []hotrestart.State { return g.member.Others() }

// publishUsage publishes what this process uses of the sidecar's limits, unless that is already published. A failed
// write is logged and retried. Only the goroutine of watch calls it, and the one that starts that goroutine before.
func (g *processGroup) publishUsage(usage hotrestart.Usage) {
	if g.published != nil && *g.published == usage {
		return
	}
	g.published = &usage
	_ = g.member.Update(func(s *hotrestart.State) { s.Usage = &usage })
}

// hasOthers reports whether the group has other processes.
func (g *processGroup) hasOthers() bool { return len(g.member.Others()) > 0 }

// hasSuccessor reports whether a newer process is ready to serve.
func (g *processGroup) hasSuccessor() bool { return g.member.HasReadySuccessor() }

// adminDown returns the servers that are administratively down in other processes of the group.
func (g *processGroup) adminDown() []string {
	var ids []string
	for _, other := range g.member.Others() {
		for _, id := range other.AdminDown {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// fleetAddresses returns the fleet addresses of the other processes.
func (g *processGroup) fleetAddresses() []string {
	var addresses []string
	for _, other := range g.member.Others() {
		if other.FleetAddress != "" {
			addresses = append(addresses, other.FleetAddress)
		}
	}
	return addresses
}

// forwardAdminDown forwards an operator's call to the other processes. known reports whether the server is known to one
// of them. The error names each process that is still running and could not be notified.
func (g *processGroup) forwardAdminDown(ctx context.Context, id string, down bool) (known bool, err error) {
	for _, other := range g.member.Others() {
		if other.AdminAddress == "" {
			continue
		}
		forwardErr := admin.ForwardAdminDown(ctx, other.AdminAddress, id, down)
		switch {
		case forwardErr == nil:
			known = true
		case errors.Is(forwardErr, admin.ErrUnknownServer):
		case g.isAlive(other):
			err = errors.Join(err,
				fmt.Errorf("the other process at %s was not told: %w", other.AdminAddress, forwardErr))
		}
	}
	return known, err
}

// isAlive reports whether another process is still running.
func (g *processGroup) isAlive(process hotrestart.State) bool {
	return slices.ContainsFunc(g.member.Others(), func(other hotrestart.State) bool {
		return other.Compare(process) == 0
	})
}

// watch calls onPoll at each poll while there are other processes, and when the last of them has ended, until ctx ends.
// changed reports whether the number of processes has changed since the last call.
func (g *processGroup) watch(ctx context.Context,
	onPoll func(others []hotrestart.State, processes int, changed bool)) {
	if g.member == nil {
		return
	}
	poll := time.NewTicker(processPollInterval)
	defer poll.Stop()
	lastRevision := int64(-1)
	for {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
		// The directory's revision does not change when a process is killed, because its files remain. Every poll
		// therefore reads the files while there are two processes.
		revision := g.member.DirRevision()
		if revision == lastRevision && g.processCount.Load() == 1 {
			continue
		}
		lastRevision = revision
		others := g.others()
		processes := min(1+len(others), maxProcessCount)
		changed := int(g.processCount.Swap(int32(processes))) != processes
		if changed || len(others) > 0 {
			onPoll(others, processes, changed)
		}
	}
}
