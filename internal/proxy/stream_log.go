package proxy

import (
	"time"

	"milletramp.example/milletramp/internal/upstream"
)

// logIncomplete logs a streamed response that ended with err before it was complete. Only the goroutine that reads the
// response may call it.
func (h *Handler) logIncomplete(request *inflightRequest, source streamSource, response *upstream.Stream, err error) {
	h.loop.log.Warn("streamed response is incomplete", "class", request.Name, "id", request.ID,
		"server", source.endpoint, "bytes", response.Received(),
		"bytes_per_second", int64(meanPace(response.Received(), response.FirstByteAt(), time.Now())),
		"time_left", timeLeft(request), "process_ends", h.shutdown.Err() != nil, "err", err)
}
