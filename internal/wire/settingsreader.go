package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// maxListLength is the maximum number of elements of a list in the settings.
const maxListLength = 4096

// noValue is the text of an absent value in the text protocol.
const noValue = "-"

// settingsReader reads typed values from settings that are stored as text by path. Its methods return zero for an
// absent or malformed value and keep the first error in err.
type settingsReader struct {
	values map[string]string
	lists  map[string][]string // JSON lists of plain values, as their elements may contain commas
	quoted map[string]bool     // paths of JSON strings, which are not accepted as numbers
	err    error
}

// newPairsReader returns a settingsReader for key=value pairs of the text protocol.
func newPairsReader(pairs [][]byte) (*settingsReader, error) {
	s := &settingsReader{values: make(map[string]string, len(pairs))}
	for _, pair := range pairs {
		key, value, found := strings.Cut(string(pair), "=")
		if found {
			s.values[key] = value
		} else if len(pair) > 0 {
			return nil, fmt.Errorf("setting %q is not a key=value pair", pair)
		}
	}
	return s, nil
}

// newTreeReader returns a settingsReader for a JSON object whose numbers were decoded as json.Number.
func newTreeReader(tree map[string]any) *settingsReader {
	s := &settingsReader{values: map[string]string{}, lists: map[string][]string{}, quoted: map[string]bool{}}
	s.flatten("", tree)
	return s
}

// flatten stores a JSON value by path. Paths and values have the same format as in the text protocol.
func (s *settingsReader) flatten(path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			s.flatten(strings.TrimPrefix(path+"."+key, "."), inner)
		}
	case []any:
		s.values[path+".count"] = strconv.Itoa(len(v))
		for i, inner := range v {
			s.flatten(path+"."+strconv.Itoa(i), inner)
			s.lists[path] = append(s.lists[path], fmt.Sprint(inner))
		}
	case nil: // null is treated as absent
	case string:
		s.values[path] = v
		s.quoted[path] = true
	default:
		s.values[path] = fmt.Sprint(v)
	}
}

// fail records that the value of key is not the expected one.
func (s *settingsReader) fail(key, expected string) {
	if s.err == nil {
		s.err = &SettingError{Key: key, Value: s.values[key], Expected: expected}
	}
}

// require returns the text of key. A missing key is recorded as an error.
func (s *settingsReader) require(key string) string {
	value, found := s.values[key]
	if !found && s.err == nil {
		s.err = &MissingSettingError{Key: key}
	}
	return value
}

func (s *settingsReader) float(key string) float64 {
	value, found := s.values[key]
	if !found || value == noValue {
		return 0
	}
	f, err := parseFloat(value)
	if err != nil || s.quoted[key] {
		s.fail(key, "a number")
		return 0
	}
	return f
}

// requirePositive records an error if the number under key is missing or not above 0.
func (s *settingsReader) requirePositive(key string) {
	s.require(key)
	if s.float(key) <= 0 {
		s.fail(key, "a number above 0")
	}
}

func (s *settingsReader) integer(key string) int {
	f := s.float(key)
	if f != math.Trunc(f) || math.Abs(f) > math.MaxInt32 {
		s.fail(key, "a whole number")
	}
	return int(f)
}

// listLength returns the declared number of elements of a list, at most maxListLength.
func (s *settingsReader) listLength(key string) int {
	n := s.integer(key)
	if n < 0 || n > maxListLength {
		s.fail(key, "a small count")
		return 0
	}
	return n
}

func (s *settingsReader) duration(key string) time.Duration { return seconds(s.float(key)) }

func (s *settingsReader) nonNegativeDuration(key string) time.Duration {
	d := s.duration(key)
	if d < 0 {
		s.fail(key, "a number from 0 up")
	}
	return d
}

func (s *settingsReader) boolean(key string) bool {
	switch s.values[key] {
	case "true", "1":
		return true
	case "false", "0", "", noValue:
	default:
		s.fail(key, "true or false")
	}
	return false
}

// list returns the elements of a list of plain values: a comma-separated text or a JSON list.
func (s *settingsReader) list(key string) []string {
	if joined := s.values[key]; joined != "" && joined != noValue {
		return strings.Split(joined, ",")
	}
	return s.lists[key]
}

// lookup returns the value for the word under key. A word that is not in valuesByWord is recorded as an error.
func lookup[T any](s *settingsReader, key string, valuesByWord map[string]T) T {
	value, found := valuesByWord[s.values[key]]
	if !found {
		s.fail(key, "one of the known words")
	}
	return value
}
