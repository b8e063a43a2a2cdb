// Package mutants spoils the fleet's deciders one by one and sees that the checker finds each: a rule that no spoilt
// program breaks shows nothing.
package mutants

import (
	"cmp"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// mutant is a change of one file of the program.
type mutant struct {
	name, file string
	from, to   string
	rule       string // that must be found broken
	play       string // which package's test plays it; "": sim TestDrawnPlans
}

var mutants = []mutant{
	{name: "the fleet's word ignored", file: "../sidecar/fleet.go", from: "if !wasDown[id] {", to: "if false {",
		rule: "nothing new to a server out by hand", play: "processes TestDrawnPlans"},
	{"evidence kept to oneself", "evidence.go",
		"range f.evidence.recorder.DueRows(now.Time, f.machine.Members.NumPresent()) {",
		"range f.evidence.recorder.DueRows(now.Time, f.machine.Members.NumPresent())[:0] {",
		"silent servers known to all", "processes TestServersFallSilent"},
	{"words that stand for good", "failuredetector/recorder.go",
		"s.row.SinceBadMS = uint32((now - bad) / time.Millisecond)",
		"s.lastBad, s.row.SinceBadMS = now, uint32((now-max(bad, now))/time.Millisecond)",
		"no doubt that lasts without silence", "processes TestServersFallSilent"},
	{"merge by arrival", "replication/store.go",
		"	merged := mergeAdminStates(former, h)\n", "	merged := h\n", "nothing acknowledged forgotten", ""},
	{"up wins", "replication/admin.go",
		"return slices.ContainsFunc(s.Standing, func(c OperatorCall) bool { return c.Down })",
		"return len(s.Standing) > 0 && !slices.ContainsFunc(s.Standing, func(c OperatorCall) bool { return !c.Down })",
		"nothing acknowledged forgotten", ""},
	{"the later clock wins", "replication/admin.go", "	addStanding(b, a)\n",
		"	addStanding(b, a)\n" +
			"	slices.SortFunc(out.Standing, func(x, y OperatorCall) int { return y.At.compare(x.At) })\n" +
			"	out.Standing = out.Standing[:min(len(out.Standing), 1)]\n",
		"nothing acknowledged forgotten", ""},
	{"former life believed", "replication/store.go",
		"	if now.Time-r.writtenAt >= rowLifetime || r.Incarnation.Compare(s.deadIncarnations[r.Owner]) <= 0 {",
		"	if now.Time-r.writtenAt >= rowLifetime {", "nothing resurrected", ""},
	{"another's row written", "replication/store.go", "		return s.mergeRow(now, r)\n	case KindStart:",
		"		if r.Version++; r.Version%2 == 0 {\n			r.Version++\n		}\n		return s.mergeRow(now, r)\n	case KindStart:",
		"rows written by their owners alone", ""},
	{"digest that ignores a kind", "replication/digest.go",
		"		add(Key{KindAdmin, server, \"\"}, parts...)\n", "		_, _ = server, parts\n", "nothing acknowledged forgotten", ""},
	{"catch-up skipped", "gossip/machine.go",
		"	if len(settings.Membership.Peers) == 0 && len(m.predecessors) == 0 {\n" +
			"		m.enterPhase(now.Time, Bootstrapped)",
		"	if len(settings.Membership.Peers) >= 0 {\n		m.enterPhase(now.Time, Synced)",
		"ready only with what the fleet holds", ""},
	{"the process that is replaced not asked", "gossip/machine.go",
		"slices.Clone(settings.Predecessors),", "slices.Clone(settings.Predecessors[:0]),",
		"nothing acknowledged forgotten", "sim TestUpgrades"},
	{"nothing asked for again", "gossip/antientropy.go",
		"	m.counters.ItemRequests++\n	m.trySend(now.Time, address, Packet{WantMissing: &digest})\n",
		"	m.counters.ItemRequests++\n",
		"copies equal", ""},
}

// TestMain runs these tests, which build and play programs, in a slot for packages that only compute.
func TestMain(m *testing.M) { os.Exit(testrun.Compute(m)) }

// goTest returns a command that plays one test in the share of the machine that this process has.
func goTest(where, test string, flags, env []string) *exec.Cmd {
	processors := strconv.Itoa(runtime.GOMAXPROCS(0))
	args := slices.Concat([]string{"test", "-count=1", "-p", processors, "-run", test, where}, flags)
	command := exec.Command("go", args...)
	command.Env = append(env, testrun.Shared, "GOMAXPROCS="+processors)
	return command
}

// overlay has the go command build with a mutant in the place of the file that it changes, and returns the environment
// for that.
func overlay(t *testing.T, file, from, to string) []string {
	t.Helper()
	fleet, err := filepath.Abs("../../../fleet")
	if err != nil {
		t.Fatal(err)
	}
	path, dir := filepath.Join(fleet, file), t.TempDir()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	spoilt := strings.Replace(string(text), from, to, 1)
	if spoilt == string(text) {
		t.Fatalf("%s no longer has the lines that this mutant changes", file)
	}
	replace, err := json.Marshal(map[string]map[string]string{"Replace": {path: filepath.Join(dir, "spoilt.go")}})
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"spoilt.go": spoilt, "overlay.json": string(replace)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return append(os.Environ(), "GOFLAGS=-overlay="+filepath.Join(dir, "overlay.json")) // also for what a play builds
}

// TestMutantsAreFound builds the simulated fleet with each mutant in the place of the file it changes, and has it play
// drawn plans: the checker must find the rule broken.
func TestMutantsAreFound(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			where, test, _ := strings.Cut(cmp.Or(m.play, "sim TestDrawnPlans"), " ")
			flags := []string{"-fleet.plans=40", "-fleet.shrink=false"}
			if where == "processes" {
				flags = []string{"-fleet.plans=1", "-fleet.sidecars=6"}
			}
			out, err := goTest("../"+where, test, flags, overlay(t, m.file, m.from, m.to)).CombinedOutput()
			if err == nil || !strings.Contains(string(out), m.rule+" at ") {
				t.Errorf("the checker did not find %q broken: %v\n%.2000s", m.rule, err, out)
			}
		})
	}
}

