package proxy

import "testing"

// TestBufferPoolLimitsAndReusesBuffers checks that no more buffers are reserved than there may be, that those given
// back are used again, and that none are kept in a quiet time.
func TestBufferPoolLimitsAndReusesBuffers(t *testing.T) {
	r := &bufferPool{maxBuffers: 3}
	if !r.reserve(2) || r.reserve(2) || !r.reserve(1) || r.reserve(1) {
		t.Fatal("more is taken than there may be, or less")
	}
	used := append(r.buffer(), "secret"...)
	r.release(1, [][]byte{used})
	if !r.reserve(1) {
		t.Fatal("what was given back cannot be taken")
	}
	if again := r.buffer(); len(again) != 0 || &again[:1][0] != &used[0] {
		t.Error("a buffer that was given back is not used again, or not empty")
	}
	r.release(3, [][]byte{used, used})
	if len(r.free) != 0 || r.reserved != 0 {
		t.Errorf("%d buffers are kept in a quiet time, %d held", len(r.free), r.reserved)
	}
}
