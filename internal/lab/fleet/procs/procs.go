// Package procs plays a fault plan with processes of the real sidecar, a relay for each directed pair of them, stand-in nodes,
// discovery and clients, and records what the referee needs. Everything is on loopback and ends with the play.
package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/plan"
	"milletramp.example/milletramp/internal/lab/fleet/referee"
	"milletramp.example/milletramp/internal/standin/mesh"
)

// Options say how a plan is played.
type Options struct {
	Command         []string      // command of a sidecar
	Dir             string        // for files
	SettleTime      time.Duration // behind the last fault, until copies must be equal
	PollInterval    time.Duration // between two looks at a sidecar; usual: 200 ms
	RequestInterval time.Duration // between two requests of a sidecar's client; usual: 25 ms
	Log             io.Writer     // of the sidecars; nil: nowhere
	PersistState    bool          // each sidecar has a folder for its next life
	// Policy has the fleet have one, decided by the first three sidecars, and changed as the plan says and once more in the end.
	WithPolicy bool
	// Rubbish has somebody who is none of the fleet send what is none of its messages, to each sidecar and all the time.
	SendGarbage func(address string, until context.Context)
}

const (
	defaultPollInterval    = 200 * time.Millisecond
	defaultRequestInterval = 25 * time.Millisecond
	startTimeout           = 30 * time.Second
	operatorRetries        = 3               // of the staff, where it is told that the fleet may not know
	adminTimeout           = 5 * time.Second // the staff has an answer; that it is owed in 1 s is tested where nothing else runs
	requestTimeout         = 5 * time.Second // an answer of a sidecar that lives
	responseTime           = 15 * time.Millisecond
	recoveryTime           = 3 * time.Second // after which a sidecar that was cut off, or stood still, is one of the fleet again
	readyTimeout           = 6 * time.Second // a next process is ready, as the platform has it
	shutdownTimeout        = 4 * time.Second // a former process ends: the longest deadline, and 0.7 s
	finalPollTimeout       = 10 * time.Second
	propagationTime        = 3 * time.Second // after which a call has reached all where nothing is amiss
)

// fleetRun is a play in hand.
type fleetRun struct {
	plan       plan.Plan
	options    Options
	mesh       *mesh.Mesh
	begun      time.Time
	sidecars   []*sidecar
	webServers []*http.Server

	mu            sync.Mutex
	policyHistory PolicyHistory
	record        referee.Record
	firstShown    map[string]map[incarnation]time.Duration // by call and life: first shown
	failures      []string                                 // of the play itself
}

// sidecar is one sidecar over its lives.
type sidecar struct {
	run            *fleetRun
	index          int
	name           string
	dir            string
	listenAddress  string
	adminAddresses [2]string // of the processes that take turns in upgrades
	configFile     string

	mu                sync.Mutex
	current           *process        // nil: killed
	next              *process        // that is about to take its place; nil: there is none
	slot              int             // of the current one: which console, and which place in the mesh, are its
	incarnation       uint64          // a process and its successor in an upgrade are one
	incarnationStarts []time.Duration // of its lives
	reader            sync.WaitGroup
}

// process is one process of a sidecar.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// Run plays a plan.
func Run(ctx context.Context, p plan.Plan, set Options) (referee.Record, error) {
	r, _, err := runPlan(ctx, p, set)
	return r, err
}

// RunWithPolicy plays a plan of a fleet with a policy, and returns also what was seen of that.
func RunWithPolicy(ctx context.Context, p plan.Plan, set Options) (referee.Record, PolicyHistory, error) {
	set.WithPolicy = true
	return runPlan(ctx, p, set)
}

