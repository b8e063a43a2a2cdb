package responseplay

import (
	"fmt"
	"slices"
	"strings"
)

// Tally counts verdicts by cell. The zero value is ready for use.
type Tally struct {
	cells  map[string]*[verdictCount]int
	Total  [verdictCount]int
	Broken []*Judgement
	// SoundWithoutLength and Forwarded count the sound responses without a length, and those that came whole.
	SoundWithoutLength, Forwarded int
	// Refusals counts responses other than 200 by status.
	Refusals map[int]int
}

// init makes the maps of the zero value.
func (t *Tally) init() {
	if t.cells == nil {
		t.cells = map[string]*[verdictCount]int{}
		t.Refusals = map[int]int{}
	}
}

// Add adds a judgement.
func (t *Tally) Add(j *Judgement) {
	t.init()
	cell := "no attempt"
	if j.Attempt != nil {
		cell = j.Attempt.Script.Cell()
	}
	if t.cells[cell] == nil {
		t.cells[cell] = &[verdictCount]int{}
	}
	t.cells[cell][j.Verdict]++
	t.Total[j.Verdict]++
	if j.Verdict.IsBroken() {
		t.Broken = append(t.Broken, j)
	}
	if j.Observation.Status != 200 {
		t.Refusals[j.Observation.Status]++
	}
	if j.Attempt != nil && j.Attempt.Script.IsSound() && j.Attempt.Script.Framing != Declared {
		t.SoundWithoutLength++
		if j.Observation.Status == 200 && j.Observation.Complete {
			t.Forwarded++
		}
	}
}

// Merge adds the counts of another tally.
func (t *Tally) Merge(other *Tally) {
	t.init()
	for cell, c := range other.cells {
		if t.cells[cell] == nil {
			t.cells[cell] = &[verdictCount]int{}
		}
		addCounts(t.cells[cell], c)
	}
	addCounts(&t.Total, &other.Total)
	t.Broken = append(t.Broken, other.Broken...)
	t.SoundWithoutLength += other.SoundWithoutLength
	t.Forwarded += other.Forwarded
	for status, n := range other.Refusals {
		t.Refusals[status] += n
	}
}

// addCounts adds the counts of other to c.
func addCounts(c, other *[verdictCount]int) {
	for v, n := range other {
		c[v] += n
	}
}

// counts formats the verdicts that occurred.
func counts(c *[verdictCount]int) string {
	var parts []string
	for v, n := range c {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%v %d", Verdict(v), n))
		}
	}
	return strings.Join(parts, ", ")
}

// Summary returns the counts of all cells in one line.
func (t *Tally) Summary() string {
	return fmt.Sprintf("%s; of %d sound ones without a length %d forwarded; other statuses %v", counts(&t.Total),
		t.SoundWithoutLength, t.Forwarded, t.Refusals)
}

// Report returns the counts of each cell, a line each.
func (t *Tally) Report() string {
	var lines []string
	for cell, c := range t.cells {
		lines = append(lines, fmt.Sprintf("%-60s %s", cell, counts(c)))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
