package sim

import (
	"fmt"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

func serverName(i int) string { return fmt.Sprintf("s-%d", i) }

// hasCall tells whether the sidecar has seen a call.
func (s *Sidecar) hasCall(server string, dot replication.Dot) bool {
	if s.Machine == nil {
		return false
	}
	state, _ := s.Machine.Store.AdminState(server)
	return slices.ContainsFunc(state.Seen, func(seen replication.Dot) bool { return seen.Nonce == dot.Nonce && seen.Count >= dot.Count })
}

// setAdminDown is an operator's call: the acknowledgement of the sidecar is recorded.
func (s *Sidecar) setAdminDown(server string, down bool) {
	s.execute(func() {
		known := []string{}
		for _, call := range s.standingCalls(server) {
			known = append(known, call.ID)
		}
		key, err := s.Machine.Store.RecordCall(s.Clock(), server, down)
		if err != nil {
			return // a no
		}
		s.Machine.Broadcast(key)
		state, _ := s.Machine.Store.AdminState(server)
		id := callID(server, state.Standing[0])
		s.fleet.callDots[id] = state.Standing[0].Dot
		s.fleet.Record.OperatorCalls = append(s.fleet.Record.OperatorCalls, checker.OperatorCall{At: s.fleet.now, Server: server, ID: id, Down: down, KnownCalls: known})
		s.recordDeliveries()
	})
}

// callID names a call: a life counts its calls for each server apart.
func callID(server string, call replication.OperatorCall) string {
	return server + "/" + call.Dot.String()
}

func (s *Sidecar) standingCalls(server string) (calls []checker.ActiveCall) {
	state, _ := s.Machine.Store.AdminState(server)
	for _, call := range state.Standing {
		calls = append(calls, checker.ActiveCall{ID: callID(server, call), Down: call.Down})
	}
	return calls
}

// recordDeliveries notes which calls have reached this sidecar.
func (s *Sidecar) recordDeliveries() {
	for i := range s.fleet.Plan.Servers {
		for _, call := range s.standingCalls(serverName(i)) {
			if s.fleet.deliveredAt[call.ID] == nil {
				s.fleet.deliveredAt[call.ID] = map[string]time.Duration{}
			}
			if _, ok := s.fleet.deliveredAt[call.ID][s.Name]; !ok {
				s.fleet.deliveredAt[call.ID][s.Name] = s.fleet.now
			}
		}
	}
}

// DeliveredAt tells when a call reached each sidecar.
func (f *Fleet) DeliveredAt(id string) map[string]time.Duration { return f.deliveredAt[id] }