func runPlan(ctx context.Context, p plan.Plan, set Options) (r referee.Record, seen PolicyHistory, err error) {
	if set.PollInterval == 0 {
		set.PollInterval = defaultPollInterval
	}
	if set.RequestInterval == 0 {
		set.RequestInterval = defaultRequestInterval
	}
	play := &fleetRun{plan: p, options: set, firstShown: map[string]map[incarnation]time.Duration{}}
	play.begun = time.Now()
	if play.mesh, err = mesh.New(2*p.Sidecars, p.Seed, play.linkConditions); err != nil {
		return r, seen, err
	}
	defer func() { err = errors.Join(err, play.mesh.Close()) }()
	defer play.stopAll()
	if err := play.startAll(); err != nil {
		return r, seen, err
	}
	play.mu.Lock()
	play.begun = time.Now() // the plan's time begins when all are there
	play.record = referee.Record{}
	play.mu.Unlock()
	end := max(p.End(), p.Length) + set.SettleTime
	inner, stop := context.WithDeadline(ctx, play.begun.Add(end))
	defer stop()
	var all sync.WaitGroup
	for _, s := range play.sidecars {
		all.Add(2)
		go func() { defer all.Done(); s.sendRequests(inner) }()
		go func() { defer all.Done(); s.pollStatus(inner) }()
		if set.WithPolicy {
			all.Add(1)
			go func() { defer all.Done(); s.sendPolicyRequests(inner) }()
		}
		if set.SendGarbage != nil {
			all.Add(1)
			go func() { defer all.Done(); set.SendGarbage(play.mesh.Inside(s.index), inner) }()
		}
	}
	if set.WithPolicy {
		all.Add(1)
		go func() { defer all.Done(); play.proposeChanges(inner) }()
	}
	play.runScript(inner)
	all.Wait()
	if err := ctx.Err(); err != nil {
		return r, seen, context.Cause(ctx)
	}
	play.mu.Lock()
	defer play.mu.Unlock()
	for _, s := range play.sidecars {
		play.record.Sidecars = append(play.record.Sidecars, s.name)
	}
	play.mu.Unlock()
	play.awaitConvergence()
	play.mu.Lock()
	if len(play.failures) > 0 {
		return r, seen, errors.New(strings.Join(play.failures, "\n"))
	}
	r = play.record
	r.Calm, r.Within, r.Every = end-set.SettleTime, set.SettleTime, 4*set.PollInterval
	sort.SliceStable(r.Shows, func(i, j int) bool { return r.Shows[i].At < r.Shows[j].At })
	sort.SliceStable(r.Acks, func(i, j int) bool { return r.Acks[i].At < r.Acks[j].At })
	r.Could, r.Silent, r.Apart = play.couldKnowSince, play.silences(), play.isolatedBetween
	return r, play.policyHistory, nil
}

// awaitConvergence has each sidecar show what it holds in the end, again for some time where that is not the same. Danger: on a busy
// machine servers are late, and what sidecars write of them is on its way at any one moment.
func (p *fleetRun) awaitConvergence() {
	for end := time.Now().Add(finalPollTimeout); ; time.Sleep(p.options.PollInterval) {
		sums := map[string]bool{}
		for _, s := range p.sidecars {
			sums[s.observe()] = true
		}
		if len(sums) == 1 || time.Now().After(end) {
			return
		}
	}
}

// now is the plan's time.
func (p *fleetRun) now() time.Duration { return time.Since(p.begun) }

func (p *fleetRun) linkConditions(from, to int) mesh.Conditions {
	p.mu.Lock()
	begun := p.begun
	p.mu.Unlock()
	l := p.plan.Link(time.Since(begun), from%p.plan.Sidecars, to%p.plan.Sidecars)
	return mesh.Conditions{Cut: l.Cut, Drop: l.Drop, Duplicate: l.Duplicate, Delay: l.Delay, Rate: l.Rate}
}

// couldKnowSince tells when the process that a sidecar had at a time could have known of a call: when it showed it, or some time after the
// call where nothing was amiss.
func (p *fleetRun) couldKnowSince(a referee.Ack, name string, at time.Duration) (time.Duration, bool) {
	life, begun := p.incarnationAt(name, at)
	if at, ok := p.firstShown[a.ID][incarnation{name, life}]; ok {
		return at, true
	}
	if begun > a.At {
		return 0, false
	}
	for _, f := range p.plan.Faults {
		if f.Kind != plan.Clock && f.At < a.At+propagationTime && f.At+f.For+propagationTime > a.At {
			return 0, false
		}
	}
	return a.At + propagationTime, true
}

// incarnation is a life of a sidecar.
type incarnation struct {
	sidecar string
	number  uint64
}

