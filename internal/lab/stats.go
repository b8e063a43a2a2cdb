package lab

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is a mean with its 95% confidence interval by Student's t.
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"`
}

// IntervalOf is the interval for some independent values; with fewer than two it has no width that means anything.
func IntervalOf(values []float64) Interval {
	i := Interval{N: len(values), Low: math.Inf(-1), High: math.Inf(1)}
	if len(values) == 0 {
		return i
	}
	mean, sd := stat.MeanStdDev(values, nil)
	i.Mean = mean
	if len(values) > 1 {
		n := float64(len(values))
		half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * sd / math.Sqrt(n)
		i.Low, i.High = mean-half, mean+half
	}
	return i
}

// Verdict words a paired difference: b against a.
func (i Interval) Verdict() string {
	switch {
	case i.Low > 0:
		return "better"
	case i.High < 0:
		return "worse"
	}
	return "no difference seen"
}
