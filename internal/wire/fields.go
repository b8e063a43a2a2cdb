package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
)

const (
	maxMagnitude       = 1e12    // largest absolute value of a number
	maxSeconds         = 9e9     // capacity of a time.Duration in seconds, rounded down
	microsPerSecond    = 1e6     // the protocol has a resolution of 1 µs
	maxInternedStrings = 1 << 16 // the table of interned strings is cleared at this size
	maxUint64Digits    = 20
)

var outcomes = map[string]balance.Outcome{
	"completed":    balance.Served,
	"errored":      balance.Errored,
	"saturated":    balance.Saturated,
	"overdue":      balance.TimedOut,
	"refused_conn": balance.ConnectFailed,
	"severed":      balance.Reset,
	"recalled":     balance.Cancelled,
	"superseded":   balance.NotSent,
}

// splitFields splits line into the current fields. The methods below parse these fields. They return zero for a
// malformed field and keep the first error in r.fieldErr.
func (r *Reader) splitFields(line []byte) {
	r.fieldErr = nil
	r.fields = r.fields[:0]
	for {
		i := bytes.IndexByte(line, fieldSeparator)
		if i < 0 {
			r.fields = append(r.fields, line)
			return
		}
		r.fields = append(r.fields, line[:i])
		line = line[i+1:]
	}
}

// lineErr returns the first error in the fields of the current line, prefixed with the message name.
func (r *Reader) lineErr() error {
	if r.fieldErr == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", r.fields[0], r.fieldErr)
}

// fail records that field i is not the expected value.
func (r *Reader) fail(i int, expected string) {
	if r.fieldErr != nil {
		return
	}
	fieldErr := &FieldError{Index: i, Missing: i >= len(r.fields), Expected: expected}
	if !fieldErr.Missing {
		fieldErr.Value = string(r.fields[i])
	}
	r.fieldErr = fieldErr
}

// isAbsent reports whether field i is missing, empty or "-".
func (r *Reader) isAbsent(i int) bool {
	if i >= len(r.fields) {
		return true
	}
	field := r.fields[i]
	return len(field) == 0 || len(field) == 1 && field[0] == '-'
}

func (r *Reader) uint64(i int) uint64 {
	if i >= len(r.fields) {
		r.fail(i, "an unsigned integer")
		return 0
	}
	n, ok := parseUint(r.fields[i])
	if !ok {
		r.fail(i, "an unsigned integer")
	}
	return n
}

func (r *Reader) optionalUint64(i int) uint64 {
	if r.isAbsent(i) {
		return 0
	}
	return r.uint64(i)
}

func (r *Reader) requestID(i int) balance.RequestID { return balance.RequestID(r.uint64(i)) }

func (r *Reader) integer(i int) int {
	n := r.uint64(i)
	if n > math.MaxInt32 {
		r.fail(i, "an integer of at most 2147483647")
		return 0
	}
	return int(n)
}

func (r *Reader) float64(i int) float64 {
	if i >= len(r.fields) {
		r.fail(i, "a number")
		return 0
	}
	f, err := parseFloat(string(r.fields[i]))
	if err != nil {
		r.fail(i, "a number")
		return 0
	}
	return f
}

func (r *Reader) duration(i int) time.Duration { return seconds(r.float64(i)) }

func (r *Reader) boolean(i int) bool {
	if i < len(r.fields) {
		switch string(r.fields[i]) {
		case "1":
			return true
		case "0":
			return false
		}
	}
	r.fail(i, "1 or 0")
	return false
}

// text returns field i as a string, or "" if it is absent. Strings are interned, because a few distinct strings occur
// many times.
func (r *Reader) text(i int) string {
	if r.isAbsent(i) {
		return ""
	}
	if s, ok := r.interned[string(r.fields[i])]; ok {
		return s
	}
	if len(r.interned) >= maxInternedStrings {
		clear(r.interned)
	}
	s := string(r.fields[i])
	r.interned[s] = s
	return s
}

func (r *Reader) outcome(i int) balance.Outcome {
	if i < len(r.fields) {
		if o, ok := outcomes[string(r.fields[i])]; ok {
			return o
		}
	}
	r.fail(i, "a known outcome")
	return 0
}

// parseFloat parses a number whose absolute value is at most maxMagnitude.
func parseFloat(text string) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(f) || math.Abs(f) > maxMagnitude {
		return 0, strconv.ErrRange
	}
	return f, nil
}

// parseUint parses a decimal number without allocating a string.
func parseUint(digits []byte) (n uint64, ok bool) {
	if len(digits) == 0 || len(digits) > maxUint64Digits {
		return 0, false
	}
	for _, c := range digits {
		d := uint64(c - '0')
		if c < '0' || c > '9' || n > (math.MaxUint64-d)/10 {
			return 0, false
		}
		n = n*10 + d
	}
	return n, true
}

// seconds returns s as a duration, rounded to microseconds and limited to the range of time.Duration.
func seconds(s float64) time.Duration {
	if math.Abs(s) > maxSeconds {
		s = math.Copysign(maxSeconds, s)
	}
	return time.Duration(math.Round(s*microsPerSecond)) * time.Microsecond
}
