package processes

// incarnation is a sidecar from a start to the next kill. A process and the one that replaces it in an upgrade are one.
type incarnation struct {
	sidecar string
	number  uint64 // from 1 on; 0: none yet
}
