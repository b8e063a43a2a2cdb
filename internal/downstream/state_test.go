package downstream

import (
	"fmt"
	"testing"
)

// stateNames and eventNames are the names of the states and events in the names of test cases.
var (
	stateNames = []string{"new", "idle", "active", "retiring", "lingering", "closed"}
	eventNames = []string{"input", "request read", "handler started", "response sent", "final response", "retire",
		"close"}
)

// TestTransitions checks each event in each state against the table of connState; "-" is an event without an effect.
func TestTransitions(t *testing.T) {
	table := [][]string{ // by event, then by state
		{"new", "idle", "active", "idle", "lingering", "-"},
		{"active", "active", "active", "active", "active", "-"},
		{"active", "active", "active", "retiring", "active", "-"},
		{"-", "-", "idle", "-", "-", "-"},
		{"-", "-", "lingering", "-", "-", "-"},
		{"retiring", "retiring", "active", "-", "closed", "-"},
		{"closed", "closed", "closed", "closed", "closed", "-"},
	}
	for event, row := range table {
		for state, want := range row {
			t.Run(fmt.Sprintf("%s, %s", stateNames[state], eventNames[event]), func(t *testing.T) {
				next, ok := nextState(connState(state), connEvent(event), true)
				switch {
				case want == "-" && (ok || next != connState(state)):
					t.Errorf("changes to %s, want no effect", stateNames[next])
				case want != "-" && (!ok || stateNames[next] != want):
					t.Errorf("changes to %s (%v), want %s", stateNames[next], ok, want)
				}
			})
		}
	}
	if len(transitions) != len(table) {
		t.Errorf("%d events, %d are in the table", len(transitions), len(table))
	}
	if next, ok := nextState(stateRetiring, eventInput, false); !ok || next != stateNew {
		t.Errorf("retiring connection without a request resumes as %s (%v), want new", stateNames[next], ok)
	}
}

// TestEventsWithoutEffectChangeNothing checks that an event without an effect in a state changes neither the state of
// the connection nor the counts of its listener.
func TestEventsWithoutEffectChangeNothing(t *testing.T) {
	for event := eventInput; event <= eventClose; event++ {
		for state := stateNew; state <= stateClosed; state++ {
			if _, ok := nextState(state, event, true); ok {
				continue
			}
			t.Run(fmt.Sprintf("%s, %s", stateNames[state], eventNames[event]), func(t *testing.T) {
				l, c, _ := acceptConn(t, 2)
				defer c.Conn.Close()
				l.mu.Lock()
				defer l.mu.Unlock()
				l.setState(c, state)
				open, retiring, idle := l.openConns, l.retiringConns, l.idleConns.Len()
				if l.apply(c, event) || c.state != state {
					t.Errorf("state is %s after the event", stateNames[c.state])
				}
				if l.openConns != open || l.retiringConns != retiring || l.idleConns.Len() != idle {
					t.Errorf("%d open, %d retiring, %d idle; want %d, %d, %d",
						l.openConns, l.retiringConns, l.idleConns.Len(), open, retiring, idle)
				}
			})
		}
	}
}
