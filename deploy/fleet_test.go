package deploy

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet"
)

// TestFleetFile reads the file as it is, as a sidecar does.
func TestFleetFile(t *testing.T) {
	if _, err := fleet.ReadConfig("fleet.toml"); err != nil {
		t.Error(err)
	}
}

// sockets lists a process's sockets, as the system names them, that a table of the system has.
func (p *process) sockets(table string) (n int) {
	p.site.t.Helper()
	text, err := os.ReadFile("/proc/net/" + table)
	if err != nil {
		p.site.t.Fatal(err)
	}
	inodes := map[string]bool{}
	for _, line := range strings.Split(string(text), "\n")[1:] {
		if fields := strings.Fields(line); len(fields) > 9 && (table == "udp" || fields[3] == "0A") { // listening
			inodes["socket:["+fields[9]+"]"] = true
		}
	}
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		p.site.t.Fatal(err)
	}
	for _, f := range files {
		if to, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && inodes[to] {
			n++
		}
	}
	return n
}

// TestNoFleetNamed: without the variable the program has no socket for the fleet, and the adapter, which takes the
// same decisions, does not even have its code.
func TestNoFleetNamed(t *testing.T) {
	s := newSite(t, 64, quick)
	p := s.start()
	if n := p.sockets("udp"); n != 0 {
		t.Errorf("%d UDP sockets, want none", n)
	}
	if n := p.sockets("tcp"); n != 2 {
		t.Errorf("%d listening sockets, want those for clients and staff", n)
	}
	if status, _ := p.ask("GET", "/ops/fleet", ""); status != 404 {
		t.Errorf("status %d for a fleet that is not named", status)
	}
	if _, text := p.ask("GET", "/ops/stats", ""); strings.Contains(text, "fleet") {
		t.Errorf("figures of a fleet that is not named: %s", text)
	}
	kB, _, files := p.holds()
	t.Logf("without a fleet: %d kB, %d descriptors", kB, files)
	p.stop()
	if strings.Contains(p.log.String(), "part=fleet") {
		t.Errorf("log of a fleet that is not named: %s", p.log.String())
	}
	deps := exec.Command("go", "list", "-deps", "./cmd/adapter", "./balance")
	deps.Dir = root
	if out, err := deps.CombinedOutput(); err != nil || strings.Contains(string(out), "internal/fleet") {
		t.Errorf("the decisions depend on the fleet: %v\n%s", err, out)
	}
}

// newFleet starts n sidecars of one fleet, each with a site of its own whose servers have the same ids.
func newFleet(t *testing.T, n int) (sites []*site, processes []*process) {
	t.Helper()
	var peers []string
	for range n {
		peers = append(peers, freeAddress(t))
	}
	text, err := json.Marshal(peers) // a TOML array too
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf("label = \"test\"\npeers = %s\n", text)), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		s := newSite(t, 64, quick)
		s.env = []string{"MILLETRAMP_FLEET=" + file, "MILLETRAMP_FLEET_ADDRESS=" + peers[i], fmt.Sprint("PROXY_NAME=n", i)}
		sites = append(sites, s)
		processes = append(processes, s.run(read(t).Run))
	}
	for _, p := range processes {
		p.await(func() bool { return p.call("GET", "/ops/readiness", "") == 200 })
	}
	return sites, processes
}

// status reads what a process holds of its fleet.
func (p *process) status() (s fleet.Status) {
	p.site.t.Helper()
	code, text := p.ask("GET", "/ops/fleet", "")
	if err := json.Unmarshal([]byte(text), &s); err != nil || code != 200 {
		p.site.t.Fatalf("status %d, %q: %v", code, text, err)
	}
	return s
}

// TestFleetObeys takes a server out at one console of three sidecars: from 1 s after the yes nothing goes to it from any.
// One of them is killed meanwhile and comes back, another is upgraded: neither forgets. Put back at a third console it is
// used by all again.
func TestFleetObeys(t *testing.T) {
	sites, p := newFleet(t, 3)
	p[0].await(func() bool { return p[0].status().Here == 3 })
	var stops []func()
	for _, s := range sites {
		stops = append(stops, s.load(4))
	}
	status, text := p[0].ask("POST", "/ops/servers/down", `{"target":"s-1"}`)
	if status != 200 || !strings.Contains(text, "2 other sidecars hold it") {
		t.Errorf("down: status %d, %q", status, text)
	}
	time.Sleep(time.Second) // which all have
	for _, s := range sites {
		s.servers[1].barred.Store(true)
	}
	time.Sleep(300 * time.Millisecond) // of load that must keep to it
	// The second is killed, with its load, and comes back.
	stops[1]()
	if err := p[1].cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-p[1].ended
	p[1] = sites[1].start()
	stops[1] = sites[1].load(4)
	// The third is replaced.
	next := sites[2].start()
	p[2].stop()
	p[2] = next
	time.Sleep(300 * time.Millisecond)
	for i, one := range p {
		if n := one.figure("skipped_servers"); n != 1 {
			t.Errorf("sidecar %d skips %d servers, want 1", i, n)
		}
	}
	for _, s := range sites {
		s.servers[1].barred.Store(false)
	}
	if status, text := p[2].ask("POST", "/ops/servers/up", `{"target":"s-1"}`); status != 200 {
		t.Errorf("up: status %d, %q", status, text)
	}
	for i, s := range sites {
		before := s.servers[1].tries.Load()
		p[i].await(func() bool { return s.servers[1].tries.Load() > before })
	}
	for _, stop := range stops {
		stop()
	}
	for i := range sites {
		kB, peak, files := p[i].holds()
		t.Logf("sidecar %d of three under load: %d kB, at most %d, %d descriptors", i, kB, peak, files)
		if st := p[i].status(); st.Here != 3 || len(st.Servers) != 1 || st.Servers[0].Out || !st.Bears {
			t.Errorf("sidecar %d holds %+v", i, st)
		}
	}
	for i, s := range sites {
		p[i].stop()
		s.nothingWrong()
	}
}
