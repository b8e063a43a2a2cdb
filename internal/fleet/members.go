package fleet

import (
	"context"
	"log/slog"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Address is where other sidecars reach this one.
func (f *Fleet) Address() string { return f.address }

// CaughtUp is closed once this sidecar holds what the fleet holds, or has tried for long enough.
func (f *Fleet) CaughtUp() <-chan struct{} { return f.caughtUp }

// Ready tells whether this sidecar holds what the fleet holds, or has tried for long enough, and in which phase it is.
func (f *Fleet) Ready(ctx context.Context) (ready bool, phase string) {
	if err := f.call(ctx, func(replication.Now) {
		p, _ := f.machine.Phase()
		ready = p != gossip.CatchingUp
		phase = p.String()
	}); err != nil {
		return false, err.Error()
	}
	return ready, phase
}

// enterPhase takes in that the machine has entered a phase.
func (f *Fleet) enterPhase(phase gossip.Phase) {
	f.log.Info("caught up", "phase", phase.String(), "members", f.machine.Members.NumPresent())
	if phase != gossip.CatchingUp && !f.hasCaughtUp {
		f.hasCaughtUp = true
		close(f.caughtUp)
	}
}

// followIncarnation passes the number of this process's incarnation to the policy agent. It rises where membership
// finds that a former process had a higher one.
func (f *Fleet) followIncarnation() {
	if self, ownsName := f.machine.Members.Self(); ownsName && f.raiseIncarnation != nil {
		f.raiseIncarnation(self.ProcessIncarnation.Number)
	}
}

func (f *Fleet) logMemberChange(change membership.Change) {
	member := change.Member
	if change.Superseded {
		f.log.Warn("another process bears this sidecar's name; this one is silent from now on",
			"at", member.Address, "life", member.ProcessIncarnation)
		return
	}
	level := slog.LevelInfo
	if member.State == membership.Suspect {
		level = slog.LevelDebug
	}
	f.log.Log(f.ctx, level, "member", "name", member.Name, "state", member.State.String(),
		"address", member.Address, "life", member.ProcessIncarnation.Number, "incarnation", member.Incarnation)
}

// addressOf returns the address of a member that is present; "": there is none of this name.
func (f *Fleet) addressOf(name string) (address string) {
	for _, member := range f.machine.Members.Members() {
		if member.Name == name && member.Present() {
			address = member.Address
		}
	}
	return address
}
