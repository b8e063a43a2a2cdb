package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"

	"github.com/BurntSushi/toml"
)

// Read reads and validates a scenario file. The error joins one FileError for each error found.
func Read(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(file, string(text))
}

// Parse parses and validates the text of a scenario. Errors contain file as the file name, and an extended scenario is
// read from the directory of file.
func Parse(file, text string) (*Scenario, error) {
	s := defaults()
	c := &validator{file: file, lines: lineIndex(text)}
	if base, ok := extends(text); ok {
		if filepath.Base(base) != base || base == "" {
			c.fail("extends", "extends is %q, must be the name of a scenario in the same directory", base)
			return nil, c.problems[0]
		}
		c.baseFile = filepath.Join(filepath.Dir(file), base+".toml")
		under, err := os.ReadFile(c.baseFile)
		if err != nil {
			c.fail("extends", "extends %q: %v", base, err)
			return nil, c.problems[0]
		}
		if _, ok := extends(string(under)); ok {
			c.fail("extends", "extends %q, which itself extends a scenario; only one level is allowed", base)
			return nil, c.problems[0]
		}
		c.baseLines = lineIndex(string(under))
		if err := decode(c.baseFile, string(under), s, &validator{file: c.baseFile, lines: c.baseLines}); err != nil {
			return nil, err
		}
		s.Faults, s.Expect = nil, Expect{} // faults and expectations are not inherited
		if _, ok := c.lines["load.rate"]; ok {
			s.Load.Utilization = 0 // rate and use exclude each other
		}
		if _, ok := c.lines["load.use"]; ok {
			s.Load.Rate = 0
		}
	}
	if err := decode(file, text, s, c); err != nil {
		return nil, err
	}
	c.checkScenario(s)
	if len(c.problems) > 0 {
		return nil, errors.Join(c.problems...)
	}
	return s, nil
}

// extends returns the name of the scenario that a text extends, and false if there is none or the text is not valid
// TOML.
func extends(text string) (string, bool) {
	var head struct {
		Extends *string `toml:"extends"`
	}
	if _, err := toml.Decode(text, &head); err != nil || head.Extends == nil {
		return "", false // decode reports the syntax error
	}
	return *head.Extends, true
}

var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// decode overwrites the values of s with those in a text. An array of tables in the text replaces the complete array
// in s.
func decode(file, text string, s *Scenario, c *validator) error {
	// The decoder writes into existing array entries, where an absent key would keep its old value.
	for name, list := range map[string]any{"class": &s.Classes, "tenant": &s.Tenants, "trouble": &s.Faults,
		"fleet.kind": &s.Fleet.Kinds} {
		if _, ok := c.lines[name]; ok {
			reflect.ValueOf(list).Elem().SetZero()
		}
	}
	meta, err := toml.Decode(text, s)
	if err != nil {
		var bad toml.ParseError
		if errors.As(err, &bad) {
			return FileError{file, bad.Position.Line, cmp.Or(bad.Message, bad.Error())}
		}
		// For a value of the wrong type, the decoder reports the position only in the error text.
		if m := typeErrorPattern.FindStringSubmatch(err.Error()); m != nil {
			line, _ := strconv.Atoi(m[1])
			return FileError{file, line, m[2] + ": " + m[3]}
		}
		return FileError{file, 0, err.Error()}
	}
	for _, key := range meta.Undecoded() {
		c.fail(key.String(), "unknown key %q", key.String())
	}
	if len(c.problems) > 0 {
		return errors.Join(c.problems...)
	}
	return nil
}
