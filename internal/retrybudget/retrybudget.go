// Package retrybudget keeps the budget from which further attempts at requests are paid: retries and hedged requests.
//
// A share of each success is saved up, as in the retry budgets of Finagle, so that further attempts dry up with the
// successes. The package is pure: no clock, no randomness, no I/O.
package retrybudget

// Budget has one account for each class and one for all, in attempts, and an attempt is paid for by both: no class
// lives on what the others earn, and all together spend no more than one would. It must not be used by two goroutines
// at once.
type Budget struct {
	total    float64
	classes  []float64
	ratio    float64 // that a success earns
	capacity float64 // of each account
}

// New returns a full budget for so many classes. Each success earns ratio of an attempt, and each account holds at most
// capacity attempts.
func New(classes int, ratio, capacity float64) Budget {
	b := Budget{total: capacity, ratio: ratio, capacity: capacity}
	b.Grow(classes)
	return b
}

// Grow adds full accounts until there are so many classes.
func (b *Budget) Grow(classes int) {
	for len(b.classes) < classes {
		b.classes = append(b.classes, b.capacity)
	}
}

// Earn records a success of a class.
func (b *Budget) Earn(class int) {
	b.total = min(b.total+b.ratio, b.capacity)
	b.classes[class] = min(b.classes[class]+b.ratio, b.capacity)
}

// Spend pays for a further attempt of a class. It returns false and takes nothing if either account has less than one.
func (b *Budget) Spend(class int) bool {
	if b.total < 1 || b.classes[class] < 1 {
		return false
	}
	b.total--
	b.classes[class]--
	return true
}

// Charge takes what a client's own retry costs, as far as it is there: such a retry is served in any case, and leaves
// less for others.
func (b *Budget) Charge(class int) {
	b.total = max(b.total-1, 0)
	b.classes[class] = max(b.classes[class]-1, 0)
}
