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
	failedTries  int           // since it was ejected
	lastTry      time.Duration // when the last try failed
}

// Admits reports whether the class may go there: it is not ejected, or it is time to try it with one request.
func (a *ClassState) Admits(now time.Duration) bool { return now >= a.ejectedUntil }

// Ejected reports whether the endpoint is ejected for the class, also when it is time to try.
func (a *ClassState) Ejected() bool { return a.ejectedUntil > 0 }

// Sent records that an attempt goes there. Where the endpoint is ejected, that one tries it alone, for so long at most.
func (a *ClassState) Sent(now, alone time.Duration) {
	if a.ejectedUntil > 0 {
		a.ejectedUntil = now + alone
	}
}

// Served records an answer, which readmits the class. The shares are those of Alarm.Good.
func (a *ClassState) Served(usual, alarming float64) {
	a.ejectedUntil, a.failedTries = 0, 0
	a.lossAlarm.RecordSuccess(usual, alarming)
}

// Eject ejects the endpoint for the class until a time, and reports whether it was admitted before.
func (a *ClassState) Eject(until time.Duration) (isNew bool) {
	isNew = a.ejectedUntil == 0
	a.ejectedUntil = until
	return isNew
}

// Unanswered records an attempt that has been out for so long that a share survival of answers takes longer. It returns
// the weight of that evidence as Alarm.Bad does, and for how long to eject the endpoint where all of the class is lost,
// 0 where it is not: first, and twice as long each time that a try fails, up to four times. What was sent before the
// last try failed tells nothing new.
func (a *ClassState) Unanswered(
	sent, now, first time.Duration,
	survival, usual, alarming, before float64,
) (weighs float64, wait time.Duration) {
	weighs = a.lossAlarm.RecordFailure(survival, usual, alarming, before)
	if a.lossAlarm.Raised() && sent >= a.lastTry {
		wait = first << min(a.failedTries, maxBackoffDoublings)
		a.failedTries++
		a.lastTry = now
	}
	return weighs, wait
}
