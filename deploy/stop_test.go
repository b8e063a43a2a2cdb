package deploy

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// signal sends the process a signal.
func (p *process) signal(s os.Signal) {
	p.site.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.site.t.Fatal(err)
	}
}

// ask makes one request on a connection of its own. An answer other than 200 is an error.
func (s *site) ask(id string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+s.listen+"/api", nil)
	if err != nil {
		return err
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Priority-Class", "read")
	r.Header.Set("X-Timeout-Ms", "15000")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// moveDiscovery writes another address of discovery into the processes' file.
func (s *site) moveDiscovery(address string) {
	s.t.Helper()
	text, err := os.ReadFile(s.file)
	if err != nil {
		s.t.Fatal(err)
	}
	moved := regexp.MustCompile(`"discovery":"\d[^"]*"`).ReplaceAllLiteral(text, []byte(fmt.Sprintf(`"discovery":%q`, address)))
	if err := os.WriteFile(s.file, moved, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// TestStoppedTwice tells a process to stop twice, and to read its file again in between, while a request is out: it answers, and ends with 0.
func TestStoppedTwice(t *testing.T) {
	came, gate := make(chan struct{}, 1), make(chan struct{})
	s := newSite(t, 64, func(w http.ResponseWriter, r *http.Request) {
		came <- struct{}{}
		<-gate
		quick(w, r)
	})
	p := s.start()
	answered := make(chan error, 1)
	go func() { answered <- s.ask("stopped-twice") }()
	select {
	case <-came:
	case <-time.After(patience):
		t.Fatal("no request came")
	}
	p.signal(syscall.SIGTERM)
	p.await(func() bool { return p.call("GET", "/ops/readiness", "") != 200 })
	p.signal(syscall.SIGHUP)
	p.await(func() bool { return p.figure("loads") == 1 })
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	close(gate)
	select {
	case err := <-answered:
		if err != nil {
			t.Errorf("the request that was out: %v", err)
		}
	case <-time.After(patience):
		t.Fatal("no answer")
	}
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("it ended with %v\n%s", err, p.log.String())
		}
	case <-time.After(patience):
		t.Fatal("it did not end")
	}
}

// TestIdleClientsLeaveDescriptors has idle clients take all connections that the process accepts, where the system gives it no more
// descriptors than its file says, while discovery is told to move: it calls the new address, and requests reach servers.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const descriptors = 256
	s := newSite(t, 64, quick)
	p := s.start()
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	var idle []net.Conn
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	for range 2 * descriptors { // what is not accepted waits in the system's queue
		c, err := net.DialTimeout("tcp", s.listen, time.Second)
		if err != nil {
			break
		}
		idle = append(idle, c)
	}
	if len(idle) < descriptors {
		t.Fatalf("only %d idle connections", len(idle))
	}
	called := make(chan struct{}, 100)
	moved := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		fmt.Fprintln(w, s.list("SERVING"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	s.moveDiscovery(moved)
	p.signal(syscall.SIGHUP)
	select {
	case <-called:
	case <-time.After(patience):
		t.Error("discovery was never called")
	}
	for i := range 20 {
		if err := s.ask(fmt.Sprint("beside-idle-", i)); err != nil {
			t.Errorf("request %d beside idle clients: %v", i, err)
		}
	}
	if _, _, held := p.holds(); held > descriptors {
		t.Errorf("%d descriptors, %d are allowed", held, descriptors)
	}
	p.stop()
}
