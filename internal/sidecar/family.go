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

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/console"
	"milletramp.example/milletramp/internal/handover"
)

// lookEvery is how often this process looks whether another of the sidecar has come or gone.
const lookEvery = 250 * time.Millisecond

// family is this process among those of its sidecar: one most of the time, two in an upgrade.
type family struct {
	member *handover.Member // nil: there is no way to know of others
	shares atomic.Int32     // into which what the sidecar may hold is parted
}

func joinFamily(c *config.Config, log *slog.Logger) *family {
	f := &family{}
	f.shares.Store(1)
	dir := c.Getenv("TMPDIR")
	if dir == "" {
		log.Info("no TMPDIR: nothing is handed over in an upgrade")
		return f
	}
	var err error
	f.member, err = handover.Join(dir, handover.State{Name: c.Name, Listen: c.Listen, Console: c.Console,
		Started: time.Now(), Phase: handover.Starting}, log)
	if err != nil {
		log.Warn("nothing is handed over in an upgrade", "err", err)
	}
	return f
}

// successor tells whether a newer process of the sidecar is ready to take what comes.
func (f *family) successor() bool {
	return f.member.Succeeded()
}

// tell passes a call of the staff on to the other processes. It returns whether any knows the server, and an error if one
// that lives could not be told.
func (f *family) tell(ctx context.Context, id string, out bool) (known bool, err error) {
	for _, s := range f.member.Others() {
		if s.Console == "" {
			continue
		}
		switch failed := console.PassOn(ctx, s.Console, id, out); {
		case failed == nil:
			known = true
		case errors.Is(failed, console.ErrUnknown):
		case slices.ContainsFunc(f.member.Others(), func(o handover.State) bool { return o.Compare(s) == 0 }):
			err = errors.Join(err, fmt.Errorf("the other process at %s was not told: %w", s.Console, failed))
		}
	}
	return known, err
}

// follow calls changed each time that the number of processes changes, until ctx ends.
func (f *family) follow(ctx context.Context, changed func(shares int)) {
	if f.member == nil {
		return
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	seen := int64(-1)
	for {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
		// A process that is killed leaves its files as they are, so with two it is asked each time.
		if now := f.member.Changed(); now == seen && f.shares.Load() == 1 {
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
	b := NewSocketBudget(p.config)
	p.handler.SetMaxInFlight(b.Requests / shares)
	p.conns.SetLimits(b.ClientConns/shares, max(b.KeepAliveConns/shares, 1))
	p.host.Upstream().SetMaxConns(b.UpstreamConns / shares)
	debug.SetMemoryLimit(int64(float64(p.config.MemoryMB<<20) * memoryShare / float64(shares)))
}

// join takes over what the other processes know that binds.
func (o *ops) join(ctx context.Context) error {
	out := map[string]bool{}
	for _, s := range o.family.member.Others() {
		for _, id := range s.Out {
			out[id] = true
		}
	}
	if len(out) == 0 {
		return nil
	}
	return o.handOut(ctx, out)
}

// handOut takes servers out that another process was told of, known here or not.
func (o *ops) handOut(ctx context.Context, ids map[string]bool) error {
	err := o.host.Do(ctx, func() {
		var list []string
		for id := range ids {
			list = append(list, id)
		}
		o.host.AdoptAdminDown(list)
	})
	return errors.Join(err, o.publish(ctx))
}

// publish writes down which servers are out. One call at a time does: of two that overlapped, the one that read the
// older list could write last, after both calls of the operators were answered with yes.
func (o *ops) publish(ctx context.Context) error {
	o.publishing.Lock()
	defer o.publishing.Unlock()
	var out []string
	if err := o.host.Do(ctx, func() { out = o.host.AdminDown() }); err != nil {
		return err
	}
	return o.family.member.Update(func(s *handover.State) { s.Out = out })
}
