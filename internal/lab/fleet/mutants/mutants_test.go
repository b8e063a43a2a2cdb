// Package mutants introduces faults into the fleet's code one by one and checks that the lab's checker or a package's
// tests detect each of them. A rule that no faulty program breaks is not known to check anything.
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

// mutant is a fault introduced into one file of the program by replacing a piece of its source text.
type mutant struct {
	name, file string
	from, to   string
	rule       string // the rule that the checker must report as violated
	test       string // the package and the test that run the mutant; "": sim TestDrawnPlans
}

var mutants = []mutant{
	{name: "admin-down calls of the fleet not applied", file: "../sidecar/fleet.go", from: "if !wasDown[id] {", to: "if false {",
		rule: "nothing new to a server out by hand", test: "processes TestDrawnPlans"},
	{"evidence rows not recorded for the fleet", "evidence.go",
		"range f.evidence.recorder.DueRows(now.Time, f.machine.Members.NumPresent()) {",
		"range f.evidence.recorder.DueRows(now.Time, f.machine.Members.NumPresent())[:0] {",
		"silent servers known to all", "processes TestServersFallSilent"},
	{"rows whose last bad outcome is always recent", "failuredetector/recorder.go",
		"s.row.SinceBadMS = uint32((now - bad) / time.Millisecond)",
		"s.lastBad, s.row.SinceBadMS = now, uint32((now-max(bad, now))/time.Millisecond)",
		"no doubt that lasts without silence", "processes TestServersFallSilent"},
	{"merge keeps the last received state", "replication/store.go",
		"	merged := mergeAdminStates(former, h)\n", "	merged := h\n", "nothing acknowledged forgotten", ""},
	{"up takes precedence over a concurrent down", "replication/admin.go",
		"return slices.ContainsFunc(s.Standing, func(c OperatorCall) bool { return c.Down })",
		"return len(s.Standing) > 0 && !slices.ContainsFunc(s.Standing, func(c OperatorCall) bool { return !c.Down })",
		"nothing acknowledged forgotten", ""},
	{"only the concurrent call with the latest clock kept", "replication/admin.go", "	addStanding(b, a)\n",
		"	addStanding(b, a)\n" +
			"	slices.SortFunc(out.Standing, func(x, y OperatorCall) int { return y.At.compare(x.At) })\n" +
			"	out.Standing = out.Standing[:min(len(out.Standing), 1)]\n",
		"nothing acknowledged forgotten", ""},
	{"rows of an earlier incarnation accepted", "replication/store.go",
		"	if now.Time-r.writtenAt >= rowLifetime || r.Incarnation.Compare(s.deadIncarnations[r.Owner]) <= 0 {",
		"	if now.Time-r.writtenAt >= rowLifetime {", "nothing resurrected", ""},
	{"versions of other owners' rows changed", "replication/store.go", "		return s.mergeRow(now, r)\n	case KindStart:",
		"		if r.Version++; r.Version%2 == 0 {\n			r.Version++\n		}\n		return s.mergeRow(now, r)\n	case KindStart:",
		"rows written by their owners alone", ""},
	{"administrative state missing from the digest", "replication/digest.go",
		"		add(Key{KindAdmin, server, \"\"}, parts...)\n", "		_, _ = server, parts\n", "nothing acknowledged forgotten", ""},
	{"catch-up skipped", "gossip/machine.go",
		"	if len(settings.Membership.Peers) == 0 && len(m.predecessors) == 0 {\n" +
			"		m.enterPhase(now.Time, Bootstrapped)",
		"	if len(settings.Membership.Peers) >= 0 {\n		m.enterPhase(now.Time, Synced)",
		"ready only with what the fleet holds", ""},
	{"predecessor's snapshot not fetched", "gossip/machine.go",
		"slices.Clone(settings.Predecessors),", "slices.Clone(settings.Predecessors[:0]),",
		"nothing acknowledged forgotten", "sim TestUpgrades"},
	{"missing items not requested", "gossip/antientropy.go",
		"	m.counters.ItemRequests++\n	m.trySend(now.Time, address, Packet{WantMissing: &digest})\n",
		"	m.counters.ItemRequests++\n",
		"copies equal", ""},
}

