package servermodel

import "time"

// Spec describes the capacity and the overload behavior of a server. All times are on its owner's clock.
type Spec struct {
	Cores      int
	Speed      float64 // of a core, as a multiple of a standard core
	Slots      int     // maximum number of requests in service
	QueueLimit int     // maximum number of requests waiting for a slot

	WarmUpShare float64       // share of the full speed at the start
	WarmUp      time.Duration // from the start to full speed; the speed grows linearly
	StartedAt   time.Duration // start of the server; 0: already warmed up

	ContentionAt   float64 // requests in service per core above which each takes more work; 0: no contention
	ContentionCost float64 // share of work added by each doubling of the requests per core beyond ContentionAt

	// A server collapses when more than CollapseAt requests per core have been waiting for CollapseAfter. It is then
	// slower by the factor CollapseSlowdown until at most RecoverBelow requests per core have been in flight for
	// RecoverAfter, but no longer than MaxCollapse. With a CollapseAt of 0 it never collapses.
	CollapseAt       float64
	CollapseAfter    time.Duration
	CollapseSlowdown float64
	RecoverBelow     float64
	RecoverAfter     time.Duration
	MaxCollapse      time.Duration
}

// speedShare returns the share of its full speed that the server has reached at a time in its warm-up.
func (s *Spec) speedShare(now time.Duration) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= s.WarmUp {
		return 1
	}
	return s.WarmUpShare + (1-s.WarmUpShare)*age.Seconds()/s.WarmUp.Seconds()
}
