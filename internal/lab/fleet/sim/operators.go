package sim

import (
	"fmt"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// serverName returns the name of the server with the given index in the plan.
func serverName(index int) string { return fmt.Sprintf("s-%d", index) }

// callID returns the identifier of an operator call. Each incarnation numbers its calls separately for each server.
func callID(server string, call replication.OperatorCall) string {
	return server + "/" + call.Dot.String()
}

// setAdminDown makes an operator call that sets a server administratively down or up at this sidecar, and records the
// call if the sidecar acknowledges it.
func (s *Sidecar) setAdminDown(server string, down bool) {
	s.execute(func() {
		known := []string{}
		for _, call := range s.standingCalls(server) {
			known = append(known, call.ID)
		}
		key, err := s.Machine.Store.RecordCall(s.Clock(), server, down)
		if err != nil {
			return // rejected by the sidecar
		}
		s.Machine.Broadcast(key)
		s.recordAck(server, down, known)
		s.recordDeliveries()
	})
}

// recordAck records the acknowledgement of the call just made.
func (s *Sidecar) recordAck(server string, down bool, known []string) {
	state, _ := s.Machine.Store.AdminState(server)
	call := state.Standing[0]
	id := callID(server, call)
	f := s.fleet
	f.callDots[id] = call.Dot
	ack := checker.OperatorCall{At: f.Now(), Server: server, ID: id, Down: down, KnownCalls: known}
	f.Record.OperatorCalls = append(f.Record.OperatorCalls, ack)
}

// standingCalls returns the calls on a server that are in force at this sidecar.
func (s *Sidecar) standingCalls(server string) (calls []checker.ActiveCall) {
	state, _ := s.Machine.Store.AdminState(server)
	for _, call := range state.Standing {
		calls = append(calls, checker.ActiveCall{ID: callID(server, call), Down: call.Down})
	}
	return calls
}

// hasCall reports whether the sidecar has received a call.
func (s *Sidecar) hasCall(server string, dot replication.Dot) bool {
	if s.Machine == nil {
		return false
	}
	state, _ := s.Machine.Store.AdminState(server)
	return slices.ContainsFunc(state.Seen, func(seen replication.Dot) bool {
		return seen.Nonce == dot.Nonce && seen.Count >= dot.Count
	})
}

// recordDeliveries records the first deliveries of calls in force at this sidecar.
func (s *Sidecar) recordDeliveries() {
	for i := range s.fleet.Plan.Servers {
		for _, call := range s.standingCalls(serverName(i)) {
			s.fleet.recordDelivery(call.ID, s.Name)
		}
	}
}

// recordDelivery records the first delivery of a call to a sidecar.
func (f *Fleet) recordDelivery(id, sidecar string) {
	if f.deliveredAt[id] == nil {
		f.deliveredAt[id] = map[string]time.Duration{}
	}
	if _, delivered := f.deliveredAt[id][sidecar]; !delivered {
		f.deliveredAt[id][sidecar] = f.Now()
	}
}

// recordLostCalls records the acknowledged calls that no sidecar's current process has received.
func (f *Fleet) recordLostCalls() {
	for _, ack := range f.Record.OperatorCalls {
		dot := f.callDots[ack.ID]
		hasCall := func(s *Sidecar) bool { return s.hasCall(ack.Server, dot) }
		if !slices.ContainsFunc(f.Sidecars, hasCall) {
			f.Record.LostCalls[ack.ID] = true
		}
	}
}

// DeliveredAt returns when a call first reached each sidecar, by the sidecar's name.
func (f *Fleet) DeliveredAt(id string) map[string]time.Duration { return f.deliveredAt[id] }
