package processes

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
	"milletramp.example/milletramp/internal/lab/testrun"
)

var (
	plansFlag     = flag.Int("fleet.plans", 4, "number of plans that TestDrawnPlans draws")
	firstSeedFlag = flag.Uint64("fleet.seed", 1, "seed of the first drawn plan; each further plan has the next seed")
	sidecarsFlag  = flag.Int("fleet.sidecars", 8, "number of sidecars in each drawn plan")
	logsFlag      = flag.String("fleet.logs", "", "folder for the sidecars' logs")
	formerFlag    = flag.String("fleet.former", "", "path of an earlier build of fleetsidecar, run by every second process")
)

// settleTime is as in the simulated fleet, without the time for evidence to expire.
const settleTime = 25 * time.Second

var sidecarCommand []string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "processes")
	if err == nil {
		sidecarCommand = []string{filepath.Join(dir, "fleetsidecar")}
		var out []byte
		if out, err = exec.Command("go", "build", "-o", sidecarCommand[0], "../../../../cmd/fleetsidecar").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w\n%s", err, out)
		}
	}
	if err == nil && *formerFlag != "" {
		sidecarCommand, err = alternatingCommand(dir, *formerFlag, sidecarCommand[0])
	}
	release := func() {}
	if err == nil {
		release, err = testrun.Exclusive()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	release()
	_ = os.RemoveAll(dir) // an error is ignored: the folder is temporary
	os.Exit(status)
}

// alternatingCommand returns a command that runs two programs in turn. It creates a file per start to count the starts.
func alternatingCommand(dir, first, second string) (command []string, err error) {
	count, script := filepath.Join(dir, "starts"), filepath.Join(dir, "alternating")
	if err := os.Mkdir(count, 0o700); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`#!/bin/sh
mktemp %[1]q/XXXXXXXX >/dev/null
starts=$(ls %[1]q | wc -l)
if [ $((starts %% 2)) = 1 ]; then
	exec %[2]q
fi
exec %[3]q
`, count, first, second)
	return []string{script}, os.WriteFile(script, []byte(text), 0o700)
}

func runTestPlan(t *testing.T, p faultplan.Plan) checker.Record {
	return runTestPlanWith(t, p, Options{})
}

func runTestPlanWith(t *testing.T, p faultplan.Plan, set Options) checker.Record {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), p.End()+p.Length+settleTime+time.Minute)
	defer cancel()
	set.Command, set.Dir = sidecarCommand, t.TempDir()
	if set.SettleTime == 0 {
		set.SettleTime = settleTime
	}
	if *logsFlag != "" {
		f, err := os.Create(filepath.Join(*logsFlag, fmt.Sprintf("%d.log", p.Seed)))
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		set.Log = f
	}
	r, err := Run(ctx, p, set)
	if err != nil {
		t.Fatalf("%v\nplan:\n%v", err, p)
	}
	return r
}

// TestDrawnPlans runs randomly drawn plans against processes. A failure prints the seed and the plan.
func TestDrawnPlans(t *testing.T) {
	runDrawnPlans(t, *plansFlag, func(seed uint64) faultplan.Plan { return faultplan.Draw(seed, *sidecarsFlag, 12*time.Second) })
}

// TestServersFallSilent runs plans in which servers stop responding or are slow while messages between sidecars are lost, late and duplicated.
func TestServersFallSilent(t *testing.T) {
	runDrawnPlans(t, max(1, *plansFlag/4), func(seed uint64) faultplan.Plan { return faultplan.DrawServers(seed, *sidecarsFlag, 16*time.Second) })
}

// TestUpgrades runs plans in which sidecars are upgraded, some while they are isolated. It guards against the loss of an operator's call
// that a sidecar accepted shortly before its upgrade.
func TestUpgrades(t *testing.T) {
	runDrawnPlans(t, max(1, *plansFlag/4), func(seed uint64) faultplan.Plan { return faultplan.DrawUpgrades(seed, *sidecarsFlag, 16*time.Second) })
}

func runDrawnPlans(t *testing.T, plans int, draw func(seed uint64) faultplan.Plan) {
	t.Parallel()
	for i := range plans {
		seed := *firstSeedFlag + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := draw(seed)
			r := runTestPlan(t, p)
			for _, b := range checker.Check(r) {
				t.Errorf("%v", b)
			}
			if t.Failed() {
				t.Logf("plan:\n%v", p)
			}
			if len(r.Snapshots) < *sidecarsFlag || len(r.Attempts) == 0 {
				t.Errorf("%d snapshots and %d attempts recorded", len(r.Snapshots), len(r.Attempts))
			}
		})
	}
}

