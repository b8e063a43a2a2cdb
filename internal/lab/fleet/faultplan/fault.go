package faultplan

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults. Those of links concern all messages from the sidecars in From to those in To.
const (
	Drop      Kind = "drop"      // a share of the messages is lost
	Delay     Kind = "delay"     // messages are late, unevenly, and so also out of order
	Duplicate Kind = "duplicate" // a share arrives twice
	Throttle  Kind = "narrow"    // so many bytes a second pass
	Cut       Kind = "cut"       // nothing passes; one way unless another fault cuts the other

	Kill    Kind = "kill"    // the processes in From end at once; they start after the fault, from nothing
	Suspend Kind = "stop"    // they are suspended; what arrives for them waits
	Upgrade Kind = "upgrade" // another process replaces each in From; the two overlap for a time
	Clock   Kind = "clock"   // their time of day is off by Amount seconds

	Unresponsive Kind = "mute" // the servers in From take requests and do not respond
	Slow         Kind = "slow" // they respond Amount seconds late
)

// Fault is one fault for some time.
type Fault struct {
	Kind     Kind
	At       time.Duration
	Duration time.Duration
	From     []int // sidecars; Unresponsive and Slow: servers
	To       []int // Drop to Cut: sidecars
	Amount   float64
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	text := fmt.Sprintf("%8v for %7v  %-9s", f.At, f.Duration, f.Kind)
	if f.Amount != 0 {
		text += fmt.Sprintf(" %g", f.Amount)
	}
	text += " " + formatRanges(f.From)
	if len(f.To) > 0 {
		text += " -> " + formatRanges(f.To)
	}
	return text
}

// formatRanges writes numbers as runs: 0-3,7.
func formatRanges(numbers []int) string {
	var parts []string
	for first := 0; first < len(numbers); {
		last := first
		for last+1 < len(numbers) && numbers[last+1] == numbers[last]+1 {
			last++
		}
		part := fmt.Sprint(numbers[first])
		if last > first {
			part += fmt.Sprintf("-%d", numbers[last])
		}
		parts = append(parts, part)
		first = last + 1
	}
	return strings.Join(parts, ",")
}

// end is when the fault is over.
func (f Fault) end() time.Duration { return f.At + f.Duration }

// concerns says whether the fault lasts at a time and names a sidecar or server in From.
func (f Fault) concerns(at time.Duration, index int) bool {
	return at >= f.At && at < f.end() && slices.Contains(f.From, index)
}
