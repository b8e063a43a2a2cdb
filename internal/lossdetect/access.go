package lossdetect

import "time"

// maxBackoffDoublings is how often the wait before a shut class is tried again doubles.
const maxBackoffDoublings = 2

// Access is one class's way to an endpoint: what is known of its losses there, and whether it is shut.
type Access struct {
	Loss         Record
	lossAlarm    Alarm         // for an endpoint that loses all of the class
	ejectedUntil time.Duration // not to be asked until then; 0: nothing is known against it
	failedTries  int           // tries that failed since it was shut
	lastTry      time.Duration // when the last of them did
}

// Admits tells whether the class may go there: it is not shut, or it is time to try it with one request.
func (a *Access) Admits(now time.Duration) bool { return now >= a.ejectedUntil }

// Ejected tells whether it is shut, also when it is time to try.
func (a *Access) Ejected() bool { return a.ejectedUntil > 0 }

// Sent takes in that an attempt goes there. Where it is shut, that one tries it alone, for so long at most.
func (a *Access) Sent(now, alone time.Duration) {
	if a.ejectedUntil > 0 {
		a.ejectedUntil = now + alone
	}
}

// Served takes in an answer. It opens.
func (a *Access) Served(usual, alarming float64) {
	a.ejectedUntil, a.failedTries = 0, 0
	a.lossAlarm.Good(usual, alarming)
}

// Eject shuts it until then, and tells whether it was open.
func (a *Access) Eject(until time.Duration) (news bool) {
	news = a.ejectedUntil == 0
	a.ejectedUntil = until
	return news
}

// Unanswered takes in an attempt that has been out for so long that a share survival of answers takes longer. It
// returns the weight of that evidence as Alarm.Bad does, and how long to shut the class where all of it is lost: first,
// and twice as long each time that a try fails, up to four times. What was sent before the last one failed tells nothing
// new.
func (a *Access) Unanswered(sent, now, first time.Duration, survival, usual, alarming, before float64) (weighs float64, wait time.Duration) {
	weighs = a.lossAlarm.Bad(survival, usual, alarming, before)
	if a.lossAlarm.Rings() && sent >= a.lastTry {
		wait = first << min(a.failedTries, maxBackoffDoublings)
		a.failedTries++
		a.lastTry = now
	}
	return weighs, wait
}