// TestMain runs the tests in a slot for packages that only compute. The tests build and run other test programs.
func TestMain(m *testing.M) { os.Exit(testrun.Compute(m)) }

// goTest returns a command that runs one test of a package with the number of processors that this process has.
func goTest(packagePath, test string, flags, env []string) *exec.Cmd {
	processors := strconv.Itoa(runtime.GOMAXPROCS(0))
	args := slices.Concat([]string{"test", "-count=1", "-p", processors, "-run", test, packagePath}, flags)
	command := exec.Command("go", args...)
	command.Env = append(env, testrun.Shared, "GOMAXPROCS="+processors)
	return command
}

// overlay writes a copy of a file with a mutant's change, and returns an environment in which the go command builds with
// this copy in place of the file.
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
	mutated := strings.Replace(string(text), from, to, 1)
	if mutated == string(text) {
		t.Fatalf("%s does not contain the source text that this mutant replaces", file)
	}
	replace, err := json.Marshal(map[string]map[string]string{"Replace": {path: filepath.Join(dir, "mutated.go")}})
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"mutated.go": mutated, "overlay.json": string(replace)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return append(os.Environ(), "GOFLAGS=-overlay="+filepath.Join(dir, "overlay.json")) // in GOFLAGS, so that it also applies to programs built by the test
}

// TestMutantsAreFound runs drawn plans on a fleet built with each mutant. The checker must report a violation of the
// mutant's rule.
func TestMutantsAreFound(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			packageName, test, _ := strings.Cut(cmp.Or(m.test, "sim TestDrawnPlans"), " ")
			flags := []string{"-fleet.plans=40", "-fleet.shrink=false"}
			if packageName == "processes" {
				flags = []string{"-fleet.plans=1", "-fleet.sidecars=6"}
			}
			out, err := goTest("../"+packageName, test, flags, overlay(t, m.file, m.from, m.to)).CombinedOutput()
			if err == nil || !strings.Contains(string(out), m.rule+" at ") {
				t.Errorf("the checker did not report a violation of %q: %v\n%.2000s", m.rule, err, out)
			}
		})
	}
}

