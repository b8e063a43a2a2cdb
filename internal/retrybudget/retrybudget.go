// Package retrybudget keeps the budget from which further attempts at requests are paid: retries and hedged requests.
//
// It is pure: no clock, no randomness, no I/O.
package retrybudget

// Budget pays for further attempts out of successes, as in the retry budgets of Finagle: a share of each success is put
// by, up to a limit, so that further attempts dry up with the successes. There is one for each class and one for the
// whole, and an attempt is paid for by both: no class lives on what the others earn, and all together spend no more
// than one would.
type Budget struct {
	total    float64
	classes  []float64
	ratio    float64
	capacity float64
}

// New returns a full budget: each success earns rate, and at most so many attempts are put by.
func New(classes int, rate, most float64) Budget {
	b := Budget{total: most, classes: make([]float64, classes), ratio: rate, capacity: most}
	for i := range b.classes {
		b.classes[i] = most
	}
	return b
}

// Grow adds classes until there are so many.
func (b *Budget) Grow(classes int) {
	for len(b.classes) < classes {
		b.classes = append(b.classes, b.capacity)
	}
}

// Earn takes in a success.
func (b *Budget) Earn(class int) {
	b.total = min(b.total+b.ratio, b.capacity)
	b.classes[class] = min(b.classes[class]+b.ratio, b.capacity)
}

// Spend pays for a further attempt, or returns false and takes nothing if there is too little.
func (b *Budget) Spend(class int) bool {
	if b.total < 1 || b.classes[class] < 1 {
		return false
	}
	b.total--
	b.classes[class]--
	return true
}

// Charge takes what a client's own retry costs, as far as it is there: that one is served in any case, and leaves less
// for others.
func (b *Budget) Charge(class int) {
	b.total = max(b.total-1, 0)
	b.classes[class] = max(b.classes[class]-1, 0)
}
