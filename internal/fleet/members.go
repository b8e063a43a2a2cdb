package fleet

import (
	"context"
	"log/slog"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Address returns the address at which other sidecars reach this one.
func (f *Fleet) Address() string { return f.address }

// CaughtUp returns a channel that is closed once this sidecar has the fleet's state, or its catch-up has timed out.
func (f *Fleet) CaughtUp() <-chan struct{} { return f.caughtUp }

// Ready reports whether this sidecar's catch-up has ended, by success or by timeout, and returns the phase.
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

// enterPhase logs a new phase of the machine, and closes caughtUp after the first catch-up.
func (f *Fleet) enterPhase(phase gossip.Phase) {
	f.log.Info("fleet phase changed", "phase", phase.String(), "members", f.machine.Members.NumPresent())
	if phase != gossip.CatchingUp && !f.hasCaughtUp {
		f.hasCaughtUp = true
		close(f.caughtUp)
	}
}

// followIncarnation passes the number of this process's incarnation to the policy agent. The number rises if membership
// discovers that an earlier process had a higher one.
func (f *Fleet) followIncarnation() {
	if self, ownsName := f.machine.Members.Self(); ownsName && f.raiseIncarnation != nil {
		f.raiseIncarnation(self.ProcessIncarnation.Number)
	}
}

func (f *Fleet) logMemberChange(change membership.Change) {
	member := change.Member
	if change.Superseded {
		f.log.Warn("another process has taken this sidecar's name; this process stops sending",
			"address", member.Address, "process_incarnation", member.ProcessIncarnation)
		return
	}
	level := slog.LevelInfo
	if member.State == membership.Suspect {
		level = slog.LevelDebug
	}
	f.log.Log(f.ctx, level, "fleet member state changed", "name", member.Name, "state", member.State.String(),
		"address", member.Address, "process_incarnation", member.ProcessIncarnation.Number,
		"incarnation", member.Incarnation)
}

// addressOf returns the address of the present member with a name, or "" if there is none.
func (f *Fleet) addressOf(name string) (address string) {
	for _, member := range f.machine.Members.Members() {
		if member.Name == name && member.Present() {
			address = member.Address
		}
	}
	return address
}
