package workload

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Zipf draws from 0 to n-1 with probabilities in proportion to (i+1)^-exponent, any exponent from 0 up.
type Zipf struct {
	cumulative []float64
}

// NewZipf returns the distribution.
func NewZipf(n int, exponent float64) *Zipf {
	z := &Zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		z.cumulative[i] = sum
	}
	return z
}

// Draw draws one number.
func (z *Zipf) Draw(random *rand.Rand) uint64 {
	last := len(z.cumulative) - 1
	i := sort.SearchFloat64s(z.cumulative, random.Float64()*z.cumulative[last])
	return uint64(min(i, last))
}

// drawShare draws an index by cumulative shares whose sum is 1, but for rounding.
func drawShare(random *rand.Rand, cumulative []float64) int {
	i := sort.SearchFloat64s(cumulative, random.Float64())
	return min(i, len(cumulative)-1)
}

// drawCount draws a whole number with the given mean: one of the two next to it.
func drawCount(random *rand.Rand, mean float64) int {
	whole, part := math.Modf(mean)
	count := int(whole)
	if random.Float64() < part {
		count++
	}
	return count
}

// drawFactor draws a factor of mean 1 with a coefficient of variation: exponential at 1, else log-normal.
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