// incarnationAt is the life that a sidecar had last at a time, and when it began.
func (p *fleetRun) incarnationAt(name string, at time.Duration) (life uint64, begun time.Duration) {
	for _, s := range p.sidecars {
		if s.name != name {
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, from := range s.incarnationStarts {
			if from <= at {
				life, begun = uint64(i+1), from
			}
		}
	}
	return life, begun
}

// recordFailure notes a fault of the play itself, or of a sidecar's ordinary rules.
func (p *fleetRun) recordFailure(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failures) < 10 {
		p.failures = append(p.failures, fmt.Sprintf("%.2f s: ", time.Since(p.begun).Seconds())+fmt.Sprintf(format, args...))
	}
}

func serverName(i int) string { return fmt.Sprint("s-", i) }

// startAll starts nodes, discovery and sidecars.
func (p *fleetRun) startAll() error {
	const spare = 2 // servers that the staff leaves alone
	var entries []string
	for i := range p.plan.Servers + spare {
		address, err := p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serveBackend(w, r, i) }))
		if err != nil {
			return err
		}
		entries = append(entries, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","state":"SERVING","capacity_hint":1}`, serverName(i), address))
	}
	list := fmt.Sprintf(`{"rev":1,"all":true,"targets":[%s]}`, strings.Join(entries, ","))
	discovery, err := p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			fmt.Fprintln(w, list)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			}
		}
	}))
	if err != nil {
		return err
	}
	var peers []string
	for i := range p.plan.Sidecars {
		peers = append(peers, p.mesh.Outside(i))
	}
	text, err := json.Marshal(peers) // a TOML array too
	if err != nil {
		return err
	}
	named := filepath.Join(p.options.Dir, "fleet.toml")
	file := fmt.Sprintf("label = \"lab\"\npeers = %s\n", text)
	if p.options.PersistState {
		file += fmt.Sprintf("folder = %q\n", p.options.Dir)
	}
	if p.options.WithPolicy {
		if err := os.WriteFile(filepath.Join(p.options.Dir, "policy.json"), policyDocument(0), 0o600); err != nil {
			return err
		}
		file += fmt.Sprintf("[policy]\ndeciders = [\"n0\", \"n1\", \"n2\"]\nfirst = \"policy.json\"\nfolder = %q\npromise_ms = %d\n", p.options.Dir, leaseLength.Milliseconds())
	}
	if err := os.WriteFile(named, []byte(file), 0o600); err != nil {
		return err
	}
	for i := range p.plan.Sidecars {
		s := &sidecar{run: p, index: i, name: fmt.Sprint("n", i), dir: filepath.Join(p.options.Dir, fmt.Sprint("n", i))}
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			return err
		}
		for _, a := range []*string{&s.listenAddress, &s.adminAddresses[0], &s.adminAddresses[1]} {
			if *a, err = freeAddress(p.mesh.Beside(i)); err != nil {
				return err
			}
		}
		s.configFile = filepath.Join(s.dir, "config.json")
		config := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",
			"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":%s,
			"settings":{"ordinal":%d,"peers_total":%d,"my_zone":"a","areas":["a"],"models":["m"],"discovery":"pushed",
			"limits":{"try_limit":2,"cancelling":true},"rules":{"cold_s":0.5,"start_capacity":0.5,"fall_multiple":4,"fall_s":2},
			"request_classes":[{"name":"read","effect":"idempotent","aim_s":0.5,"deadline_s":2}]}}`,
			s.name, s.listenAddress, discovery, p.plan.Seed+uint64(i), list, i, p.plan.Sidecars)
		if err := os.WriteFile(s.configFile, []byte(config), 0o600); err != nil {
			return err
		}
		p.sidecars = append(p.sidecars, s)
	}
	for _, s := range p.sidecars {
		if err := s.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		var missing []string
		for _, s := range p.sidecars {
			status, ok := s.fleetStatus()
			ready, why := s.callAdmin(http.MethodGet, "/ops/readiness", "", adminTimeout)
			if !ok || status.MembersHere != p.plan.Sidecars || ready != http.StatusOK {
				missing = append(missing, fmt.Sprintf("%s: answers %v, %s, %d members, readiness %d %s", s.name, ok, status.Phase, status.MembersHere, ready, strings.TrimSpace(why)))
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(end) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return fmt.Errorf("the fleet never found itself:\n%s", strings.Join(append(missing, p.failures...), "\n"))
		}
	}
}

// serve has a handler answer on loopback until the play's end.
func (p *fleetRun) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	web := &http.Server{Handler: h}
	p.webServers = append(p.webServers, web)
	go func() { _ = web.Serve(l) }() // until close
	return l.Addr().String(), nil
}

func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (p *fleetRun) stopAll() {
	for _, s := range p.sidecars {
		s.kill()
	}
	for _, w := range p.webServers {
		_ = w.Close()
	}
}

// serveBackend answers a request, which names its sidecar.
func (p *fleetRun) serveBackend(w http.ResponseWriter, r *http.Request, i int) {
	name, _, _ := strings.Cut(r.Header.Get("X-Request-ID"), "-")
	p.mu.Lock()
	p.record.Sends = append(p.record.Sends, referee.Send{At: time.Since(p.begun), Sidecar: name, Server: serverName(i)})
	p.mu.Unlock()
	mute, late := p.plan.Server(p.now(), i)
	select {
	case <-time.After(responseTime + late):
	case <-r.Context().Done():
		p.recordEnd(name, i, false)
		return
	}
	for mute { // not even that it ends
		select {
		case <-time.After(responseTime):
			mute, _ = p.plan.Server(p.now(), i)
		case <-r.Context().Done():
			return
		}
		if !mute {
			panic(http.ErrAbortHandler)
		}
	}
	p.recordEnd(name, i, true)
	fmt.Fprint(w, "ok")
}

// recordEnd notes what became of a request at a server.
func (p *fleetRun) recordEnd(sidecar string, server int, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Ends = append(p.record.Ends, referee.End{At: time.Since(p.begun), Sidecar: sidecar, Server: serverName(server), Answered: answered})
}

// isolatedBetween tells whether the plan has a sidecar cut off, killed or standing still between two times, or little getting through.
func (p *fleetRun) isolatedBetween(name string, from, to time.Duration) bool {
	return slices.ContainsFunc(p.plan.Faults, func(f plan.Fault) bool {
		i := slices.IndexFunc(p.sidecars, func(s *sidecar) bool { return s.name == name })
		hits := f.Kind == plan.Cut || f.Kind == plan.Kill || f.Kind == plan.Stop || f.Kind == plan.Narrow || f.Kind == plan.Drop && f.Amount > 0.4
		return hits && from < f.At+f.For+recoveryTime && to > f.At && (slices.Contains(f.From, i) || slices.Contains(f.To, i) && f.Kind != plan.Cut)
	})
}

// silences are the spans of the plan in which servers say nothing.
func (p *fleetRun) silences() (all []referee.Silence) {
	for _, f := range p.plan.Faults {
		if f.Kind == plan.Mute {
			for _, i := range f.From {
				all = append(all, referee.Silence{Server: serverName(i), From: f.At, To: f.At + f.For})
			}
		}
	}
	return all
}

// runScript carries out faults and calls, each at its time.
func (p *fleetRun) runScript(ctx context.Context) {
	type event struct {
		at time.Duration
		do func()
	}
	var list []event
	for _, f := range p.plan.Faults {
		if f.Kind != plan.Kill && f.Kind != plan.Stop && f.Kind != plan.Upgrade {
			continue // links, clocks and servers are asked for when they are needed
		}
		for _, i := range f.From {
			s := p.sidecars[i]
			switch f.Kind {
			case plan.Kill:
				list = append(list, event{f.At, s.kill}, event{f.At + f.For, func() {
					if err := s.start(); err != nil {
						p.recordFailure("%s does not start again: %v", s.name, err)
					}
				}})
			case plan.Upgrade:
				list = append(list, event{f.At, s.upgrade})
			case plan.Stop:
				list = append(list, event{f.At, func() { s.suspend(true) }}, event{f.At + f.For, func() { s.suspend(false) }})
			}
		}
	}
	for _, c := range p.plan.Calls {
		list = append(list, event{c.At, func() { p.sidecars[c.Sidecar].setAdminDown(serverName(c.Server), c.Out) }})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, e := range list {
		select {
		case <-time.After(e.at - p.now()):
		case <-ctx.Done():
			return
		}
		calls.Add(1)
		go func() { defer calls.Done(); e.do() }()
	}
	<-ctx.Done()
}

// expectedDown tells whether the plan has the process killed or standing still about a time.
func (s *sidecar) expectedDown(from, to time.Duration) bool {
	return slices.ContainsFunc(s.run.plan.Faults, func(f plan.Fault) bool {
		return (f.Kind == plan.Kill || f.Kind == plan.Stop) && slices.Contains(f.From, s.index) && from < f.At+f.For+startTimeout/10 && to > f.At
	})
}

// start starts a life. A plan whose kills overlap starts it behind the last.
func (s *sidecar) start() (err error) {
	now := s.run.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	again := slices.ContainsFunc(s.run.plan.Faults, func(f plan.Fault) bool {
		return f.Kind == plan.Kill && slices.Contains(f.From, s.index) && now >= f.At && now < f.At+f.For-10*time.Millisecond
	})
	if s.current != nil || again && s.incarnation > 0 {
		return nil
	}
	s.incarnation++
	if s.incarnationStarts = append(s.incarnationStarts, now); s.incarnation == 1 {
		s.incarnationStarts[0] = 0 // before the plan's time
	}
	s.current, err = s.launch(s.slot)
	return err
}

// upgrade has another process take this one's place, as a platform does: it has some time to say yes, and then the first one is
// told to end.
func (s *sidecar) upgrade() {
	s.mu.Lock()
	former, turn := s.current, 1-s.slot
	if former == nil || s.next != nil {
		s.mu.Unlock()
		return
	}
	next, err := s.launch(turn)
	s.next = next
	s.mu.Unlock()
	if err != nil {
		s.run.recordFailure("%s: its next process: %v", s.name, err)
		return
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		if status, _ := callAdmin(s.adminAddresses[turn], http.MethodGet, "/ops/readiness", "", adminTimeout); status == http.StatusOK {
			break
		}
		switch late := time.Now().After(end); {
		case late && s.run.options.WithPolicy: // it may have to wait for deciders: the upgrade is off, and the former process goes on
			s.mu.Lock()
			s.next = nil
			s.mu.Unlock()
			_ = next.cmd.Process.Kill()
			<-next.ended
			return
		case late:
			s.run.recordFailure("%s: its next process is not ready after %v", s.name, readyTimeout)
		}
		if time.Now().After(end) {
			break
		}
	}
	s.mu.Lock()
	if s.next == nil { // killed
		s.mu.Unlock()
		return
	}
	s.current, s.next, s.slot = next, nil, turn
	s.mu.Unlock()
	_ = former.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-former.ended:
	case <-time.After(shutdownTimeout):
		s.run.recordFailure("%s: its former process does not end within %v", s.name, shutdownTimeout)
		_ = former.cmd.Process.Kill()
		<-former.ended
	}
}

// launch starts a process. The lock is held.
func (s *sidecar) launch(turn int) (*process, error) {
	cmd := exec.Command(s.run.options.Command[0], s.run.options.Command[1:]...)
	slot := s.index + turn*s.run.plan.Sidecars
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+s.configFile, "PROXY_CONSOLE="+s.adminAddresses[turn], "TMPDIR="+s.dir, "MILLETRAMP_FLEET="+filepath.Join(s.run.options.Dir, "fleet.toml"),
		"MILLETRAMP_FLEET_ADDRESS="+s.run.mesh.Inside(slot), "MILLETRAMP_FLEET_ADVERTISE="+s.run.mesh.Outside(slot),
		fmt.Sprintf("MILLETRAMP_FLEET_CLOCK_S=%g", s.clockOffset()))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no sidecar outlives the play
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	made, life := &process{cmd, make(chan struct{})}, s.incarnation
	started := make(chan error, 1)
	s.reader.Add(1)
	go func() {
		defer s.reader.Done()
		runtime.LockOSThread() // the signal above is sent when the thread ends that started the process
		defer runtime.UnlockOSThread()
		defer close(made.ended)
		if err := cmd.Start(); err != nil {
			started <- err
			return
		}
		started <- nil
		s.readLog(out)
		err := cmd.Wait()
		s.mu.Lock()
		early := s.current == made || s.next == made
		s.mu.Unlock()
		if early {
			s.run.recordFailure("%s ended by itself in life %d: %v", s.name, life, err)
		}
	}()
	return made, <-started
}

// clockOffset is by how much the plan has the sidecar's clock off, in seconds, at any time.
func (s *sidecar) clockOffset() (seconds float64) {
	for _, f := range s.run.plan.Faults {
		if f.Kind == plan.Clock && slices.Contains(f.From, s.index) {
			seconds += f.Amount
		}
	}
	return seconds
}

// operatorCallLine is the line with which a sidecar says that it took a call.
var operatorCallLine = regexp.MustCompile(`msg="by hand".* server=(\S+) out=(\S+) call=(\S+) replaces=(\S*)`)

// readLog reads the sidecar's log. What it says of calls is matched with the yes that follows.
func (s *sidecar) readLog(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line := lines.Text()
		if s.run.options.Log != nil {
			fmt.Fprintf(s.run.options.Log, "%7.2f %s %s\n", s.run.now().Seconds(), s.name, line)
		}
		if m := operatorCallLine.FindStringSubmatch(line); m != nil {
			a := referee.Ack{Server: m[1], Out: m[2] == "true", ID: m[1] + "/" + m[3]} // a life counts its calls for each server apart
			if knew := strings.Trim(m[4], `"`); knew != "" {
				for _, id := range strings.Split(knew, ",") {
					a.Knew = append(a.Knew, m[1]+"/"+id)
				}
			}
			s.run.recordOperatorCall(a)
		}
	}
}

