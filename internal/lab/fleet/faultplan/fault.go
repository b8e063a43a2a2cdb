package faultplan

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults. Drop to Cut are link faults and apply to all messages from the sidecars in From to those in To.
const (
	Drop      Kind = "drop"      // a share Amount of the messages is lost
	Delay     Kind = "delay"     // messages have random delays of up to Amount seconds, and may be reordered
	Duplicate Kind = "duplicate" // a share Amount of the messages arrives twice
	Throttle  Kind = "narrow"    // the link passes Amount bytes per second
	Cut       Kind = "cut"       // no message passes; one direction only, unless another fault cuts the other

	Kill    Kind = "kill"    // the sidecars in From are killed, and start without state when the fault ends
	Suspend Kind = "stop"    // they are suspended; messages to them wait
	Upgrade Kind = "upgrade" // a successor process replaces each sidecar in From; the two processes overlap
	Clock   Kind = "clock"   // their time of day has an offset of Amount seconds

	Unresponsive Kind = "mute" // the servers in From accept requests and do not respond
	Slow         Kind = "slow" // they respond with a delay of Amount seconds
)

// Fault is a fault that starts at At and lasts for Duration.
type Fault struct {
	Kind     Kind
	At       time.Duration
	Duration time.Duration
	From     []int   // indexes of sidecars, or of servers for Unresponsive and Slow
	To       []int   // indexes of sidecars, for Drop to Cut
	Amount   float64 // a share, bytes per second or seconds, depending on Kind; see the kinds
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

// formatRanges formats sorted numbers as ranges, such as 0-3,7.
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

// end returns the time at which the fault ends.
func (f Fault) end() time.Duration { return f.At + f.Duration }

// concerns reports whether the fault is active at a time and a sidecar or server is in its From.
func (f Fault) concerns(at time.Duration, index int) bool {
	return at >= f.At && at < f.end() && slices.Contains(f.From, index)
}
