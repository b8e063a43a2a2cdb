package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// maxListLength bounds the elements that a list of the settings may claim to have.
const maxListLength = 4096

// noValue stands for an absent value in the text protocol.
const noValue = "-"

// settingsReader reads typed values from settings that are kept as text by their paths. Each method returns zero for
// an absent or malformed value; the first fault stays in err.
type settingsReader struct {
	values map[string]string
	lists  map[string][]string // lists of plain values in JSON: a name may hold the text protocol's comma
	quoted map[string]bool     // paths of JSON strings, which are no numbers even if they look like one
	err    error
}

// newPairsReader returns a reader of the text protocol's key=value pairs.
func newPairsReader(pairs [][]byte) (*settingsReader, error) {
	s := &settingsReader{values: make(map[string]string, len(pairs))}
	for _, pair := range pairs {
		key, value, found := strings.Cut(string(pair), "=")
		if found {
			s.values[key] = value
		} else if len(pair) > 0 {
			return nil, fmt.Errorf("setting %q is no key=value pair", pair)
		}
	}
	return s, nil
}

// newTreeReader returns a reader of a JSON object whose numbers were decoded as json.Number.
func newTreeReader(tree map[string]any) *settingsReader {
	s := &settingsReader{values: map[string]string{}, lists: map[string][]string{}, quoted: map[string]bool{}}
	s.flatten("", tree)
	return s
}

// flatten stores a JSON value under its path, with the spelling of the text protocol.
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
	case nil: // as if absent
	case string:
		s.values[path] = v
		s.quoted[path] = true
	default:
		s.values[path] = fmt.Sprint(v)
	}
}

// fail records that the value of key is not what was wanted.
func (s *settingsReader) fail(key, expected string) {
	if s.err == nil {
		s.err = &SettingError{Key: key, Value: s.values[key], Expected: expected}
	}
}

// require returns the text of key and fails where it is missing.
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

// requirePositive fails for a number that is missing or not above 0.
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

// listLength returns the number of elements that a list says it has.
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

// list returns the elements of a list of plain values.
func (s *settingsReader) list(key string) []string {
	if joined := s.values[key]; joined != "" && joined != noValue {
		return strings.Split(joined, ",")
	}
	return s.lists[key]
}

// lookup returns what the word under key means, and fails for one that is not in words.
func lookup[T any](s *settingsReader, key string, valuesByWord map[string]T) T {
	value, found := valuesByWord[s.values[key]]
	if !found {
		s.fail(key, "one of the known words")
	}
	return value
}
