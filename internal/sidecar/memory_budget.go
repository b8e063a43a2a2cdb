package sidecar

import (
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/proxy"
	"milletramp.example/milletramp/internal/upstream"
)

const (
	// responseMemoryDivisor is the part of the memory that the buffered responses of all requests in flight may use.
	responseMemoryDivisor = 8
	// streamMemoryDivisor is the part of the memory that the buffers of as many streamed responses may use.
	streamMemoryDivisor = 16
	// minBuffer is the minimum size of a buffer in bytes.
	minBuffer = 4 << 10
)

// memoryBudget has the sizes of buffers that each request in flight may hold. With few descriptors they have their
// maximum sizes.
type memoryBudget struct {
	ResponseBuffer int // size in bytes up to which a response is buffered
	StreamBuffer   int // size in bytes of the buffer of a streamed response
}

// newMemoryBudget divides the memory of a process among the requests that it may have in flight.
func newMemoryBudget(c *config.Config) memoryBudget {
	perRequest := c.MemoryMB << 20 / newSocketBudget(c).Requests
	return memoryBudget{
		ResponseBuffer: max(min(perRequest/responseMemoryDivisor, upstream.MaxBufferedBody), minBuffer),
		StreamBuffer:   max(min(perRequest/streamMemoryDivisor, proxy.MaxStreamBuffer), minBuffer),
	}
}
