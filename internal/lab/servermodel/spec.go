package servermodel

import "time"

// Spec is what a server is made of. All times are on its owner's clock.
type Spec struct {
	Cores      int
	Speed      float64 // of a core, as a multiple of a standard one
	Slots      int     // requests in service at once
	QueueLimit int     // requests that may wait for a slot

	WarmUpShare float64       // of its speed that it has at the start
	WarmUp      time.Duration // from the start until it has its full speed; it grows evenly
	StartedAt   time.Duration // 0: long ago

	ContentionAt   float64 // requests in service for each core above which each takes more work; 0: never
	ContentionCost float64 // the share of work that each doubling adds

	// A server collapses when more than CollapseAt requests for each core have waited for CollapseAfter. It is then
	// slower by CollapseSlowdown until it has held fewer than RecoverBelow for each core for RecoverAfter, or for
	// MaxCollapse in any case. With a CollapseAt of 0 it never does.
	CollapseAt       float64
	CollapseAfter    time.Duration
	CollapseSlowdown float64
	RecoverBelow     float64
	RecoverAfter     time.Duration
	MaxCollapse      time.Duration
}

// speedShare returns the share of its speed that the server has at a time, by its warm-up.
func (s *Spec) speedShare(now time.Duration) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= s.WarmUp {
		return 1
	}
	return s.WarmUpShare + (1-s.WarmUpShare)*age.Seconds()/s.WarmUp.Seconds()
}
