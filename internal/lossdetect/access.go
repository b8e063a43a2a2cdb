package lossdetect

import "time"

// maxBackoffDoublings is how often the wait before an ejected class is tried again doubles.
const maxBackoffDoublings = 2

// ClassState is what is known of one class at one endpoint: its losses there, and whether the endpoint is ejected for it.
// Times are readings of the caller's monotonic clock. The zero value is an endpoint that is not ejected.
type ClassState struct {
	Loss         LossRate
	lossAlarm    Alarm         // rings if all attempts of the class are lost
	ejectedUntil time.Duration // not to be tried before then; 0: not ejected
	ejections    int           // since it was ejected
	lastEjection time.Duration // when the last try failed
}

// Admits reports whether the class may go there: it is not ejected, or it is time to try it with one request.
func (c *ClassState) Admits(now time.Duration) bool { return now >= c.ejectedUntil }

// Ejected reports whether the endpoint is ejected for the class, also when it is time to try.
func (c *ClassState) Ejected() bool { return c.ejectedUntil > 0 }

// Sent records that an attempt goes there. Where the endpoint is ejected, that one tries it alone, for so long at most.
func (c *ClassState) Sent(now, probeTimeout time.Duration) {
	if c.ejectedUntil > 0 {
		c.ejectedUntil = now + probeTimeout
	}
}

// Served records an answer, which readmits the class. The shares are those of Alarm.Good.
func (c *ClassState) Served(usual, alarming float64) {
	c.ejectedUntil, c.ejections = 0, 0
	c.lossAlarm.RecordSuccess(usual, alarming)
}

// Eject ejects the endpoint for the class until a time, and reports whether it was admitted before.
func (c *ClassState) Eject(until time.Duration) (isNew bool) {
	isNew = c.ejectedUntil == 0
	c.ejectedUntil = until
	return isNew
}

// Unanswered records an attempt that has been out for so long that a share survival of answers takes longer. It returns
// the weight of that evidence as Alarm.Bad does, and for how long to eject the endpoint where all of the class is lost,
// 0 where it is not: first, and twice as long each time that a try fails, up to four times. What was sent before the
// last try failed tells nothing new.
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
