package proxy

import "testing"

// TestBufferPoolLimitsAndReusesBuffers checks that at most maxBuffers buffers can be reserved, that released buffers
// are reused, and that the pool keeps no buffer while none is reserved.
func TestBufferPoolLimitsAndReusesBuffers(t *testing.T) {
	p := &bufferPool{maxBuffers: 3}
	if !p.reserve(2) || p.reserve(2) || !p.reserve(1) || p.reserve(1) {
		t.Fatal("the pool allows more or fewer reservations than maxBuffers")
	}
	used := append(p.buffer(), "secret"...)
	p.release(1, [][]byte{used})
	if !p.reserve(1) {
		t.Fatal("a released buffer cannot be reserved again")
	}
	if again := p.buffer(); len(again) != 0 || &again[:1][0] != &used[0] {
		t.Error("a released buffer is not reused, or not empty")
	}
	p.release(3, [][]byte{used, used})
	if len(p.free) != 0 || p.reserved != 0 {
		t.Errorf("the pool keeps %d buffers with %d reserved, want none", len(p.free), p.reserved)
	}
}