// recordOperatorCall notes a call that a sidecar took. It counts as acknowledged from here on: what it takes the place of is gone, whether
// the yes arrives or not.
func (p *fleetRun) recordOperatorCall(a referee.Ack) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.At = time.Since(p.begun)
	p.record.Acks = append(p.record.Acks, a)
}

// kill ends the life at once.
func (s *sidecar) kill() {
	s.mu.Lock()
	all := []*process{s.current, s.next}
	s.current, s.next = nil, nil
	s.mu.Unlock()
	for _, p := range all {
		if p != nil {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	s.run.recordLostCalls()
}

// isRunning tells whether the process runs.
func (s *sidecar) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil
}

// recordLostCalls notes the calls that nobody who lives has shown: they may have gone with who was killed, and then what they took the
// place of may stand or not.
func (p *fleetRun) recordLostCalls() {
	living, lives := map[string]bool{}, map[string]uint64{}
	for _, s := range p.sidecars {
		living[s.name] = s.isRunning()
		lives[s.name], _ = p.incarnationAt(s.name, p.now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.record.Lost == nil {
		p.record.Lost = map[string]bool{}
	}
	for _, a := range p.record.Acks {
		held := false
		for by := range p.firstShown[a.ID] {
			held = held || living[by.sidecar] && by.number == lives[by.sidecar]
		}
		if !held {
			p.record.Lost[a.ID] = true
			for _, id := range a.Knew {
				p.record.Lost[id] = true
			}
		}
	}
}

// suspend has the process stand still, or go on.
func (s *sidecar) suspend(still bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	signal := syscall.SIGCONT
	if still {
		signal = syscall.SIGSTOP
	}
	_ = s.current.cmd.Process.Signal(signal)
}

// callAdmin makes a call at the sidecar's console.
func (s *sidecar) callAdmin(method, path, body string, within time.Duration) (status int, text string) {
	s.mu.Lock()
	console := s.adminAddresses[s.slot]
	s.mu.Unlock()
	return callAdmin(console, method, path, body, within)
}

// callAdmin makes a call at a console.
func callAdmin(console, method, path, body string, within time.Duration) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+console+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(all)
}

// setAdminDown is the staff's.
func (s *sidecar) setAdminDown(server string, out bool) {
	path := map[bool]string{true: "/ops/servers/down", false: "/ops/servers/up"}[out]
	at := s.run.now()
	s.mu.Lock()
	turn := s.slot
	s.mu.Unlock()
	status, text := s.callAdmin(http.MethodPost, path, fmt.Sprintf(`{"target":%q}`, server), adminTimeout)
	s.mu.Lock()
	replaced := s.slot != turn
	s.mu.Unlock()
	if status == 0 && replaced { // the former process went with its console: the staff calls at the next one
		status, text = s.callAdmin(http.MethodPost, path, fmt.Sprintf(`{"target":%q}`, server), adminTimeout)
	}
	// A sidecar that cannot say whether others know of it says so, and the staff calls again (docs/fleet.md).
	for range operatorRetries {
		if status != http.StatusServiceUnavailable || !strings.Contains(text, "it holds here, and the fleet may not know") {
			break
		}
		status, text = s.callAdmin(http.MethodPost, path, fmt.Sprintf(`{"target":%q}`, server), adminTimeout)
	}
	if status != 200 && !s.expectedDown(at-adminTimeout, s.run.now()) {
		s.run.recordFailure("%s answers a call on %s with %d %q", s.name, server, status, text)
	}
}

// fleetStatus is what a sidecar's console shows of the fleet: what the referee needs of it, and no type of the sidecar's.
type fleetStatus struct {
	Phase       string            `json:"phase"`
	MembersHere int               `json:"members_here"`
	Sums        map[string]string `json:"sums"`
	Servers     []struct {
		ID    string `json:"id"`
		Out   bool   `json:"out"`
		Calls []struct {
			ID  string `json:"id"`
			Out bool   `json:"out"`
		} `json:"calls"`
	} `json:"by_hand"`
	Suspicions []struct {
		ID     string  `json:"id"`
		Doubt  bool    `json:"in_doubt"`
		For    float64 `json:"for_s"`
		Listed bool    `json:"listed"`
	} `json:"in_doubt"`
}

func (s *sidecar) fleetStatus() (st fleetStatus, ok bool) {
	status, text := s.callAdmin(http.MethodGet, "/ops/fleet", "", adminTimeout)
	if status != 200 {
		return st, false
	}
	return st, json.Unmarshal([]byte(text), &st) == nil
}

func (s *sidecar) pollStatus(ctx context.Context) {
	every := time.NewTicker(s.run.options.PollInterval)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			s.observe()
		case <-ctx.Done():
			return
		}
	}
}

