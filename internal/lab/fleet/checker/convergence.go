package checker

// checkCopiesEqual requires that all sidecars show equal copies of the shared state after ConvergenceTime.
func checkCopiesEqual(r *Record) (violations []Violation) {
	last := r.lastSnapshots()
	reference := "" // name of the sidecar with which all later ones are compared
	for _, name := range r.Sidecars {
		s, ok := last[name]
		switch {
		case !ok || s.At < r.FaultsEnd+r.ConvergenceTime:
			violations = append(violations, newViolation(RuleCopiesEqual, s.At,
				"%s has no snapshot after the convergence time", name))
		case reference == "":
			reference = name
		case s.Checksum != last[reference].Checksum:
			violations = append(violations, newViolation(RuleCopiesEqual, s.At,
				"%s has checksum %s, %s has %s", name, s.Checksum, reference, last[reference].Checksum))
		}
	}
	return violations
}
