package checker

// checkRowsWrittenByOwners requires that no sidecar shows a later version of a row than its owner has written.
func checkRowsWrittenByOwners(r *Record) (violations []Violation) {
	type incarnationKey struct {
		rowKey
		incarnation uint64
	}
	keyOf := func(row Row) incarnationKey {
		return incarnationKey{rowKey{owner: row.Owner, server: row.Server}, row.Incarnation}
	}
	written := map[incarnationKey]uint64{}
	for _, row := range r.WrittenRows {
		key := keyOf(row)
		written[key] = max(written[key], row.Version)
	}
	for _, s := range r.Snapshots {
		for _, row := range s.Rows {
			last := written[keyOf(row)]
			if row.Version > last {
				violations = append(violations, newViolation(RuleRowsWrittenByOwners, s.At,
					"%s shows version %d of %s's row on server %s, the owner's last version is %d",
					s.Sidecar, row.Version, row.Owner, row.Server, last))
			}
		}
	}
	return violations
}
