package faultplan

import "slices"

// Without returns the plan without one of its faults or calls, counted through both. ok is false after the last.
func (p Plan) Without(i int) (shorter Plan, ok bool) {
	switch {
	case i < len(p.Faults):
		p.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
	case i < len(p.Faults)+len(p.Calls):
		p.Calls = slices.Delete(slices.Clone(p.Calls), i-len(p.Faults), i-len(p.Faults)+1)
	default:
		return p, false
	}
	return p, true
}

// Shrink removes from a plan what it does not need to be bad.
func Shrink(p Plan, fails func(Plan) bool) Plan {
	for i := 0; ; {
		shorter, ok := p.Without(i)
		switch {
		case !ok:
			return p
		case fails(shorter):
			p = shorter
		default:
			i++
		}
	}
}
