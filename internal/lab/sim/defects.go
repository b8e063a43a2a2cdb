package sim

import (
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// Defects says how a sidecar's network part is broken, for mutants; the zero value is whole.
type Defects struct {
	LoseEvery      int           // one answer in so many is never given
	DuplicateEvery int           // one in so many is given twice
	InventEvery    int           // one refusal in so many is turned into an answer that no node made
	HoldBack       bool          // refusals and failures are given only just before the client's time is over
	Delay          time.Duration // refusals and failures come so much after the deadline
	ListDelay      time.Duration // the list is told to the module so much later than discovery told it
}

// delayedResponse is a final response that a seeded defect has delayed.
type delayedResponse struct {
	request *request
	status  record.Status
}

func (e delayedResponse) happen(*simulation) { e.request.sidecar.respond(e.request, e.status, 0, 0) }
