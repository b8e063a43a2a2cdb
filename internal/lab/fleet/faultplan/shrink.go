package faultplan

import "slices"

// Without returns the plan without one of its faults or calls. The index i counts the faults first and then the calls;
// ok is false if it is past the last call.
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

// Shrink removes each fault and each call without which the plan still fails.
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
