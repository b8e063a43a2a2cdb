package main

import (
	"fmt"
	"os"
	"time"
)

const (
	progressInterval = 2 * time.Second
	progressReports  = 10 // of a whole sweep or comparison
)

// newProgressPrinter returns a function that prints from time to time how far a scenario has come.
func newProgressPrinter(name string) func(at, of time.Duration) {
	last := time.Now()
	return func(at, of time.Duration) {
		if time.Since(last) > progressInterval {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "%s: %.0f of %.0f s\n", name, at.Seconds(), of.Seconds())
		}
	}
}

// printDayCount prints now and then how many scenarios of a sweep or comparison are done.
func printDayCount(n, of int) {
	if n%max(of/progressReports, 1) == 0 {
		fmt.Fprintf(os.Stderr, "%d of %d days\n", n, of)
	}
}
