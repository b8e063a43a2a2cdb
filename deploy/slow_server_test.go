package deploy

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLargeRequestsToSlowServersEndInTime guards against final answers that come seconds late: servers read large
// requests more slowly than their clients wait, with the least memory and the most descriptors that the platform gives.
func TestLargeRequestsToSlowServersEndInTime(t *testing.T) {
	const clients, rounds, timeout = 40, 2, 1500 * time.Millisecond
	for _, length := range []int{40 << 10, 200 << 10, 1 << 20, 4 << 20} {
		t.Run(fmt.Sprintf("%d KiB", length>>10), func(t *testing.T) {
			s := newSite(t, leastMemoryMB, func(w http.ResponseWriter, r *http.Request) {
				piece := make([]byte, 4<<10)
				for {
					if _, err := io.ReadFull(r.Body, piece); err != nil {
						break
					}
					time.Sleep(60 * time.Millisecond)
				}
				fmt.Fprint(w, "ok")
			})
			s.setDescriptors(mostDescriptors)
			p := s.start()
			var all sync.WaitGroup
			var mu sync.Mutex
			slowest := time.Duration(0)
			statuses := map[int]int{}
			for i := range clients {
				all.Add(1)
				go func() {
					defer all.Done()
					for n := range rounds {
						status, took := s.post(fmt.Sprintf("slow%d-%d", i, n), length, timeout)
						mu.Lock()
						statuses[status]++
						slowest = max(slowest, took)
						mu.Unlock()
					}
				}()
			}
			all.Wait()
			_, peak, _ := p.holds()
			t.Logf("statuses %v, the slowest final answer after %v, %d kB at most", statuses, slowest, peak)
			if slowest > timeout+lateAnswer {
				t.Errorf("a final answer came %v after the last byte of its request", slowest)
			}
		})
	}
}

// bodyWithEnd is a request body that notes when its last byte was read.
type bodyWithEnd struct {
	io.Reader
	endedAt atomic.Pointer[time.Time]
}

// Read implements io.Reader.
func (b *bodyWithEnd) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.noteEnd()
	}
	return n, err
}

// noteEnd notes the present time.
func (b *bodyWithEnd) noteEnd() {
	now := time.Now()
	b.endedAt.Store(&now)
}

// post sends a request with a body, and returns the status of its final answer, or 0 for none, and the time from its last
// byte.
func (s *site) post(id string, length int, timeout time.Duration) (status int, took time.Duration) {
	s.t.Helper()
	body := &bodyWithEnd{Reader: io.LimitReader(zeros{}, int64(length))}
	body.noteEnd()
	r, err := http.NewRequest("POST", "http://"+s.listen+"/api", body)
	if err != nil {
		s.t.Fatal(err)
	}
	r.ContentLength = int64(length)
	r.Header = http.Header{"X-Request-Id": {id}, "X-Priority-Class": {"pay"},
		"X-Timeout-Ms": {fmt.Sprint(timeout.Milliseconds())}}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, 0 // refused in the middle of its body
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, time.Since(*body.endedAt.Load())
}
