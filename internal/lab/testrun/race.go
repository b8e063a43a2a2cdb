//go:build race

package testrun

// RaceEnabled tells whether the race detector is built in. Code that only computes takes about ten times as long with
// it.
const RaceEnabled = true
