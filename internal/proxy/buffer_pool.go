package proxy

import (
	"sync"

	"milletramp.example/milletramp/internal/upstream"
)

// bodyMemoryDivisor limits the pool to 1/bodyMemoryDivisor of the process memory. The first initialBodyBuffer bytes of
// each body are not counted.
const bodyMemoryDivisor = 4

// bufferPool bounds the memory of request bodies. Its buffers have upstream.MaxBufferedBody bytes and are reused,
// because buffers that wait for garbage collection occupy memory too. Smaller buffers are allocated by the caller,
// which reserves their bytes.
type bufferPool struct {
	mu            sync.Mutex
	maxBuffers    int      // maximum of reserved buffers, and of bytes as many as they have
	reserved      int      // number of reserved buffers
	reservedBytes int      // bytes reserved for smaller buffers
	free          [][]byte // released buffers for reuse
}

// newBufferPool returns a pool for a process with memoryMB of memory.
func newBufferPool(memoryMB int) *bufferPool {
	return &bufferPool{maxBuffers: memoryMB << 20 / bodyMemoryDivisor / upstream.MaxBufferedBody}
}

// reserve reserves n buffers. If fewer are available, it reserves none and returns false.
func (p *bufferPool) reserve(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasSpace(n * upstream.MaxBufferedBody) {
		return false
	}
	p.reserved += n
	return true
}

// reserveBytes reserves bytes for a smaller buffer. If fewer are available, it reserves none and returns false.
func (p *bufferPool) reserveBytes(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasSpace(n) {
		return false
	}
	p.reservedBytes += n
	return true
}

// releaseBytes cancels the reservation of n bytes.
func (p *bufferPool) releaseBytes(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reservedBytes -= n
}

// hasSpace reports whether n more bytes may be reserved. The caller must hold p.mu.
func (p *bufferPool) hasSpace(n int) bool {
	return p.reserved*upstream.MaxBufferedBody+p.reservedBytes+n <= p.maxBuffers*upstream.MaxBufferedBody
}

// buffer returns an empty buffer, which the caller has reserved before.
func (p *bufferPool) buffer() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.free) - 1
	if last < 0 {
		return make([]byte, 0, upstream.MaxBufferedBody)
	}
	buffer := p.free[last]
	p.free = p.free[:last]
	return buffer[:0]
}

// release cancels the reservation of n buffers and returns the used ones to the pool. The caller must not access these
// afterwards. The pool frees its memory when no buffer is reserved.
func (p *bufferPool) release(n int, used [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved -= n
	if p.reserved == 0 {
		p.free = nil
		return
	}
	p.free = append(p.free, used...)
}
