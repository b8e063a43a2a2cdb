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

// adminState is the loop's state of operators' calls, beyond what is replicated.
type adminState struct {
	// pendingConfirms are the calls that wait until others hold their item. Each channel has capacity for one.
	pendingConfirms map[replication.Key][]chan gossip.Confirmation
	down            []string // what OnAdminDown got last
	notifyDue       bool     // OnAdminDown is due even if this has not changed
}

// resolve passes a confirmation to those that wait for it.
func (s *adminState) resolve(confirmation gossip.Confirmation) {
	for _, confirmed := range s.pendingConfirms[confirmation.Key] {
		confirmed <- confirmation
	}
	delete(s.pendingConfirms, confirmation.Key)
}

// SetAdminDown records an operator's call that takes a server administratively down, or up again. With confirm it waits
// for other members to hold the call. It returns how many do by then, and how many were asked; 0: there is no other.
func (f *Fleet) SetAdminDown(ctx context.Context, server string, down, confirm bool) (holders, asked int, err error) {
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

// recordCall writes an operator's call to the replicated state, and broadcasts it.
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

// callIDs lists the standing calls on a server.
func callIDs(state replication.AdminState) string {
	var ids []string
	for _, call := range state.Standing {
		ids = append(ids, call.Dot.String())
	}
	return strings.Join(ids, ",")
}

// KnowsServer tells whether an operator has ever made a call on a server.
func (f *Fleet) KnowsServer(ctx context.Context, server string) (known bool, err error) {
	err = f.call(ctx, func(replication.Now) { _, known = f.machine.Store.AdminState(server) })
	return known, err
}

// notifyAdminDown calls OnAdminDown where the administratively down servers have changed.
func (f *Fleet) notifyAdminDown() {
	down := f.machine.Store.AdminDown()
	if !f.admin.notifyDue && slices.Equal(down, f.admin.down) {
		return
	}
	f.admin.down = down
	f.admin.notifyDue = false
	f.callbacks.OnAdminDown(slices.Clone(down))
}

// endPendingConfirms ends all waits for a confirmation. Where a later process has taken the name, it has been given all
// calls and counts as their one holder to be asked.
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
