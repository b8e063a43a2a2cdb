package deploy

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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

// fleetProgram is the command line of a sidecar with a part in a fleet.
const fleetProgram = "exec bin/fleetsidecar"

// TestNoFleetNamed: without the variable neither program has a socket or a figure for the fleet. The one in service does not
// even have its code, nor that of its libraries, and says so where the variable is set.
func TestNoFleetNamed(t *testing.T) {
	for _, program := range []string{read(t).Run, fleetProgram} {
		s := newSite(t, 64, quick)
		s.program = program
		p := s.start()
		if n := p.sockets("udp"); n != 0 {
			t.Errorf("%s: %d UDP sockets, want none", program, n)
		}
		if n := p.sockets("tcp"); n != 2 {
			t.Errorf("%s: %d listening sockets, want those for clients and staff", program, n)
		}
		if status, _ := p.ask("GET", "/ops/fleet", ""); status != 404 {
			t.Errorf("%s: status %d for a fleet that is not named", program, status)
		}
		if _, text := p.ask("GET", "/ops/stats", ""); strings.Contains(text, "fleet") {
			t.Errorf("%s: figures of a fleet that is not named: %s", program, text)
		}
		kB, _, files := p.holds()
		t.Logf("%s without a fleet: %d kB, %d descriptors", program, kB, files)
		p.stop()
		if strings.Contains(p.log.String(), "part=fleet") {
			t.Errorf("%s: log of a fleet that is not named: %s", program, p.log.String())
		}
	}
	s := newSite(t, 64, quick)
	s.env = []string{"MILLETRAMP_FLEET=fleet.toml"}
	p := s.run(s.program)
	if err := <-p.ended; err == nil || !strings.Contains(p.log.String(), "fleetsidecar") {
		t.Errorf("one that cannot have a part in the named fleet: %v, %s", err, p.log.String())
	}
}

// TestNode: the deploy file's node names the packages of the house that the program in service is made of, beside the module, and
// no others. None is the fleet's, and but for the system's own and pgregory's no library is linked in.
func TestNode(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", "./cmd/sidecar")
	list.Dir = root
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	const house = "milletramp.example/milletramp/"
	used := map[string]bool{}
	for _, path := range strings.Fields(string(out)) {
		name, own := strings.CutPrefix(path, house)
		switch {
		case strings.HasPrefix(name, "internal/fleet") || strings.HasPrefix(name, "internal/fleetadapter"):
			t.Errorf("%s is linked into the program in service", path)
		case own && name != "balance":
			used[name] = true
		}
	}
	for _, name := range read(t).Node {
		if !used[name] {
			t.Errorf("node names %s, which the program in service does not have", name)
		}
		delete(used, name)
	}
	for name := range used {
		t.Errorf("node does not name %s", name)
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
		s.program = fleetProgram
		s.env = []string{"MILLETRAMP_FLEET=" + file, "MILLETRAMP_FLEET_ADDRESS=" + peers[i], fmt.Sprint("PROXY_NAME=n", i)}
		sites = append(sites, s)
		processes = append(processes, s.run(s.program))
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
	p[0].await(func() bool { return p[0].status().NumPresent == 3 })
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
		if st := p[i].status(); st.NumPresent != 3 || len(st.Servers) != 1 || st.Servers[0].AdminDown || !st.OwnsName {
			t.Errorf("sidecar %d holds %+v", i, st)
		}
	}
	for i, s := range sites {
		p[i].stop()
		s.nothingWrong()
	}
}

var (
	programs = flag.String("idle.programs", "", "command lines, by commas, whose idle memory TestIdleMemory compares")
	starts   = flag.Int("idle.starts", 7, "starts of each")
)

// TestIdleMemory starts programs in turn and prints the median of what each holds when it is ready and has nothing to do.
func TestIdleMemory(t *testing.T) {
	if *programs == "" {
		t.Skip("no programs are named by -idle.programs")
	}
	lines := strings.Split(*programs, ",")
	held := make([][]int, len(lines))
	s := newSite(t, 64, quick)
	for range *starts {
		for i, line := range lines {
			s.program = line
			p := s.start()
			kB, _, _ := p.holds()
			held[i] = append(held[i], kB)
			p.stop()
		}
	}
	for i, line := range lines {
		slices.Sort(held[i])
		t.Logf("%s: median %d kB of %v", line, held[i][len(held[i])/2], held[i])
	}
}

// TestTwins has a fourth sidecar come under the name of the first, by mistake: the younger one speaks for the name, the older one
// says to its staff that it does not, and no yes of it is lost on the fleet. Restarted under a name of its own it is one of
// the fleet again.
func TestTwins(t *testing.T) {
	sites, p := newFleet(t, 3)
	p[0].await(func() bool { return p[0].status().NumPresent == 3 })
	twin := newSite(t, 64, quick)
	twin.program = fleetProgram
	twin.env = slices.Clone(sites[0].env)
	for i, v := range twin.env {
		if strings.HasPrefix(v, "MILLETRAMP_FLEET_ADDRESS=") {
			twin.env[i] = "MILLETRAMP_FLEET_ADDRESS=" + freeAddress(t)
		}
	}
	second := twin.start()
	p[0].await(func() bool { return !p[0].status().OwnsName })
	if status, text := p[0].ask("POST", "/ops/servers/down", `{"target":"s-0"}`); status != 503 || !strings.Contains(text, "bears its name") {
		t.Errorf("the older one answers %d, %q", status, text)
	}
	if status, text := second.ask("POST", "/ops/servers/down", `{"target":"s-1"}`); status != 200 || !strings.Contains(text, "2 other sidecars hold it") {
		t.Errorf("the younger one answers %d, %q", status, text)
	}
	for _, one := range p[1:] {
		one.await(func() bool { return one.figure("skipped_servers") == 1 })
	}
	p[0].stop()
	sites[0].env[2] = "PROXY_NAME=n9"
	again := sites[0].start()
	again.await(func() bool {
		s := again.status()
		return s.OwnsName && s.NumPresent == 4 && again.figure("skipped_servers") == 1
	})
	for _, one := range []*process{p[1], p[2], second, again} {
		one.stop()
	}
	for _, s := range append(sites, twin) {
		s.nothingWrong()
	}
}
