package standin

import "sync"

// RequestInfo is what a server looks up about a request, so that the sidecar need not pass it on.
type RequestInfo struct {
	Class  int
	Work   float64 // seconds on a standard core
	Key    uint64
	Effect uint64 // 0: repeats are not dropped
}

// RequestRegistry is where clients register their requests for servers to look up. It also numbers attempts and
// responses.
type RequestRegistry struct {
	mu       sync.Mutex
	requests map[uint64]RequestInfo
	tokens   uint64
	attempts map[uint64]uint8 // that reached a server, by request
}

// NewRequestRegistry returns an empty registry.
func NewRequestRegistry() *RequestRegistry {
	return &RequestRegistry{requests: map[uint64]RequestInfo{}, attempts: map[uint64]uint8{}}
}

// Register adds a request.
func (r *RequestRegistry) Register(id uint64, info RequestInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = info
}

// Lookup returns a request, and false if no client has registered it.
func (r *RequestRegistry) Lookup(id uint64) (RequestInfo, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	info, ok := r.requests[id]
	return info, ok
}

// NextToken returns the token of the next response.
func (r *RequestRegistry) NextToken() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens++
	return r.tokens
}

// nextAttempt numbers a request's attempts, from 0, as they reach servers.
func (r *RequestRegistry) nextAttempt(id uint64) uint8 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id]++
	return r.attempts[id] - 1
}
