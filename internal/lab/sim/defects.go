package sim

import (
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// inventedToken names a response that no server made.
const inventedToken = 1 << 63

// Defects are seeded defects of the sidecars' network part, which the lab's rules have to find. The zero value has
// none.
type Defects struct {
	LoseEvery      int           // one response in so many is never given
	DuplicateEvery int           // one in so many is given twice
	InventEvery    int           // one rejection or failure in so many becomes a response that no server made
	HoldBack       bool          // rejections and failures are given only just before the client's timeout
	Delay          time.Duration // rejections and failures come so long after the client's timeout
	ListDelay      time.Duration // the policy gets the endpoint list so long after discovery's notification
}

// defectCounts count what the defects take one in so many of.
type defectCounts struct {
	responses      int
	localResponses int // rejections and failures that policies decided on
}

// isEvery reports whether a defect in one of n cases is due in the case of this count. For 0 it never is.
func isEvery(n, count int) bool { return n > 0 && count%n == 0 }

// delayedResponse is a final response that a defect has delayed.
type delayedResponse struct {
	request *request
	status  record.Status
}

func (e delayedResponse) handle(*simulation) { e.request.respond(e.status, 0, 0) }
