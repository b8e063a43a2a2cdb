//go:build race

package aside

// Raced tells whether the race detector is built in. What computes takes some ten times as long with it.
const Raced = true
