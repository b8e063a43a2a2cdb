package loopback_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"

	"milletramp.example/milletramp/internal/lab"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestSockets plays four short days on loopback, with real sidecars. The days run side by side.
func TestSockets(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "sidecar")
	if out, err := exec.Command("go", "build", "-o", bin, "../../../cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	release, err := testrun.Exclusive()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	t.Cleanup(func() { goleak.VerifyNone(t, goleak.IgnoreTopFunction("testing.(*T).Run")) })
	p := lab.Player{Sockets: true, Sidecar: []string{bin}}
	t.Run("days", func(t *testing.T) {
		for _, name := range []string{"short-calm", "short-release", "short-faults", "short-restart"} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				file, err := lab.Find("../../../lab", name)
				if err != nil {
					t.Fatal(err)
				}
				s, err := scenario.Read(file)
				if err != nil {
					t.Fatal(err)
				}
				d, err := p.Play(context.Background(), s, 0)
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("worth in time %.3f, sent %.3f s late at most", d.Figures.InTimePriority, d.MaxSendDelaySeconds)
				if !d.Passed() {
					t.Errorf("breaches %v, missed %v", d.Verdict.Violations, d.Missed)
				}
			})
		}
	})
}
