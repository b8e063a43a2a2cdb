package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/hotrestart"
)

// processPollInterval is how often this process looks whether another of the sidecar has come or gone.
const processPollInterval = 250 * time.Millisecond

// processGroup is this process among those of its sidecar: one most of the time, two in an upgrade.
type processGroup struct {
	member *hotrestart.Member // nil: there is no way to know of others
	shares atomic.Int32       // into which what the sidecar may hold is parted
}

func joinProcessGroup(c *config.Config, log *slog.Logger) *processGroup {
	f := &processGroup{}
	f.shares.Store(1)
	dir := c.Getenv("TMPDIR")
	if dir == "" {
		log.Info("no TMPDIR: nothing is handed over in an upgrade")
		return f
	}
	var err error
	f.member, err = hotrestart.Join(dir, hotrestart.State{Name: c.Name, ListenAddress: c.Listen, AdminAddress: c.Console,
		Started: time.Now(), Phase: hotrestart.Starting}, log)
	if err != nil {
		log.Warn("nothing is handed over in an upgrade", "err", err)
	}
	return f
}

// hasSuccessor tells whether a newer process of the sidecar is ready to take what comes.
func (f *processGroup) hasSuccessor() bool {
	return f.member.HasReadySuccessor()
}

// forwardAdminDown passes a call of the staff on to the other processes. It returns whether any knows the server, and an error if one
// that lives could not be told.
func (f *processGroup) forwardAdminDown(ctx context.Context, id string, out bool) (known bool, err error) {
	for _, s := range f.member.Others() {
		if s.AdminAddress == "" {
			continue
		}
		switch failed := admin.ForwardAdminDown(ctx, s.AdminAddress, id, out); {
		case failed == nil:
			known = true
		case errors.Is(failed, admin.ErrUnknownServer):
		case slices.ContainsFunc(f.member.Others(), func(o hotrestart.State) bool { return o.Compare(s) == 0 }):
			err = errors.Join(err, fmt.Errorf("the other process at %s was not told: %w", s.AdminAddress, failed))
		}
	}
	return known, err
}

// watch calls changed each time that the number of processes changes, until ctx ends.
func (f *processGroup) watch(ctx context.Context, changed func(shares int)) {
	if f.member == nil {
		return
	}
	look := time.NewTicker(processPollInterval)
	defer look.Stop()
	seen := int64(-1)
	for {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
		// A process that is killed leaves its files as they are, so with two it is asked each time.
		if now := f.member.DirRevision(); now == seen && f.shares.Load() == 1 {
			continue
		} else {
			seen = now
		}
		if shares := int32(1 + min(len(f.member.Others()), 1)); f.shares.Swap(shares) != shares {
			changed(int(shares))
		}
	}
}

// share has this process hold a part of what the sidecar may. Two processes count as one.
func (p *process) share(shares int) {
	b := newSocketBudget(p.config)
	p.handler.SetMaxInFlight(b.Requests / shares)
	p.conns.SetLimits(b.ClientConns/shares, max(b.KeepAliveConns/shares, 1))
	p.loop.Upstream().SetMaxConns(b.UpstreamConns / shares)
	debug.SetMemoryLimit(int64(float64(p.config.MemoryMB<<20) * memoryShare / float64(shares)))
}

// inherit takes over what the other processes know that binds.
func (o *operator) inherit(ctx context.Context) error {
	out := map[string]bool{}
	for _, s := range o.group.member.Others() {
		for _, id := range s.AdminDown {
			out[id] = true
		}
	}
	if len(out) == 0 {
		return nil
	}
	return o.adoptAdminDown(ctx, out)
}

// adoptAdminDown takes servers out that another process was told of, known here or not.
func (o *operator) adoptAdminDown(ctx context.Context, ids map[string]bool) error {
	err := o.loop.Do(ctx, func() {
		var list []string
		for id := range ids {
			list = append(list, id)
		}
		o.loop.AdoptAdminDown(list)
	})
	return errors.Join(err, o.publishAdminDown(ctx))
}

// publishAdminDown writes down which servers are out. One call at a time does: of two that overlapped, the one that read the
// older list could write last, after both calls of the operators were answered with yes.
func (o *operator) publishAdminDown(ctx context.Context) error {
	o.publishing.Lock()
	defer o.publishing.Unlock()
	var out []string
	if err := o.loop.Do(ctx, func() { out = o.loop.AdminDown() }); err != nil {
		return err
	}
	return o.group.member.Update(func(s *hotrestart.State) { s.AdminDown = out })
}
