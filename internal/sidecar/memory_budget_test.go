package sidecar

import (
	"testing"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/proxy"
	"milletramp.example/milletramp/internal/upstream"
)

// TestBuffersOfAllRequestsFitIntoMemory guards against buffers that follow the number of descriptors alone: those of all
// requests in flight together must stay within a part of the memory.
func TestBuffersOfAllRequestsFitIntoMemory(t *testing.T) {
	for _, memoryMB := range []int{32, 48, 64, 96, 192} {
		for _, sockets := range []int{64, 256, 384, 512, 1024} {
			c := &config.Config{MemoryMB: memoryMB, Sockets: sockets}
			requests, budget := newSocketBudget(c).Requests, newMemoryBudget(c)
			memory := memoryMB << 20
			if requests*memoryPerRequest > memory {
				t.Errorf("%d MB, %d descriptors: %d requests in flight", memoryMB, sockets, requests)
			}
			if sum := requests * (budget.ResponseBuffer + budget.StreamBuffer); sum > memory/4 {
				t.Errorf("%d MB, %d descriptors: buffers of %d bytes for %d requests", memoryMB, sockets, sum, requests)
			}
			if budget.ResponseBuffer < minBuffer || budget.StreamBuffer < minBuffer {
				t.Errorf("%d MB, %d descriptors: buffers %+v are too small", memoryMB, sockets, budget)
			}
		}
	}
}

// TestBuffersHaveMaximumSizesWithEnoughMemory checks that a process with the usual amounts buffers as much as it may.
func TestBuffersHaveMaximumSizesWithEnoughMemory(t *testing.T) {
	c := &config.Config{MemoryMB: 192, Sockets: 256}
	want := memoryBudget{ResponseBuffer: upstream.MaxBufferedBody, StreamBuffer: proxy.MaxStreamBuffer}
	if got := newMemoryBudget(c); got != want {
		t.Errorf("budget %+v, want %+v", got, want)
	}
	if got, want := newSocketBudget(c).Requests, 256/requestDivisor; got != want {
		t.Errorf("%d requests in flight, want %d", got, want)
	}
}
