package loopback

import (
	"cmp"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// Result holds the measurements of a run that are not events.
type Result struct {
	MaxSendDelay   time.Duration // the longest delay of a request behind its planned time
	MaxRSS         int           // kB resident of the largest sidecar at the end
	MaxDescriptors int           // descriptors of the one with most at the end
}

// addResourceUsage takes the resource usage of running sidecars into the maxima.
func (result *Result) addResourceUsage(sidecars []*process) {
	for _, sidecar := range sidecars {
		rss, descriptors := sidecar.resourceUsage()
		result.MaxRSS = max(result.MaxRSS, rss)
		result.MaxDescriptors = max(result.MaxDescriptors, descriptors)
	}
}

// recordEvents passes all events to the sink, ordered by time.
func (r *run) recordEvents() {
	events := r.log.Events()
	slices.SortStableFunc(events, func(a, b record.Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		r.options.Sink.Record(&events[i])
	}
	for i, n := range r.servers {
		r.options.Sink.Record(&record.Event{At: r.log.Now(), Kind: record.NodeWork, Node: int32(i), Work: n.Worked()})
	}
}
