package processes

import (
	"context"
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
	"milletramp.example/milletramp/internal/lab/testrun"
)

var changesFlag = flag.Int("fleet.changes", 1, "plans of changes of policy that TestChanges draws; each has four")

// policyModel is what the fleet is to be for its authors and clients: one place that holds a document. A change that is in force has put
// its document there at one moment between its asking and its end; a request that was served found its document there at one moment
// between its sending and its answer.
var policyModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		switch in := input.(type) {
		case Proposal:
			return true, in.Document
		case ServedRequest:
			return state.(int) == in.Document, state
		}
		return false, state
	},
	Equal:             func(a, b any) bool { return a.(int) == b.(int) },
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// operationsOf is what was seen, for the model: refused changes are none, and of those whose author does not know what became of them
// the ones that somebody was served under.
func operationsOf(p PolicyHistory) (operations []porcupine.Operation) {
	served := map[int]bool{}
	clients := map[string]int{}
	for _, d := range p.Served {
		served[d.Document] = true
		if _, known := clients[d.Sidecar]; !known {
			clients[d.Sidecar] = len(clients) + 1
		}
		operations = append(operations, porcupine.Operation{ClientId: clients[d.Sidecar], Input: d, Call: int64(d.Sent), Return: int64(d.Answered)})
	}
	for _, c := range p.Proposals {
		end := int64(c.DecidedAt)
		switch {
		case c.State == "refused" || c.State != "in force" && !served[c.Document]:
			continue
		case c.State != "in force":
			end = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: 0, Input: c, Call: int64(c.ProposedAt), Return: end})
	}
	return operations
}

// TestChanges changes the policy of processes under drawn faults: what clients and authors see is as if there were one place that holds
// the policy, no answer is contradicted, and once the faults are over a change is in force everywhere.
func TestChanges(t *testing.T) {
	t.Parallel()
	for i := range *changesFlag {
		seed := *firstSeedFlag + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := faultplan.DrawChanges(seed, 7, 15*time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			_, seen, err := RunWithPolicy(ctx, p, Options{Command: sidecarCommand, Dir: testrun.MemoryDir(t), SettleTime: 28 * time.Second})
			if err != nil {
				t.Fatalf("%v\nin\n%v", err, p)
			}
			if result := porcupine.CheckOperationsTimeout(policyModel, operationsOf(seen), time.Minute); result != porcupine.Ok {
				t.Errorf("two policies at once: the history is %s", result)
			}
			for _, id := range seen.Contradicted {
				t.Errorf("answers on %s contradict each other", id)
			}
			last := seen.Proposals[len(seen.Proposals)-1]
			under := map[string]int{}
			for _, d := range seen.Served {
				under[d.Sidecar] = d.Document
			}
			if last.State != "in force" || len(seen.Proposals) != len(p.Changes)+1 {
				t.Errorf("when the faults are over: %+v", last)
			}
			for i := range p.Sidecars {
				if name := fmt.Sprint("n", i); under[name] != last.Document {
					t.Errorf("%s last served under document %d, want %d", name, under[name], last.Document)
				}
			}
			for _, c := range seen.Proposals {
				t.Logf("%s asked at %.2f s, %s at %.2f s %s", c.ID, c.ProposedAt.Seconds(), c.State, c.DecidedAt.Seconds(), c.Reason)
			}
			t.Logf("%d requests served", len(seen.Served))
			if t.Failed() {
				t.Logf("by\n%v", p)
			}
		})
	}
}
