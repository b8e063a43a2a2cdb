package procs

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/plan"
	"milletramp.example/milletramp/internal/lab/fleet/referee"
)

var (
	plans    = flag.Int("fleet.plans", 4, "plans that TestDrawnPlans draws")
	first    = flag.Uint64("fleet.seed", 1, "the first of their seeds")
	sidecars = flag.Int("fleet.sidecars", 8, "sidecars of each")
	logs     = flag.String("fleet.logs", "", "folder for the sidecars' logs")
)

// settle is as in the simulated play, but that no evidence has to fade.
const settle = 25 * time.Second

var command []string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "procs")
	if err == nil {
		command = []string{filepath.Join(dir, "sidecar")}
		var out []byte
		if out, err = exec.Command("go", "build", "-o", command[0], "../../../../cmd/sidecar").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w\n%s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(dir) // what is left is the system's
	os.Exit(status)
}

func play(t *testing.T, p plan.Plan) referee.Record {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), p.End()+p.Length+settle+time.Minute)
	defer cancel()
	set := Options{Sidecar: command, Dir: t.TempDir(), Settle: settle}
	if *logs != "" {
		f, err := os.Create(filepath.Join(*logs, fmt.Sprintf("%d.log", p.Seed)))
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		set.Log = f
	}
	r, err := Run(ctx, p, set)
	if err != nil {
		t.Fatalf("%v\nin\n%v", err, p)
	}
	return r
}

// TestDrawnPlans plays drawn plans with processes. A failure prints the seed and the plan.
func TestDrawnPlans(t *testing.T) {
	for i := range *plans {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := plan.Draw(seed, *sidecars, 12*time.Second)
			r := play(t, p)
			for _, b := range referee.Judge(r) {
				t.Errorf("%v", b)
			}
			if t.Failed() {
				t.Logf("by\n%v", p)
			}
			if len(r.Shows) < *sidecars || len(r.Sends) == 0 {
				t.Errorf("%d shows and %d sends on record", len(r.Shows), len(r.Sends))
			}
		})
	}
}
