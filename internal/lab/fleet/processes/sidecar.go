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
	// processesPerSidecar is how many processes a sidecar has during an upgrade. Each has a slot: an admin server's
	// address and a place in the mesh.
	processesPerSidecar = 2
	// restartGrace is how long after a kill or a stop a sidecar may still give no response.
	restartGrace = startTimeout / 10
	// killOverlap is by how much a start may come before the end of its kill.
	killOverlap = 10 * time.Millisecond
)

// sidecar is one sidecar of the fleet over all its incarnations.
type sidecar struct {
	run            *fleetRun
	index          int
	name           string
	dir            string
	listenAddress  string
	adminAddresses [processesPerSidecar]string // by slot
	configFile     string

	mu                sync.Mutex
	current           *process // nil: killed
	next              *process // about to replace the current one; nil: there is none
	slot              int      // of the current process
	incarnationNumber uint64
	incarnationStarts []time.Duration
}

// newSidecar returns a sidecar with a folder and addresses of its own. It is not started.
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

// freeAddress returns an address at which nothing listens now.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// start starts an incarnation. Where kills overlap in the plan, only the end of the last one does.
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
		now = 0 // it starts before the plan's time
	}
	s.incarnationStarts = append(s.incarnationStarts, now)
	s.current, err = s.launch(s.slot)
	return err
}

// kill ends the incarnation at once, with both processes during an upgrade.
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

// recordLostCalls notes which operators' calls no running sidecar holds.
func (r *fleetRun) recordLostCalls() {
	running := map[incarnation]bool{}
	for _, s := range r.sidecars {
		isRunning := s.isRunning()
		current, _ := s.incarnationAt(r.clock.now())
		running[current] = isRunning
	}
	r.recorder.addLostCalls(running)
}

// suspend stops the process, as a virtual machine that is moved does.
func (s *sidecar) suspend() { s.signal(syscall.SIGSTOP) }

// resume continues a suspended process.
func (s *sidecar) resume() { s.signal(syscall.SIGCONT) }

// signal sends a signal to the current process, if it runs.
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

// currentIncarnation is the last incarnation, and whether it runs.
func (s *sidecar) currentIncarnation() (last incarnation, running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return incarnation{sidecar: s.name, number: s.incarnationNumber}, s.current != nil
}

// incarnationAt is the last incarnation that had started at a time, and when that was.
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

// expectedDown says whether the plan has the sidecar killed or suspended at any time between two.
func (s *sidecar) expectedDown(from, to time.Duration) bool {
	return slices.ContainsFunc(s.run.plan.Faults, func(f faultplan.Fault) bool {
		stops := f.Kind == faultplan.Kill || f.Kind == faultplan.Suspend
		overlaps := from < f.At+f.Duration+restartGrace && to > f.At
		return stops && overlaps && slices.Contains(f.From, s.index)
	})
}

// clockOffset is by how many seconds the plan has the sidecar's clock off, at any time.
func (s *sidecar) clockOffset() (seconds float64) {
	for _, f := range s.run.plan.Faults {
		if f.Kind == faultplan.Clock && slices.Contains(f.From, s.index) {
			seconds += f.Amount
		}
	}
	return seconds
}
