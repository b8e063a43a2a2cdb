package workload

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Zipf is a Zipf distribution over 0 to n-1: the probability of i is proportional to (i+1)^-exponent. The
// exponent may be any number from 0.
type Zipf struct {
	cumulative []float64
}

// NewZipf returns the Zipf distribution over n numbers.
func NewZipf(n int, exponent float64) *Zipf {
	z := &Zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		z.cumulative[i] = sum
	}
	return z
}

// Draw returns a random number of the distribution.
func (z *Zipf) Draw(random *rand.Rand) uint64 {
	last := len(z.cumulative) - 1
	i := sort.SearchFloat64s(z.cumulative, random.Float64()*z.cumulative[last])
	return uint64(min(i, last))
}

// drawShare returns a random index whose probabilities have the given cumulative shares. The last share is 1 apart from
// rounding errors.
func drawShare(random *rand.Rand, cumulative []float64) int {
	i := sort.SearchFloat64s(cumulative, random.Float64())
	return min(i, len(cumulative)-1)
}

// drawCount returns a random integer with the given mean, which is the mean rounded down or up.
func drawCount(random *rand.Rand, mean float64) int {
	whole, part := math.Modf(mean)
	count := int(whole)
	if random.Float64() < part {
		count++
	}
	return count
}

// drawFactor returns a random factor with mean 1 and a coefficient of variation. It is constant for 0, exponential for
// 1 and log-normal otherwise.
func drawFactor(random *rand.Rand, cv float64) float64 {
	switch cv {
	case 0:
		return 1
	case 1:
		return random.ExpFloat64()
	}
	variance := math.Log1p(cv * cv)
	return math.Exp(math.Sqrt(variance)*random.NormFloat64() - variance/2)
}
