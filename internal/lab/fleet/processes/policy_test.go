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

var changesFlag = flag.Int("fleet.changes", 1, "number of plans with policy changes that TestChanges draws; each plan has four changes")

// policyModel is the sequential specification that the fleet has to be linearizable to: a register that holds one document. A change
// that came into force writes its document at one moment between its proposal and its decision; a request that was served reads its
// document at one moment between its start and its response.
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

// operationsOf converts a history to operations of the model. It omits refused changes. It also omits a change with an
// unknown outcome if no request was served under its document; other changes with an unknown outcome have no end.
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

// TestChanges changes the policy of a fleet of processes during randomly drawn faults. It guards against two policies in force at once:
// the observations of clients and authors have to be linearizable, no two responses may report different final states of a change, and
// after the last fault a change has to come into force at every sidecar.
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
				t.Fatalf("%v\nplan:\n%v", err, p)
			}
			if result := porcupine.CheckOperationsTimeout(policyModel, operationsOf(seen), time.Minute); result != porcupine.Ok {
				t.Errorf("two policies in force at once: linearizability check: %s", result)
			}
			for _, id := range seen.Contradicted {
				t.Errorf("admin servers reported different final states of %s", id)
			}
			last := seen.Proposals[len(seen.Proposals)-1]
			under := map[string]int{}
			for _, d := range seen.Served {
				under[d.Sidecar] = d.Document
			}
			if last.State != "in force" || len(seen.Proposals) != len(p.Changes)+1 {
				t.Errorf("change proposed after the last fault (%d of %d recorded): %+v", len(seen.Proposals), len(p.Changes)+1, last)
			}
			for i := range p.Sidecars {
				if name := fmt.Sprint("n", i); under[name] != last.Document {
					t.Errorf("%s last served under document %d, want %d", name, under[name], last.Document)
				}
			}
			for _, c := range seen.Proposals {
				t.Logf("%s proposed at %.2f s, %s at %.2f s %s", c.ID, c.ProposedAt.Seconds(), c.State, c.DecidedAt.Seconds(), c.Reason)
			}
			t.Logf("%d requests served", len(seen.Served))
			if t.Failed() {
				t.Logf("plan:\n%v", p)
			}
		})
	}
}
