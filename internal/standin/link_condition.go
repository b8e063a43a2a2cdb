package standin

import "time"

// LinkCondition is the state of a link: its delay and bandwidth, and how often each fault hits a request. The faults
// are shares of all requests, from 0 to 1. A request meets at most one of them, so their sum should not exceed 1.
type LinkCondition struct {
	Delay               time.Duration // one way
	JitterFraction      float64       // share of Delay by which it varies
	HandshakeRoundTrips float64       // additional round trips for the first bytes of a connection
	BytesPerSecond      int           // in each direction; 0 is unlimited

	// Blackhole lets nothing pass, and new connections do not come up. When it ends, the old ones are reset.
	Blackhole bool

	ResetBefore float64 // reset before a byte of the request has passed
	ResetWithin float64 // reset after half of the request
	ResetAfter  float64 // reset once the whole request has passed
	HalfClose   float64 // the link closes its side towards the server once the request has passed
	Garbage     float64 // the response is replaced by random bytes
	Truncate    float64 // half of the response passes, then the connection ends
	Trickle     float64 // the response passes at trickleBytesPerSecond
}

// linkFault is what a link does to one request or its response.
type linkFault int

const (
	noFault linkFault = iota
	faultResetBefore
	faultResetWithin
	faultResetAfter
	faultHalfClose
	faultGarbage
	faultTruncate
	faultTrickle
)

// faultAt returns the fault that a number drawn evenly from [0, 1) selects.
func (c *LinkCondition) faultAt(drawn float64) linkFault {
	for _, candidate := range []struct {
		share float64
		fault linkFault
	}{
		{c.ResetBefore, faultResetBefore},
		{c.ResetWithin, faultResetWithin},
		{c.ResetAfter, faultResetAfter},
		{c.HalfClose, faultHalfClose},
		{c.Garbage, faultGarbage},
		{c.Truncate, faultTruncate},
		{c.Trickle, faultTrickle},
	} {
		if drawn < candidate.share {
			return candidate.fault
		}
		drawn -= candidate.share
	}
	return noFault
}

// delayAt returns the one-way delay that a number drawn evenly from [0, 1) selects.
func (c *LinkCondition) delayAt(drawn, handshakeRoundTrips float64) time.Duration {
	oneWay := float64(c.Delay) * (1 + c.JitterFraction*(2*drawn-1))
	return time.Duration(oneWay * (1 + 2*handshakeRoundTrips))
}
