package processes

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// process is one process of a sidecar.
type process struct {
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended and its log has been read
}

// launch starts a process in a slot. The caller holds s.mu.
func (s *sidecar) launch(slot int) (*process, error) {
	command := exec.Command(s.run.options.Command[0], s.run.options.Command[1:]...)
	command.Env = append(os.Environ(), s.environment(slot)...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no sidecar outlives the run
	log, err := command.StderrPipe()
	if err != nil {
		return nil, err
	}
	p := &process{command: command, exited: make(chan struct{})}
	started := make(chan error, 1)
	go s.supervise(p, s.incarnationNumber, log, started) // returns when the process ends
	return p, <-started
}

func (s *sidecar) environment(slot int) []string {
	meshIndex := s.index + slot*s.run.plan.Sidecars // index of the process in the mesh
	return []string{
		"PROXY_CONFIG=" + s.configFile,
		"PROXY_CONSOLE=" + s.adminAddresses[slot],
		"TMPDIR=" + s.dir,
		"MILLETRAMP_FLEET=" + s.run.fleetFile(),
		"MILLETRAMP_FLEET_ADDRESS=" + s.run.mesh.Inside(meshIndex),
		"MILLETRAMP_FLEET_ADVERTISE=" + s.run.mesh.Outside(meshIndex),
		fmt.Sprintf("MILLETRAMP_FLEET_CLOCK_S=%g", s.clockOffset()),
	}
}

// supervise starts a process, reads its log and waits for its exit. It stays locked to its OS thread because the kernel
// sends Pdeathsig when the thread that started the process ends.
func (s *sidecar) supervise(p *process, number uint64, log io.Reader, started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(p.exited)
	if err := p.command.Start(); err != nil {
		started <- err
		return
	}
	started <- nil
	s.readLog(log)
	err := p.command.Wait()
	if s.isInUse(p) {
		s.run.recorder.addFailure("%s exited unexpectedly in incarnation %d: %v", s.name, number, err)
	}
}

// isInUse reports whether a process is expected to run, because it has been neither killed nor replaced.
func (s *sidecar) isInUse(p *process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current == p || s.next == p
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// waitExit waits for the process to end, up to a timeout, and reports whether it has ended.
func (p *process) waitExit(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
