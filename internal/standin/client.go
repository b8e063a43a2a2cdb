package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/workload"
)

// Clients are the application next to one sidecar: they send what a source draws, when it is due, whatever becomes of
// earlier requests.
type Clients struct {
	ClientOptions

	mu           sync.Mutex
	address      string
	rng          *rand.Rand
	httpClient   *http.Client
	maxSendDelay time.Duration // the latest that a request was sent behind its time
}

// ClientOptions are what clients are made with.
type ClientOptions struct {
	Sidecar       int32
	Scenario      *scenario.Scenario
	Requests      *RequestRegistry
	Log           *Log
	IDs           *atomic.Uint64
	ResponseGrace time.Duration // beyond a request's time, for an answer that is late
}

// NewClients returns the clients of a sidecar.
func NewClients(o ClientOptions, seed uint64) *Clients {
	c := &Clients{ClientOptions: o, rng: rand.New(rand.NewPCG(seed, uint64(o.Sidecar)+0xc11e47))}
	c.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	return c
}

// SetAddress says where the sidecar listens; "" says that it is not there.
func (c *Clients) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
}

// Run sends all that the source draws, until it ends or ctx is done, and waits for the answers. It returns by how much
// the latest request was sent behind its time.
func (c *Clients) Run(ctx context.Context, s *workload.Source) time.Duration {
	var out sync.WaitGroup
	defer c.httpClient.CloseIdleConnections()
	for {
		a, ok := s.Next()
		if !ok || !sleepContext(ctx, a.At-c.Log.Now()) {
			break
		}
		out.Add(1)
		go func() {
			defer out.Done()
			c.sendWithRetries(ctx, a)
		}()
	}
	out.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxSendDelay
}

// sleepContext waits; false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendWithRetries makes a request, with its further tries.
func (c *Clients) sendWithRetries(ctx context.Context, a workload.Request) {
	first := uint64(0)
	for {
		id := c.IDs.Add(1)
		if first == 0 {
			first = id
		}
		c.mu.Lock()
		c.maxSendDelay = max(c.maxSendDelay, c.Log.Now()-a.At)
		c.mu.Unlock()
		how, after := c.attempt(ctx, a, id, first)
		c.mu.Lock()
		next, ok := workload.Retry(c.Scenario, a, c.Log.Now(), how, after, c.rng)
		c.mu.Unlock()
		if !ok || !sleepContext(ctx, next.At-c.Log.Now()) {
			return
		}
		a = next
	}
}

// attempt makes one try and tells how it ended.
func (c *Clients) attempt(ctx context.Context, a workload.Request, id, first uint64) (workload.Outcome, time.Duration) {
	class := c.Scenario.Classes[a.Class]
	known := RequestInfo{Class: a.Class, Work: a.Work, Key: a.Key}
	if class.Effect == "deduplicated" {
		known.Effect = id
	}
	c.Requests.Register(id, known)
	most := a.Timeout + c.ResponseGrace
	if a.LeavesAfter > 0 {
		most = a.LeavesAfter
	}
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	if address == "" {
		now := record.Event{Request: id, FirstRequest: first, Sidecar: c.Sidecar, Class: uint8(a.Class), Tenant: int32(a.Tenant),
			Wait: a.Timeout, Work: a.Work, Effect: id, Status: record.NotReached, At: c.Log.Now()}
		now.Kind = record.Requested
		c.Log.Add(now)
		now.Kind = record.Answered
		c.Log.Add(now)
		return workload.Unreachable, 0
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var sent atomic.Int64
	asked := func() {
		if sent.CompareAndSwap(0, 1) {
			c.Log.Add(record.Event{Kind: record.Requested, Request: id, FirstRequest: first, Sidecar: c.Sidecar, Class: uint8(a.Class),
				Tenant: int32(a.Tenant), Wait: a.Timeout, Work: a.Work, Effect: id})
		}
	}
	// A request is taken once its last byte is written.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			asked()
		}
	}})
	r, err := c.newHTTPRequest(ctx, a, class, id, address)
	if err != nil {
		panic(fmt.Sprintf("standin: a request that cannot be built: %v", err))
	}
	resp, err := c.httpClient.Do(r)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	taken := sent.Load() != 0
	asked()
	e := record.Event{Request: id, Sidecar: c.Sidecar, Kind: record.Answered}
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && a.LeavesAfter > 0, errors.Is(ctx.Err(), context.Canceled):
		e.Kind = record.ClientLeft
		c.Log.Add(e)
		return workload.Failed, 0
	case err != nil && !taken:
		e.Status = record.NotReached
		c.Log.Add(e)
		return workload.Unreachable, 0
	case err != nil:
		return workload.Failed, 0 // no whole answer ever came: nothing to note, and the referee misses it
	case resp.StatusCode == http.StatusOK:
		e.Token, _ = strconv.ParseUint(strings.TrimPrefix(string(body), "answer "), 10, 64)
		c.Log.Add(e)
		return workload.Served, 0
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		e.Status, e.RetryAfter = record.Rejected, time.Duration(s*1e9)
		c.Log.Add(e)
		return workload.Rejected, e.RetryAfter
	}
	e.Status = record.Failed
	c.Log.Add(e)
	return workload.Failed, 0
}

func (c *Clients) newHTTPRequest(ctx context.Context, a workload.Request, class scenario.Class, id uint64, address string) (*http.Request, error) {
	method, body := http.MethodPost, io.Reader(strings.NewReader("bags: 12"))
	if class.Effect == "idempotent" {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/api?k=%016x", address, a.Key), body)
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // the transport must not send it again by itself
	r.Header.Set("X-Request-ID", strconv.FormatUint(id, 16))
	r.Header.Set("X-Priority-Class", class.Name)
	r.Header.Set("X-Timeout-Ms", strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	r.Header.Set("X-Cost", strconv.FormatInt(int64(a.Work*1e6), 10))
	if class.Effect == "deduplicated" {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", id))
	}
	if a.RetriesMade > 0 {
		r.Header.Set("X-Retried", "1")
	}
	if a.Tenant >= 0 {
		r.Header.Set("X-Tenant-Id", c.Scenario.Tenants[a.Tenant].Name)
	}
	return r, nil
}