// policyMutants violate the guarantees on policy changes. Each must be detected by a test of the mutant's package, or of
// the package that is named before the test.
var policyMutants = []struct{ name, file, from, to, test string }{
	{"policy switched before the leases end", "policy/lease_table.go", "t.switchNumber, t.switchAt = p.Number, max(last, now+1)", "t.switchNumber, t.switchAt = p.Number, now+1", "TestOnePolicyAtATime"},
	{"leader does not wait for the leases of earlier leaders", "policy/lease_table.go", "earlierLeasesEnd: now + terms.upperBound(terms.Length)", "earlierLeasesEnd: now", "TestOnePolicyAtATime"},
	{"lease request processed with an older ledger", "policy/lease_table.go", "if l.applied < t.minApplied {", "if false {", "TestOnePolicyAtATime"},
	{"document committed before all holders have checked it", "policy/lease_table.go", "if holder.lastChecked < number {", "if holder.lastChecked > number {", "TestOneRejectionRefusesChange"},
	{"lease counted from the arrival of its response", "policy/holder.go", "h.currentNumber, h.currentExpiry = response.Number, sent+", "h.currentNumber, h.currentExpiry = response.Number, now+", "TestOnePolicyAtATime"},
	{"next policy in force as soon as it is received", "policy/holder.go", "response.Next, now+h.terms.upperBound(response.NextIn)", "response.Next, now", "TestOnePolicyAtATime"},
	{"responses accepted out of order", "policy/holder.go", "if response.Stamp.Compare(h.latest) <= 0 {", "if false {", "TestHolderTakesLatestResponse"},
	{"lease without expiry", "policy/holder.go", "h.currentNumber > 0 && now < h.currentExpiry && h.runnable", "h.currentNumber > 0 && h.runnable", "TestOnePolicyAtATime"},
	{"group bootstrapped by a majority of its voters", "consensus/bootstrap.go", "complete := len(group.Voters) == len(b.configured.Voters)", "complete := len(group.Voters) > len(b.configured.Voters)/2", "TestBootstrappedOnce"},
	{"messages of an earlier voter incarnation accepted", "consensus/envelope.go", "case e.Incarnation < known:", "case false:", "TestEnvelopeVerifier"},
	{"voter with an older copy of its folder not stopped", "consensus/envelope.go", "case e.Incarnations[v.identity.ID] > v.identity.Incarnation:", "case false:", "TestEnvelopeVerifier"},
	{"voter with a truncated log not stopped", "consensus/consensus.go", "msg.Commit > last && m.readyInFlight == nil {", "false && msg.Commit > last && m.readyInFlight == nil {", "TestTruncatedFolder"},
	{"corrupt record treated as torn", "raftlog/record.go", "if allZero(data[size:]) {", "if true {", "TestCorruptionBeforeLastRecordIsDetected"},
	{"log appended to after a failed write", "raftlog/raftlog.go", "l.tailUnknown = true\n\t\treturn wrapFolderError(err)", "return wrapFolderError(err)", "TestFullDiskLosesNoAcknowledgedBatch"},
	{"request admitted without checking the policy in force", "../proxy/policy_gate.go", "return ok && current == number && g.loop.PolicyNumber() == number", "return ok || current+number > 0", "../sidecar TestRequestsAreAdmittedOnlyUnderPolicyInForce"},
	{"configuration file accepted that differs from the policy", "../proxy/reconfigure.go", "if difference := l.gate.difference(c); difference != \"\" {", "if difference := \"\"; difference != \"\" {", "../sidecar TestReloadMustMatchPolicyInForce"},
	{"no snapshot for a new voter", "consensus/voters.go", "m.snapshotDue = true // a new", "m.snapshotDue = false // a new", "raftnode TestReplaceVoter"},
	{"replaced voter not stopped", "consensus/advance.go", "m.stop(ErrReplaced)", "_ = ErrReplaced", "raftnode TestReplaceVoter"},
	{"replacement by a standby that has sent no hello", "raftnode/node.go", "if !known || s.expired(now) {", "if s.id |= 1; !known && false {", "raftnode TestReplaceVoter"},
	{"voter without its state joins the group", "consensus/bootstrap.go", "case h.Voters[b.name] == b.identity.ID:", "case true:", "TestBootstrappedOnce"},
	{"policy refused after its commit", "policy/ledger.go", "e.Refuse.Number == p.Number && p.State == Proposed", "e.Refuse.Number == p.Number", "TestLedger"},
}

// TestPolicyMutantsAreFound checks that each of the policyMutants fails the test that is named with it.
func TestPolicyMutantsAreFound(t *testing.T) {
	for _, m := range policyMutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			packagePath, test, otherPackage := strings.Cut(m.test, " ")
			var flags []string
			if !otherPackage {
				packagePath, test = filepath.Dir(m.file), m.test
				flags = []string{"-rapid.checks=4000", "-rapid.nofailfile", "-rapid.shrinktime=0s"}
			}
			command := goTest("../../../fleet/"+packagePath, test, flags, overlay(t, m.file, m.from, m.to))
			if out, err := command.CombinedOutput(); err == nil || !strings.Contains(string(out), "--- FAIL: "+test) {
				t.Errorf("%s did not detect the mutant: %v\n%.2000s", test, err, out)
			}
		})
	}
}
