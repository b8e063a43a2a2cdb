package deploy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
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

// TestIdleClientsLeaveDescriptors has idle clients take all connections that the process accepts, where the system
// gives it no more descriptors than its file says. Discovery moves, or was down meanwhile and is back with a change: it
// is called, the change is known in time, and requests reach servers.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const descriptors = 256
	for _, tt := range []struct {
		name string
		down bool
	}{{"discovery moves", false}, {"discovery is down, and back with a change", true}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, 64, quick)
			address := freeAddress(t)
			takeDown := func() {}
			if tt.down {
				s.moveDiscovery(address)
				takeDown = s.serveList(address, s.list("SERVING"), nil)
			}
			p := s.start()
			limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
			if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
				t.Fatal(err)
			}
			takeDown()
			stay := s.holdIdle(2 * descriptors)
			p.awaitFilled(descriptors / 3)
			called := make(chan struct{}, 100)
			list := s.list("SERVING")
			if tt.down { // of three servers the first drains and the last leaves
				list = s.changedList()
			}
			back := time.Now()
			s.serveList(address, list, called)
			if !tt.down {
				s.moveDiscovery(address)
				p.signal(syscall.SIGHUP)
			}
			select {
			case <-called:
			case <-time.After(patience):
				t.Fatal("discovery was never called")
			}
			if tt.down {
				p.await(func() bool { return p.figure("known_servers") == 2 })
				if took := time.Since(back); took > notifiedWithin {
					t.Errorf("the change was known after %v, want %v at most", took, notifiedWithin)
				}
				s.servers[0].barred.Store(true)
				s.servers[2].barred.Store(true)
			}
			for i := range 20 {
				if err := s.ask(fmt.Sprint("beside-idle-", i)); err != nil {
					t.Errorf("request %d beside idle clients: %v", i, err)
				}
			}
			if _, _, held := p.holds(); held > descriptors {
				t.Errorf("%d descriptors, %d are allowed", held, descriptors)
			}
			stay()
			p.stop()
			if len(s.wrong) > 0 {
				t.Error(<-s.wrong)
			}
		})
	}
}

// notifiedWithin is how soon after discovery can be reached again a change has to be known.
const notifiedWithin = 6 * time.Second

// holdIdle has count clients hold a connection each that idles, until the test's end or the process's. A client whose
// connection is closed opens another one, until the returned function is called. What is not accepted waits in the
// system's queue.
func (s *site) holdIdle(count int) (stay func()) {
	var stays atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	var over sync.WaitGroup
	s.t.Cleanup(func() {
		cancel()
		over.Wait()
	})
	dialer := net.Dialer{Timeout: time.Second}
	for range count {
		over.Add(1)
		go func() {
			defer over.Done()
			for ctx.Err() == nil && !stays.Load() {
				c, err := dialer.DialContext(ctx, "tcp", s.listen)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if err != nil {
					continue
				}
				stop := context.AfterFunc(ctx, func() { c.Close() })
				_, _ = io.Copy(io.Discard, c) // until either side closes it
				stop()
				c.Close()
			}
		}()
	}
	return func() { stays.Store(true) }
}

// awaitFilled waits until the process holds at least that many descriptors and takes no more: there is no new maximum
// in a hundred looks.
func (p *process) awaitFilled(least int) {
	p.site.t.Helper()
	most, looks := 0, 0
	p.await(func() bool {
		_, _, held := p.holds()
		if looks++; held > most {
			most, looks = held, 0
		}
		return most >= least && looks >= 100
	})
}

// changedList is a later list, in which the first server drains and the last is gone.
func (s *site) changedList() string {
	rest := &site{servers: s.servers[:len(s.servers)-1]}
	text := strings.Replace(rest.list("SERVING"), `"SERVING"`, `"DRAINING"`, 1)
	return strings.Replace(text, `"rev":1`, `"rev":2`, 1)
}

// serveList is a discovery at address that answers each call with one list, until the returned function is called or
// the test ends. It closes its connections then. Each call is reported on called; nil: none is.
func (s *site) serveList(address, list string, called chan<- struct{}) (takeDown func()) {
	s.t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, list)
		_ = http.NewResponseController(w).Flush()
		if called != nil {
			called <- struct{}{}
		}
		<-r.Context().Done()
	})}
	go func() { _ = web.Serve(l) }() // until Close
	s.t.Cleanup(func() { web.Close() })
	return func() { web.Close() }
}
