package processes

// incarnation identifies the period of a sidecar from a start to the next kill. A process and its successor in an
// upgrade belong to the same incarnation.
type incarnation struct {
	sidecar string
	number  uint64 // starts at 1; 0 if the sidecar has not started yet
}