// policyMutants break the guarantees on a change of policy, each found by a test of its package, or of the one that is
// named before it.
var policyMutants = []struct{ name, file, from, to, found string }{
	{"switch before the leases end", "policy/lease_table.go", "t.switchNumber, t.switchAt = p.Number, max(last, now+1)", "t.switchNumber, t.switchAt = p.Number, now+1", "TestOnePolicyAtATime"},
	{"a leader that does not wait for earlier leaders' leases", "policy/lease_table.go", "earlierLeasesEnd: now + terms.upperBound(terms.Length)", "earlierLeasesEnd: now", "TestOnePolicyAtATime"},
	{"a request confirmed against an older log is answered", "policy/lease_table.go", "if l.applied < t.minApplied {", "if false {", "TestOnePolicyAtATime"},
	{"commit without a complete check", "policy/lease_table.go", "if holder.lastChecked < number {", "if holder.lastChecked > number {", "TestOneRejectionRefusesChange"},
	{"a lease counted from its response", "policy/holder.go", "h.currentNumber, h.currentExpiry = response.Number, sent+", "h.currentNumber, h.currentExpiry = response.Number, now+", "TestOnePolicyAtATime"},
	{"the next policy begun as soon as it is known", "policy/holder.go", "response.Next, now+h.terms.upperBound(response.NextIn)", "response.Next, now", "TestOnePolicyAtATime"},
	{"responses taken out of order", "policy/holder.go", "if response.Stamp.Compare(h.latest) <= 0 {", "if false {", "TestHolderTakesLatestResponse"},
	{"a lease without an expiry", "policy/holder.go", "h.currentNumber > 0 && now < h.currentExpiry && h.runnable", "h.currentNumber > 0 && h.runnable", "TestOnePolicyAtATime"},
	{"a group bootstrapped by a majority", "consensus/bootstrap.go", "complete := len(group.Voters) == len(b.configured.Voters)", "complete := len(group.Voters) > len(b.configured.Voters)/2", "TestBootstrappedOnce"},
	{"an older folder believed", "consensus/envelope.go", "case e.Incarnation < known:", "case false:", "TestEnvelopeVerifier"},
	{"an older folder that believes itself", "consensus/envelope.go", "case e.Incarnations[v.identity.ID] > v.identity.Incarnation:", "case false:", "TestEnvelopeVerifier"},
	{"a cut folder that votes", "consensus/consensus.go", "msg.Commit > last && m.readyInFlight == nil {", "false && msg.Commit > last && m.readyInFlight == nil {", "TestTruncatedFolder"},
	{"a corrupt record passed over", "raftlog/record.go", "if allZero(data[size:]) {", "if true {", "TestCorruptionBeforeLastRecordIsDetected"},
	{"appended to after a failed write", "raftlog/raftlog.go", "l.tailUnknown = true\n\t\treturn wrapFolderError(err)", "return wrapFolderError(err)", "TestFullDiskLosesNoAcknowledgedBatch"},
	{"a request held against nothing when it is taken", "../proxy/policy_gate.go", "return ok && current == number && g.loop.PolicyNumber() == number", "return ok || current+number > 0", "../sidecar TestRequestsAreAdmittedOnlyUnderPolicyInForce"},
	{"a file taken beside the policy", "../proxy/reconfigure.go", "if difference := l.gate.difference(c); difference != \"\" {", "if difference := \"\"; difference != \"\" {", "../sidecar TestReloadMustMatchPolicyInForce"},
	{"a place taken with nothing to begin from", "consensus/voters.go", "m.snapshotDue = true // a new", "m.snapshotDue = false // a new", "raftnode TestReplaceVoter"},
	{"who was replaced goes on", "consensus/advance.go", "m.stop(ErrReplaced)", "_ = ErrReplaced", "raftnode TestReplaceVoter"},
	{"a place given to who was never heard of", "raftnode/node.go", "if !known || s.expired(now) {", "if s.id |= 1; !known && false {", "raftnode TestReplaceVoter"},
	{"a decider without memory that votes", "consensus/bootstrap.go", "case h.Voters[b.name] == b.identity.ID:", "case true:", "TestBootstrappedOnce"},
	{"refused after it was committed", "policy/ledger.go", "e.Refuse.Number == p.Number && p.State == Proposed", "e.Refuse.Number == p.Number", "TestLedger"},
}

// TestPolicyMutantsAreFound has the tests of the policy's guarantees find each.
func TestPolicyMutantsAreFound(t *testing.T) {
	for _, m := range policyMutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			where, found, elsewhere := strings.Cut(m.found, " ")
			var flags []string
			if !elsewhere {
				where, found = filepath.Dir(m.file), m.found
				flags = []string{"-rapid.checks=4000", "-rapid.nofailfile", "-rapid.shrinktime=0s"}
			}
			test := goTest("../../../fleet/"+where, found, flags, overlay(t, m.file, m.from, m.to))
			if out, err := test.CombinedOutput(); err == nil || !strings.Contains(string(out), "--- FAIL: "+found) {
				t.Errorf("%s did not find it: %v\n%.2000s", found, err, out)
			}
		})
	}
}