// runSmallFleet runs a plan with the given options, checks the record and returns the last snapshot of each sidecar.
func runSmallFleet(t *testing.T, p faultplan.Plan, set Options) map[string]checker.Snapshot {
	t.Parallel()
	set.SettleTime = 10 * time.Second
	r := runTestPlanWith(t, p, set)
	for _, b := range checker.Check(r) {
		t.Errorf("%v", b)
	}
	last := map[string]checker.Snapshot{}
	for _, s := range r.Snapshots {
		last[s.Sidecar] = s
	}
	if len(last) != p.Sidecars {
		t.Errorf("%d sidecars have a snapshot, want %d", len(last), p.Sidecars)
	}
	return last
}

// TestAllKilledWithFolders kills all sidecars at once. It guards against the loss of operators' calls when every sidecar stores its state.
func TestAllKilledWithFolders(t *testing.T) {
	all := []int{0, 1, 2, 3}
	last := runSmallFleet(t, faultplan.Plan{Seed: 7, Sidecars: 4, Servers: 2, Length: 8 * time.Second,
		Calls:  []faultplan.Call{{At: time.Second, Sidecar: 1, Server: 0, Down: true}, {At: 2 * time.Second, Sidecar: 2, Server: 1, Down: true}, {At: 3 * time.Second, Sidecar: 0, Server: 1}},
		Faults: []faultplan.Fault{{Kind: faultplan.Kill, At: 6 * time.Second, Duration: time.Second, From: all}}}, Options{PersistState: true})
	for name, s := range last {
		if !slices.Equal(s.AdminDown, []string{serverName(0)}) {
			t.Errorf("%s has %v administratively down", name, s.AdminDown)
		}
	}
}

// TestRubbish sends invalid packets to all sidecars, and 10 MB of random bytes over TCP, while servers are set administratively down
// and up and one stops responding. It guards against a sidecar that accepts such data or is delayed by it.
func TestRubbish(t *testing.T) {
	sendGarbage := func(ctx context.Context, address string) {
		rng := rand.New(rand.NewPCG(1, 2))
		bytes := make([]byte, 1<<20)
		for i := range bytes {
			bytes[i] = byte(rng.Uint32())
		}
		udp, err := net.Dial("udp4", address)
		if err != nil {
			t.Error(err)
			return
		}
		defer udp.Close()
		foreign, err := gossip.Packet{Format: gossip.Format, Label: "another", From: membership.Member{Name: "n0", Address: address}}.Encode()
		if err != nil {
			t.Error(err)
			return
		}
		newer, err := gossip.Packet{Format: gossip.Format + 1, Label: "lab", From: membership.Member{Name: "n0", Address: address}}.Encode()
		if err != nil {
			t.Error(err)
			return
		}
		for ctx.Err() == nil {
			for _, text := range [][]byte{foreign, newer, bytes[:1], bytes[:rng.IntN(1200)], bytes[:9000], {0x9b, 0, 0, 0, 0, 0, 1, 0x86, 0xa0}} {
				_, _ = udp.Write(text) // delivery is not required
			}
			if tcp, err := net.DialTimeout("tcp4", address, time.Second); err == nil {
				_ = tcp.SetDeadline(time.Now().Add(time.Second))
				for range 10 {
					if _, err := tcp.Write(bytes); err != nil {
						break
					}
				}
				_ = tcp.Close()
			}
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
	last := runSmallFleet(t, faultplan.Plan{Seed: 8, Sidecars: 4, Servers: 8, Length: 12 * time.Second,
		Calls:  []faultplan.Call{{At: time.Second, Sidecar: 1, Server: 0, Down: true}, {At: 2 * time.Second, Sidecar: 2, Server: 1, Down: true}, {At: 4 * time.Second, Sidecar: 0, Server: 1}},
		Faults: []faultplan.Fault{{Kind: faultplan.Unresponsive, At: 5 * time.Second, Duration: 7 * time.Second, From: []int{4}}}}, Options{SendGarbage: sendGarbage})
	for name, s := range last {
		if !slices.Equal(s.AdminDown, []string{serverName(0)}) {
			t.Errorf("%s has %v administratively down", name, s.AdminDown)
		}
	}
}
