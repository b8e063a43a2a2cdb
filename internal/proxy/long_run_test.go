//go:build go1.25

package proxy

import (
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// always has each attempt get the same answer.
func always(text string) func(int) string { return func(int) string { return text } }

// TestFaultAfterTenQuietMinutes has one of two servers fall silent after ten minutes without trouble, in which
// discovery is down as well: requests that may be repeated are served by the other one in time.
func TestFaultAfterTenQuietMinutes(t *testing.T) {
	inBubble(t, testserver.Settings, func(b *bubble) {
		b.answers = always(okAnswer)
		var silent atomic.Bool
		b.drops = func(server string, _ time.Duration) bool { return silent.Load() && server == "127.0.0.1:1" }
		for range 600 {
			if a := <-b.ask("read", 3*time.Second, nil); a.kind != served {
				b.t.Errorf("answer %+v on a quiet day", a)
			}
			<-b.came
			time.Sleep(time.Second)
		}
		silent.Store(true)
		for n := range 30 {
			began := time.Now()
			if a := <-b.ask("read", 3*time.Second, nil); a.kind != served {
				b.t.Errorf("answer %+v to request %d behind the fault, after %v", a, n, time.Since(began))
			}
			time.Sleep(time.Second)
		}
	})
}

// TestServersForgetIdleConnections has servers drop, without a word or a reset, what comes on connections that were
// idle for 2 s. Each request has its answer in its time, and one that is unsafe to repeat is sent once.
func TestServersForgetIdleConnections(t *testing.T) {
	const requests, wait = 20, 10 * time.Second
	for _, class := range []string{"read", "book", "pay"} {
		inBubble(t, testserver.Settings, func(b *bubble) {
			b.answers = always(okAnswer)
			var forgotten atomic.Int64
			b.drops = func(_ string, idle time.Duration) bool {
				if idle >= 2*time.Second {
					forgotten.Add(1)
				}
				return idle >= 2*time.Second
			}
			for n := range requests {
				began := time.Now()
				a := <-b.ask(class, wait, nil)
				if took := time.Since(began); took > wait {
					b.t.Errorf("%s: answer %+v to request %d after %v", class, a, n, took)
				}
				if class == "pay" && len(b.came) > 1 {
					b.t.Errorf("%d attempts of a request that is unsafe to repeat", len(b.came))
				}
				for len(b.came) > 0 {
					<-b.came
				}
				time.Sleep(3 * time.Second)
			}
			if forgotten.Load() == 0 {
				b.t.Errorf("%s: no request came on a forgotten connection", class)
			}
		})
	}
}

// TestVeryShortDeadlines has servers drop all requests of 5 to 20 ms without a word: each has one answer soon after its
// time, no attempt begins behind it, and requests with more time are served right after.
func TestVeryShortDeadlines(t *testing.T) {
	inBubble(t, testserver.Settings, func(b *bubble) {
		b.answers = always(okAnswer)
		var drops atomic.Bool
		drops.Store(true)
		b.drops = func(string, time.Duration) bool { return drops.Load() }
		for n := range 300 {
			wait := time.Duration(5+n%16) * time.Millisecond
			class := []string{"read", "book", "pay"}[n%3]
			began := time.Now()
			a := <-b.ask(class, wait, nil)
			if took := time.Since(began); took > wait+100*time.Millisecond || a.kind == served {
				b.t.Errorf("%s of %v: answer %+v after %v", class, wait, a, took)
			}
			for time.Sleep(50 * time.Millisecond); len(b.came) > 0; {
				if late := (<-b.came).at.Sub(began); late > wait {
					b.t.Errorf("%s of %v: an attempt began after %v", class, wait, late)
				}
			}
		}
		drops.Store(false)
		for n := range 10 {
			if a := <-b.ask("read", time.Second, nil); a.kind != served {
				b.t.Errorf("answer %+v to request %d behind the short ones", a, n)
			}
		}
	})
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
