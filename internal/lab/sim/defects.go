package sim

import (
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// inventedToken is the token of a response that no server sent.
const inventedToken = 1 << 63

// Defects are faults injected into the network part of the sidecars, which the lab's rules must detect. The zero value
// injects none.
type Defects struct {
	LoseEvery      int           // one in LoseEvery final responses is dropped; 0: none
	DuplicateEvery int           // one in DuplicateEvery final responses is sent twice; 0: none
	InventEvery    int           // one in InventEvery local responses becomes one that no server sent; 0: none
	HoldBack       bool          // rejections and failures are sent only just before the client's timeout
	Delay          time.Duration // time after the client's timeout at which rejections and failures are sent
	ListDelay      time.Duration // delay between discovery's notification and the policy's list update
}

// defectCounts counts the responses to which the defects with a one-in-n rate apply.
type defectCounts struct {
	responses      int
	localResponses int // rejections and failures decided by policies
}

// isEvery reports whether a defect that affects one in n cases applies to case number count. It is false if n is 0.
func isEvery(n, count int) bool { return n > 0 && count%n == 0 }

// delayedResponse is the event that a final response delayed by a defect is sent.
type delayedResponse struct {
	request *request
	status  record.Status
}

func (e delayedResponse) handle(*simulation) { e.request.respond(e.status, 0, 0) }
