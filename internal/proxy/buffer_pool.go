package proxy

import (
	"sync"

	"milletramp.example/milletramp/internal/upstream"
)

// bodyMemoryDivisor is the part of the memory, as its divisor, that bodies may take beyond upstream.MaxBufferedBody each.
const bodyMemoryDivisor = 4

// bufferPool bounds the memory of long bodies. It hands out buffers of upstream.MaxBufferedBody bytes and uses them
// again, as what waits for the garbage collector takes memory too.
type bufferPool struct {
	mu         sync.Mutex
	maxBuffers int
	reserved   int
	free       [][]byte
}

// newBufferPool returns a pool for its share of the memory of a process.
func newBufferPool(memoryMB int) *bufferPool {
	return &bufferPool{maxBuffers: memoryMB << 20 / bodyMemoryDivisor / upstream.MaxBufferedBody}
}

// reserve reserves n buffers, or none and returns false.
func (p *bufferPool) reserve(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved+n > p.maxBuffers {
		return false
	}
	p.reserved += n
	return true
}

// buffer returns an empty buffer. It has to be reserved.
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

// release gives back n reserved buffers, and those of them that were used. Nothing may use these any more. When none is
// reserved, the pool keeps no memory.
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
