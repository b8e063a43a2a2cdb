package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// adminState is the loop's state for operators' calls, in addition to the replicated state.
type adminState struct {
	// pendingConfirms has the channels of calls that wait until other members have stored their item. Each channel
	// has capacity for one value.
	pendingConfirms map[replication.Key][]chan gossip.Confirmation
	down            []string // argument of the last call of OnAdminDown
	notifyDue       bool     // OnAdminDown is due even if down has not changed
}

// resolve passes a confirmation to the calls that wait for it.
func (s *adminState) resolve(confirmation gossip.Confirmation) {
	for _, confirmed := range s.pendingConfirms[confirmation.Key] {
		confirmed <- confirmation
	}
	delete(s.pendingConfirms, confirmation.Key)
}

// SetAdminDown records an operator's call that sets a server administratively down or up. With confirm it waits until
// other members have stored the call. It then returns the number of members that have confirmed, and the number to
// which the call was sent; the latter is 0 if there is no other member.
func (f *Fleet) SetAdminDown(
	ctx context.Context, server string, down, confirm bool,
) (holders, recipients int, err error) {
	confirmed := make(chan gossip.Confirmation, 1)
	callErr := f.call(ctx, func(now replication.Now) {
		var key replication.Key
		if key, err = f.recordCall(now, server, down); err != nil || !confirm {
			return
		}
		f.admin.pendingConfirms[key] = append(f.admin.pendingConfirms[key], confirmed)
		f.machine.Confirm(now, key)
	})
	if err = errors.Join(callErr, err); err != nil || !confirm {
		return 0, 0, err
	}
	select {
	case confirmation, ok := <-confirmed:
		if !ok {
			return 0, 0, ErrClosed
		}
		return confirmation.Holders, confirmation.Recipients, nil
	case <-ctx.Done():
		return 0, 0, fmt.Errorf("fleet: %w", context.Cause(ctx))
	}
}

// recordCall writes an operator's call to the replicated state and broadcasts it.
func (f *Fleet) recordCall(now replication.Now, server string, down bool) (key replication.Key, err error) {
	if _, ownsName := f.machine.Members.Self(); !ownsName {
		return key, ErrSuperseded
	}
	former, _ := f.machine.Store.AdminState(server)
	if key, err = f.machine.Store.RecordCall(now, server, down); err != nil {
		return key, err
	}
	current, _ := f.machine.Store.AdminState(server)
	f.log.Info("by hand", "server", server, "out", down, "call", callIDs(current), "replaces", callIDs(former))
	f.machine.Broadcast(key)
	f.admin.notifyDue = true
	return key, nil
}

// callIDs returns the IDs of the standing calls on a server, separated by commas.
func callIDs(state replication.AdminState) string {
	var ids []string
	for _, call := range state.Standing {
		ids = append(ids, call.Dot.String())
	}
	return strings.Join(ids, ",")
}

// KnowsServer reports whether the replicated state has an operator's call on a server.
func (f *Fleet) KnowsServer(ctx context.Context, server string) (known bool, err error) {
	err = f.call(ctx, func(replication.Now) { _, known = f.machine.Store.AdminState(server) })
	return known, err
}

// notifyAdminDown calls OnAdminDown if it is due or the set of administratively down servers has changed.
func (f *Fleet) notifyAdminDown() {
	down := f.machine.Store.AdminDown()
	if !f.admin.notifyDue && slices.Equal(down, f.admin.down) {
		return
	}
	f.admin.down = down
	f.admin.notifyDue = false
	f.callbacks.OnAdminDown(slices.Clone(down))
}

// endPendingConfirms ends all waits for a confirmation. If a later process has taken the name, it has received all
// calls and counts as their only recipient.
func (f *Fleet) endPendingConfirms() {
	_, ownsName := f.machine.Members.Self()
	for key, pending := range f.admin.pendingConfirms {
		for _, confirmed := range pending {
			if !ownsName {
				confirmed <- gossip.Confirmation{Key: key, Recipients: 1}
			}
			close(confirmed)
		}
		delete(f.admin.pendingConfirms, key)
	}
}
