package lossdetect

import "time"

// maxBackoffDoublings is the maximum number of times that the ejection time of a class doubles.
const maxBackoffDoublings = 2

// ClassState is the state of one class at one endpoint: its loss rate there, and whether the endpoint is ejected for
// the class. Times are readings of the caller's monotonic clock. The zero value is an endpoint that is not ejected.
type ClassState struct {
	Loss         LossRate
	lossAlarm    Alarm         // raised if all attempts of the class are lost
	ejectedUntil time.Duration // earliest time of the next probe; 0 if not ejected
	ejections    int           // number of ejections since the last response
	lastEjection time.Duration // time of the last ejection
}

// Admits reports whether requests of the class may be sent to the endpoint: it is not ejected for the class, or a probe
// with one request is due.
func (c *ClassState) Admits(now time.Duration) bool { return now >= c.ejectedUntil }

// Ejected reports whether the endpoint is ejected for the class. It remains ejected while a probe is due or in flight.
func (c *ClassState) Ejected() bool { return c.ejectedUntil > 0 }

// Sent records that an attempt is sent to the endpoint. If the endpoint is ejected, the attempt is a probe, and no
// other attempt is admitted for probeTimeout.
func (c *ClassState) Sent(now, probeTimeout time.Duration) {
	if c.ejectedUntil > 0 {
		c.ejectedUntil = now + probeTimeout
	}
}

// Served records a response, which readmits the class. The shares are those of Alarm.RecordSuccess.
func (c *ClassState) Served(usual, alarming float64) {
	c.ejectedUntil, c.ejections = 0, 0
	c.lossAlarm.RecordSuccess(usual, alarming)
}

// Eject ejects the endpoint for the class until the given time, and reports whether it was not ejected before.
func (c *ClassState) Eject(until time.Duration) (isNew bool) {
	isNew = c.ejectedUntil == 0
	c.ejectedUntil = until
	return isNew
}

// Unanswered records an attempt without a response. survival is the share of responses that take longer than the
// attempt has been in flight. It returns the weight of this evidence, as Alarm.RecordFailure does, and the duration of
// the ejection for the class, or 0 if there is none. The duration is firstWait and doubles with each further ejection,
// up to four times firstWait. Attempts sent before the last ejection do not cause another one, as they are no new
// evidence.
func (c *ClassState) Unanswered(
	sent, now, firstWait time.Duration,
	survival, usual, alarming, previousWeight float64,
) (weight float64, wait time.Duration) {
	weight = c.lossAlarm.RecordFailure(survival, usual, alarming, previousWeight)
	if c.lossAlarm.Raised() && sent >= c.lastEjection {
		wait = firstWait << min(c.ejections, maxBackoffDoublings)
		c.ejections++
		c.lastEjection = now
	}
	return weight, wait
}
