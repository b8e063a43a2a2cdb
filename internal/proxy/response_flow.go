package proxy

import "time"

const (
	// slowestPeerPace is the pace in bytes per second that a sound server may be as slow as.
	slowestPeerPace = 64_000
	// minFlowPace is the pace in bytes per second from which a response counts as flowing. Half of the slowest pace is
	// left for pauses of the server.
	minFlowPace = slowestPeerPace / 2
	// burstTime is the time within which bytes count as one burst. What a server gives at once says nothing of whether
	// it goes on.
	burstTime = 100 * time.Millisecond
)

// responseFlow observes at which pace the body of a response arrives behind its largest burst. A server that gives a
// part at once and then hangs does not flow, and neither does one that gives a few bytes now and then.
type responseFlow struct {
	firstByteAt  time.Time
	total        int64 // bytes that have arrived
	burstAt      time.Time
	burst        int64 // bytes since burstAt
	largestBurst int64
}

// newResponseFlow returns the flow of a response of which a first part has arrived, which counts as one burst.
func newResponseFlow(firstByteAt time.Time, firstPart int64) responseFlow {
	return responseFlow{
		firstByteAt: firstByteAt, total: firstPart, burstAt: firstByteAt, burst: firstPart, largestBurst: firstPart,
	}
}

// record records how many bytes of the body have arrived by now.
func (f *responseFlow) record(total int64, now time.Time) {
	if total > f.total && now.Sub(f.burstAt) >= burstTime {
		f.burstAt = now
		f.burst = 0
	}
	f.burst += total - f.total
	f.total = total
	f.largestBurst = max(f.largestBurst, f.burst)
}

// pace returns the bytes per second that have arrived outside the largest burst.
func (f *responseFlow) pace(now time.Time) float64 {
	return meanPace(f.total-f.largestBurst, f.firstByteAt, now)
}

// isExpectedLong reports whether the response is to be treated as long before that is known: it flows, or it will be
// known to be long by end if its pace stays as it is.
func (f *responseFlow) isExpectedLong(now, end time.Time) bool {
	pace := f.pace(now)
	expectedAtEnd := float64(f.total) + pace*end.Sub(now).Seconds()
	return pace >= minFlowPace || expectedAtEnd > longResponse
}

// meanPace returns the pace in bytes per second at which bytes have come from the first one to now.
func meanPace(bytes int64, firstByteAt, now time.Time) float64 {
	return float64(bytes) / max(now.Sub(firstByteAt), time.Millisecond).Seconds()
}