// observe puts on record what the sidecar shows, and returns the sum of its copy; "": it shows nothing.
func (s *sidecar) observe() (sum string) {
	s.mu.Lock()
	life, alive := s.incarnation, s.current != nil
	s.mu.Unlock()
	if !alive {
		return ""
	}
	st, ok := s.fleetStatus()
	at := s.run.now() // a process that stood still shows what it holds when it goes on
	s.mu.Lock()
	same := s.incarnation == life && s.current != nil
	s.mu.Unlock()
	if !ok || !same {
		return ""
	}
	show := referee.Show{At: at, Sidecar: s.name, Life: life, Ready: st.Phase == "whole" || st.Phase == "fresh", Calls: map[string][]referee.Standing{}, Doubts: map[string]time.Duration{}}
	kinds := make([]string, 0, len(st.Sums))
	for kind, sum := range st.Sums {
		kinds = append(kinds, kind+" "+sum)
	}
	slices.Sort(kinds)
	show.Sum = strings.Join(kinds, ", ")
	for _, d := range st.Suspicions {
		if d.Doubt && d.Listed {
			show.Doubts[d.ID] = time.Duration(d.For * float64(time.Second))
		}
	}
	p := s.run
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range st.Servers {
		if server.Out {
			show.Out = append(show.Out, server.ID)
		}
		for _, c := range server.Calls {
			id := server.ID + "/" + c.ID
			show.Calls[server.ID] = append(show.Calls[server.ID], referee.Standing{ID: id, Out: c.Out})
			if p.firstShown[id] == nil {
				p.firstShown[id] = map[incarnation]time.Duration{}
			}
			if _, ok := p.firstShown[id][incarnation{s.name, life}]; !ok {
				p.firstShown[id][incarnation{s.name, life}] = at
			}
		}
	}
	p.record.Shows = append(p.record.Shows, show)
	return show.Sum
}

// requestCounter numbers requests, of all plays.
var requestCounter atomic.Int64

// sendRequests ask one request after another; each must have its answer where the process lives.
func (s *sidecar) sendRequests(ctx context.Context) {
	web := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
	defer web.CloseIdleConnections()
	every := time.NewTicker(s.run.options.RequestInterval)
	defer every.Stop()
	for {
		select {
		case <-every.C:
		case <-ctx.Done():
			return
		}
		at := s.run.now()
		r, err := http.NewRequest(http.MethodGet, "http://"+s.listenAddress+"/api", nil)
		if err != nil {
			s.run.recordFailure("%v", err)
			return
		}
		r.Header.Set("X-Request-ID", fmt.Sprintf("%s-%d", s.name, requestCounter.Add(1)))
		r.Header.Set("X-Priority-Class", "read")
		r.Header.Set("X-Timeout-Ms", "1000")
		resp, err := web.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil && !s.expectedDown(at-requestTimeout, s.run.now()) {
			s.run.recordFailure("%s has no answer for its client: %v", s.name, err)
		}
	}
}
