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

// processPollInterval is how often this process looks whether another one of the sidecar has come or gone.
const processPollInterval = 250 * time.Millisecond

// processGroup is the processes of this sidecar: one most of the time, two while one replaces another.
type processGroup struct {
	member       *hotrestart.Member // nil: this process cannot know of others
	processCount atomic.Int32       // their number, where more than two count as two
}

// joinProcessGroup joins the processes of the sidecar that share a temporary directory. Without one, or if that fails,
// the process is alone.
func joinProcessGroup(c *config.Config, log *slog.Logger) *processGroup {
	g := &processGroup{}
	g.processCount.Store(1)
	dir := c.Getenv("TMPDIR")
	if dir == "" {
		log.Info("no TMPDIR: nothing is handed over in an upgrade")
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
		log.Warn("nothing is handed over in an upgrade", "err", err)
	}
	return g
}

// hasOthers reports whether there are other processes.
func (g *processGroup) hasOthers() bool { return len(g.member.Others()) > 0 }

// hasSuccessor reports whether a newer process is ready to serve.
func (g *processGroup) hasSuccessor() bool { return g.member.HasReadySuccessor() }

// adminDown returns the servers that are administratively down for other processes.
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

// fleetAddresses returns the addresses at which other processes have their part in the fleet.
func (g *processGroup) fleetAddresses() []string {
	var addresses []string
	for _, other := range g.member.Others() {
		if other.FleetAddress != "" {
			addresses = append(addresses, other.FleetAddress)
		}
	}
	return addresses
}

// forwardAdminDown forwards an operator's call to the other processes. It returns whether any of them knows the server,
// and an error if a living one could not be notified.
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

// isAlive reports whether another process is still there.
func (g *processGroup) isAlive(process hotrestart.State) bool {
	return slices.ContainsFunc(g.member.Others(), func(other hotrestart.State) bool {
		return other.Compare(process) == 0
	})
}

// watch calls onChange each time that the number of processes changes, until ctx ends.
func (g *processGroup) watch(ctx context.Context, onChange func(processes int)) {
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
		// A process that is killed leaves its files as they are, so with two each poll has to look at them.
		revision := g.member.DirRevision()
		if revision == lastRevision && g.processCount.Load() == 1 {
			continue
		}
		lastRevision = revision
		processes := int32(1)
		if g.hasOthers() {
			processes = 2
		}
		if g.processCount.Swap(processes) != processes {
			onChange(int(processes))
		}
	}
}
