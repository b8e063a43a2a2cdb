// Package stats holds the figures that a sidecar reports. Counters only rise, and each is counted in one place, where
// the fact happens; gauges are handed in when the figures are written, taken from the state itself.
package stats

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

// Class counts how the requests of one class ended.
type Class struct {
	Passed     atomic.Int64 // served
	Dropped    atomic.Int64 // refused
	BadGateway atomic.Int64 // failed
}

// Cause is why a client's connection ended before a request had come whole on it.
type Cause int

// The causes.
const (
	Gone     Cause = iota // its client ended it, or it broke
	Late                  // its first head took too long
	Room                  // another one needed its place
	Stopping              // the process stops
	reasonCount
)

var reasonNames = [reasonCount]string{"gone", "late", "room", "stopping"}

// Unserved counts connections of clients that ended before a request had come whole on them.
type Unserved [reasonCount]atomic.Int64

// Count counts one.
func (u *Unserved) Count(c Cause) { u[c].Add(1) }

// Figures are the counters of one process, from 0 at its start. The zero value is ready.
type Figures struct {
	Tries      atomic.Int64 // attempts written whole to servers
	Loads      atomic.Int64 // configuration files taken at SIGHUP
	LoadErrors atomic.Int64 // and turned down
	Unserved   Unserved

	mu      sync.Mutex
	classes map[string]*Class
}

// Gauges are what the state is at one moment.
type Gauges struct {
	InProgress int // requests taken and not ended
	Known      int // servers in the list
	Skipped    int // of these, that are avoided now
}

// Class returns the counters of a class, which last as long as the Figures. Callers on the path of requests keep what
// they got.
func (f *Figures) Class(name string) *Class {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.classes == nil {
		f.classes = map[string]*Class{}
	}
	c := f.classes[name]
	if c == nil {
		c = &Class{}
		f.classes[name] = c
	}
	return c
}

// Write writes the figures, one name=value on a line, classes in the order of their names.
func (f *Figures) Write(w io.Writer, g Gauges) error {
	f.mu.Lock()
	names := make([]string, 0, len(f.classes))
	for name := range f.classes {
		names = append(names, name)
	}
	slices.Sort(names)
	var text []byte
	line := func(name string, value int64) { text = fmt.Appendf(text, "sidecar.%s=%d\n", name, value) }
	for _, name := range names {
		c := f.classes[name]
		line("passed."+name, c.Passed.Load())
		line("dropped."+name, c.Dropped.Load())
		line("bad_gateway."+name, c.BadGateway.Load())
	}
	f.mu.Unlock()
	line("upstream_tries", f.Tries.Load())
	line("in_progress", int64(g.InProgress))
	line("known_servers", int64(g.Known))
	line("skipped_servers", int64(g.Skipped))
	line("loads", f.Loads.Load())
	line("load_errors", f.LoadErrors.Load())
	for c, name := range reasonNames {
		line("unserved."+name, f.Unserved[c].Load())
	}
	_, err := w.Write(text)
	return err
}
