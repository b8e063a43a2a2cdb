package policyagent

import (
	"encoding/hex"
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// TestEncodedForms requires that calls to voters and the status for the console are encoded to the same bytes as by
// commit af0b01d.
func TestEncodedForms(t *testing.T) {
	state := VoterState{
		Voter: "n0", Leader: "n1", NodeError: "broken", Bootstrapped: true, InForce: 2, Digest: "d",
		Pending:  &policy.Outcome{ID: "b", Author: "y", Number: 3, State: policy.Proposed},
		Outcomes: []policy.Outcome{{ID: "a", Author: "x", Number: 2, State: policy.Refused, Reason: "no"}},
		Waiting:  []string{"n4"}, WaitSeconds: 1.5, Voters: []string{"n0"}, Settled: true, Standbys: []string{"n5"},
		Standby: true,
	}
	for _, tt := range []struct {
		name  string
		value any
		want  string
	}{
		{"request",
			request{[]byte("r"), &policy.LeaseRequest{}, 3, &policy.Proposal{}, "id", true, &replacement{"n0", "n1"}},
			"a701417202a50160020003a20100020004000560030304a401600260030004f60562696406f507a201626e3002626e31"},
		{"response",
			response{"fault", "n1", &policy.LeaseResponse{}, &document{2, []byte("x")}, &policy.Outcome{ID: "a"},
				&state, []string{"n0"}},
			"a701656661756c7402626e3103a701a20100020002000300040005000600070004a2010202417805a562494461616641" +
				"7574686f7260664e756d626572006553746174650066526561736f6e6006ae01626e3002626e31036662726f6b656e04" +
				"f5050206616407a5624944616266417574686f726179664e756d626572036553746174650166526561736f6e600881a5" +
				"624944616166417574686f726178664e756d626572026553746174650566526561736f6e626e6f0981626e340afb3ff8" +
				"0000000000000b81626e300cf50d81626e350ef50781626e30"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text, err := cbor.Marshal(tt.value)
			if got := hex.EncodeToString(text); err != nil || got != tt.want {
				t.Errorf("%s, error %v; want %s", got, err, tt.want)
			}
		})
	}
	t.Run("status", func(t *testing.T) {
		const want = `{"serves_under":2,"without_a_promise":true,"asks":"n0","deciders":[{"decider":"n0",` +
			`"leader":"n1","takes_part_no_more":"broken","founded":true,"in_force":2,"digest":"d",` +
			`"under_way":{"ID":"b","Author":"y","Number":3,"State":1,"Reason":""},"changes":[{"ID":"a",` +
			`"Author":"x","Number":2,"State":5,"Reason":"no"}],"waits_for":["n4"],"waits_s":1.5,` +
			`"deciders":["n0"],"settled":true,"candidates":["n5"],"waits_for_a_place":true}],` +
			`"silent_deciders":["n2"]}`
		got, err := json.Marshal(Status{2, true, "n0", []VoterState{state}, []string{"n2"}})
		if err != nil || string(got) != want {
			t.Errorf("%s, error %v; want %s", got, err, want)
		}
	})
}
