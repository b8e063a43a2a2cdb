package processes

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	// processesPerSidecar is the number of processes that a sidecar has during an upgrade. Each has a slot: an admin
	// server address and an index in the mesh.
	processesPerSidecar = 2
	// restartGrace is the time after a kill or suspension during which a sidecar may fail to respond.
	restartGrace = startTimeout / 10
	// killOverlap is how long before the end of a Kill fault the sidecar may be started.
	killOverlap = 10 * time.Millisecond
)

// sidecar is one sidecar of the fleet across all its incarnations.
type sidecar struct {
	run            *fleetRun
	index          int
	name           string
	dir            string
	listenAddress  string
	adminAddresses [processesPerSidecar]string // by slot
	configFile     string

	mu                sync.Mutex
	current           *process // nil if killed
	next              *process // successor during an upgrade, otherwise nil
	slot              int      // of the current process
	incarnationNumber uint64
	incarnationStarts []time.Duration
}

// newSidecar returns a sidecar with its own folder and addresses. It does not start it.
func (r *fleetRun) newSidecar(index int) (*sidecar, error) {
	name := fmt.Sprint("n", index)
	dir := filepath.Join(r.options.Dir, name)
	if err := os.MkdirAll(dir, folderPermissions); err != nil {
		return nil, err
	}
	s := &sidecar{run: r, index: index, name: name, dir: dir, configFile: filepath.Join(dir, configFileName)}
	for _, address := range []*string{&s.listenAddress, &s.adminAddresses[0], &s.adminAddresses[1]} {
		free, err := freeAddress(r.mesh.AuxiliaryIP(index))
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return s, nil
}

// freeAddress returns an address with a port that was free at the time of the call.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start starts an incarnation. It does nothing if the sidecar is running or another kill in the plan is still in
// effect: where kills overlap, only the end of the last one starts the sidecar.
func (s *sidecar) start() (err error) {
	now := s.run.clock.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	killed := slices.ContainsFunc(s.run.plan.Faults, func(f faultplan.Fault) bool {
		lasts := now >= f.At && now < f.At+f.Duration-killOverlap
		return f.Kind == faultplan.Kill && lasts && slices.Contains(f.From, s.index)
	})
	if s.current != nil || killed && s.incarnationNumber > 0 {
		return nil
	}
	s.incarnationNumber++
	if s.incarnationNumber == 1 {
		now = 0 // the first incarnation starts before the plan
	}
	s.incarnationStarts = append(s.incarnationStarts, now)
	s.current, err = s.launch(s.slot)
	return err
}

// kill ends the incarnation immediately, including the second process during an upgrade.
func (s *sidecar) kill() {
	s.mu.Lock()
	processes := []*process{s.current, s.next}
	s.current, s.next = nil, nil
	s.mu.Unlock()
	for _, p := range processes {
		if p != nil {
			p.kill()
		}
	}
	s.run.recordLostCalls()
}

// recordLostCalls records the operators' calls that no running sidecar has shown.
func (r *fleetRun) recordLostCalls() {
	running := map[incarnation]bool{}
	for _, s := range r.sidecars {
		isRunning := s.isRunning()
		current, _ := s.incarnationAt(r.clock.now())
		running[current] = isRunning
	}
	r.recorder.addLostCalls(running)
}

// suspend stops the process, as the live migration of a virtual machine does.
func (s *sidecar) suspend() { s.signal(syscall.SIGSTOP) }

// resume continues a suspended process.
func (s *sidecar) resume() { s.signal(syscall.SIGCONT) }

// signal sends a signal to the current process, if there is one.
func (s *sidecar) signal(signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.signal(signal)
	}
}

func (s *sidecar) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil
}

// currentIncarnation returns the last incarnation and whether it is running.
func (s *sidecar) currentIncarnation() (last incarnation, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return incarnation{sidecar: s.name, number: s.incarnationNumber}, s.current != nil
}

// incarnationAt returns the last incarnation started at or before a given time, and its start time.
func (s *sidecar) incarnationAt(at time.Duration) (last incarnation, started time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last.sidecar = s.name
	for i, start := range s.incarnationStarts {
		if start <= at {
			last.number = uint64(i + 1)
			started = start
		}
	}
	return last, started
}

func (s *sidecar) currentSlot() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slot
}

// expectedDown reports whether a fault in the plan that kills or suspends the sidecar is active between two times, or
// ended less than restartGrace before the first of them.
func (s *sidecar) expectedDown(from, to time.Duration) bool {
	return slices.ContainsFunc(s.run.plan.Faults, func(f faultplan.Fault) bool {
		stops := f.Kind == faultplan.Kill || f.Kind == faultplan.Suspend
		overlaps := from < f.At+f.Duration+restartGrace && to > f.At
		return stops && overlaps && slices.Contains(f.From, s.index)
	})
}

// clockOffset returns the sidecar's clock error in the plan, in seconds. It applies for the complete run.
func (s *sidecar) clockOffset() (seconds float64) {
	for _, f := range s.run.plan.Faults {
		if f.Kind == faultplan.Clock && slices.Contains(f.From, s.index) {
			seconds += f.Amount
		}
	}
	return seconds
}
