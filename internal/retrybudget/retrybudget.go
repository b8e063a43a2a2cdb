// Package retrybudget limits additional attempts, which are retries and hedged requests, to a share of the successes.
//
// Each success adds a fraction of an attempt to the budget, as in the retry budgets of Finagle, so that additional
// attempts cease when successes cease. The package is pure: no clock, no randomness, no I/O.
package retrybudget

// Budget holds a balance for each class and a total balance, both in attempts. An additional attempt is deducted from
// both: a class cannot use the attempts added by other classes, and the burst of all classes together is that of a
// single class. A Budget is not safe for concurrent use.
type Budget struct {
	total    float64
	classes  []float64
	ratio    float64 // attempts added by a success
	capacity float64 // maximum of each balance, in attempts
}

// New returns a full budget for the given number of classes. Each success adds ratio attempts to its balances, and each
// balance is at most capacity attempts.
func New(classes int, ratio, capacity float64) Budget {
	b := Budget{total: capacity, ratio: ratio, capacity: capacity}
	b.Grow(classes)
	return b
}

// Grow adds full balances until the budget has the given number of classes.
func (b *Budget) Grow(classes int) {
	for len(b.classes) < classes {
		b.classes = append(b.classes, b.capacity)
	}
}

// Earn records a success of a class: it adds ratio attempts to the balance of the class and to the total.
func (b *Budget) Earn(class int) {
	b.total = min(b.total+b.ratio, b.capacity)
	b.classes[class] = min(b.classes[class]+b.ratio, b.capacity)
}

// Spend deducts an additional attempt of a class. It returns false and deducts nothing if either balance is below one.
func (b *Budget) Spend(class int) bool {
	if b.total < 1 || b.classes[class] < 1 {
		return false
	}
	b.total--
	b.classes[class]--
	return true
}

// Charge deducts the cost of a retry that a client made itself, down to a balance of 0. Such a retry is served in any
// case, and reduces the budget for additional attempts.
func (b *Budget) Charge(class int) {
	b.total = max(b.total-1, 0)
	b.classes[class] = max(b.classes[class]-1, 0)
}
