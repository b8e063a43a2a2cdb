package proxy

import (
	"sync"

	"milletramp.example/milletramp/internal/upstream"
)

// bodyMemoryShare is the part of the memory that bodies of clients may take beyond what each may.
const bodyMemoryShare = 4

// bufferPool bounds what is held of long bodies at once, in pieces of mostBody bytes. Pieces are used again: what waits for the
// garbage collector counts as memory too.
type bufferPool struct {
	mu         sync.Mutex
	maxBuffers int // pieces
	reserved   int
	free       [][]byte
}

// reserve sets n pieces aside, or none and returns false.
func (r *bufferPool) reserve(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved+n > r.maxBuffers {
		return false
	}
	r.reserved += n
	return true
}

// buffer returns one that was set aside.
func (r *bufferPool) buffer() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.free) - 1; last >= 0 {
		piece := r.free[last]
		r.free = r.free[:last]
		return piece[:0]
	}
	return make([]byte, 0, upstream.MaxBufferedBody)
}

// release gives back n pieces, and those of them that were used. Nobody may use them any more.
func (r *bufferPool) release(n int, used [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved -= n; r.reserved == 0 {
		r.free = nil // a quiet time: the memory is not kept
		return
	}
	r.free = append(r.free, used...)
}
