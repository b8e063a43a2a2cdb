package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// FileError is one thing wrong with a scenario file.
type FileError struct {
	File   string
	Line   int // from 1; 0: the file as a whole
	Reason string
}

// Error implements error.
func (f FileError) Error() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

// Read reads and checks the scenario in a file. Its error joins a Fault for each thing that is wrong.
func Read(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(file, string(text))
}

// Parse reads and checks a scenario's text; file names it in errors. What it extends is read from beside the file.
func Parse(file, text string) (*Scenario, error) {
	s := defaults()
	c := &validator{file: file, lines: lineIndex(text)}
	if base, ok := extends(text); ok {
		if filepath.Base(base) != base || base == "" {
			c.fail("extends", "extends is %q, must be the name of a scenario beside this one", base)
			return nil, c.problems[0]
		}
		c.baseFile = filepath.Join(filepath.Dir(file), base+".toml")
		under, err := os.ReadFile(c.baseFile)
		if err != nil {
			c.fail("extends", "extends %q: %v", base, err)
			return nil, c.problems[0]
		}
		if _, ok := extends(string(under)); ok {
			c.fail("extends", "extends %q, which itself extends another: one step at most", base)
			return nil, c.problems[0]
		}
		c.baseLines = lineIndex(string(under))
		if err := decode(c.baseFile, string(under), s, &validator{file: c.baseFile, lines: c.baseLines}); err != nil {
			return nil, err
		}
		s.Faults, s.Expect = nil, Expect{} // these are a day's own
		if _, ok := c.lines["load.rate"]; ok {
			s.Load.Utilization = 0 // one stands for the other
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

// extends is the scenario that a text extends, as far as the text can be read.
func extends(text string) (string, bool) {
	var head struct {
		Extends *string `toml:"extends"`
	}
	if _, err := toml.Decode(text, &head); err != nil || head.Extends == nil {
		return "", false // what cannot be read is said when the whole is
	}
	return *head.Extends, true
}

var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// decode reads a text over what s holds. Its tables of an array replace all that s has there.
func decode(file, text string, s *Scenario, c *validator) error {
	// Danger: the decoder fills entries of an array over those that are there, and an absent key keeps the old value.
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
		// A value of the wrong type is told in words alone.
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

// defaults are the values of a scenario that says nothing else: a deployment of mixed nodes in three zones.
func defaults() *Scenario {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return &Scenario{
		Length: ms(40000),
		Warmup: ms(2000),
		Seed:   1,
		Fleet: Fleet{
			Sidecars: 4, Nodes: 12, Zones: []string{"reykjavik", "akureyri", "egilsstadir"}, PodSize: 4,
			SlotsPerCore: 12, QueuePerCore: 30,
			SlowStartCapacity: 0.4, SlowStartWindow: ms(6000),
			OverloadMultiple: 4, OverloadWindow: ms(2000),
			MaxConns: 1500, HandshakeRTTs: 2, HandshakeWork: ms(2), IdleClose: ms(30000),
			SpeedCV: 0.1, ContentionAt: 6, ContentionCost: 0.3, StopsCancelled: true,
		},
		Load: Load{SwingPeriod: ms(20000), Keys: 1200, Zipf: 1},
		Clients: Clients{
			Backoff: ms(60), BackoffGrowth: 2, HonourShare: 0.9, MaxRetryAfter: ms(2000), TimeoutShare: 0.9,
		},
		Network: Network{
			SameZone: Duration(250 * time.Microsecond), CrossZone: ms(8), Jitter: 0.2, ConnectTimeout: ms(200),
		},
		DiscoveryDelay: DiscoveryDelay{From: ms(500), To: ms(2500)},
	}
}

// validator gathers what is wrong.
type validator struct {
	file      string
	lines     map[string]int
	baseFile  string // the file that this one extends
	baseLines map[string]int
	problems  []error
}

// fail notes a fault at a key's line, here or in the file that is extended, or at its table's where the key is absent.
func (c *validator) fail(key, format string, args ...any) {
	fault := FileError{c.file, 0, fmt.Sprintf(format, args...)}
	for at := key; ; {
		if n, ok := c.lines[at]; ok {
			fault.Line = n
			break
		}
		if n, ok := c.baseLines[at]; ok {
			fault.File, fault.Line = c.baseFile, n
			break
		}
		cut := strings.LastIndexByte(at, '.')
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	c.problems = append(c.problems, fault)
}

// checkNumber checks that a value lies in a range.
func (c *validator) checkNumber(key string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.fail(key, "%s is %v, must be from %v to %v", key, v, low, high)
	}
}

// checkDuration checks that a time lies in a range.
func (c *validator) checkDuration(key string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.fail(key, "%s is %v, must be from %v to %v", key, d.Std(), low, high)
	}
}

const maxDuration = 24 * time.Hour

func (c *validator) checkScenario(s *Scenario) {
	if s.Name == "" {
		c.fail("name", "name is missing")
	}
	if s.About == "" {
		c.fail("about", "about is missing: one line that says what the scenario is for")
	}
	c.checkDuration("length", s.Length, time.Second, time.Hour)
	c.checkDuration("warmup", s.Warmup, 0, s.Length.Std()/2)
	c.checkFleet(s.Fleet)
	if (s.Load.Rate > 0) == (s.Load.Utilization > 0) {
		c.fail("load", "load needs either rate (requests a second) or use (share of the fleet's capacity)")
	}
	c.checkNumber("load.rate", s.Load.Rate, 0, 1e6)
	c.checkNumber("load.use", s.Load.Utilization, 0, 20)
	c.checkNumber("load.swing", s.Load.Swing, 0, 0.95)
	c.checkDuration("load.wave", s.Load.SwingPeriod, time.Second, maxDuration)
	c.checkNumber("load.skew", s.Load.Skew, 0, 3)
	c.checkNumber("load.keys", float64(s.Load.Keys), 1, 1e7)
	c.checkNumber("load.zipf", s.Load.Zipf, 0, 3)
	c.checkNumber("clients.retries", s.Clients.Retries, 0, 10)
	c.checkDuration("clients.backoff", s.Clients.Backoff, 0, maxDuration)
	c.checkNumber("clients.growth", s.Clients.BackoffGrowth, 1, 10)
	c.checkNumber("clients.honour", s.Clients.HonourShare, 0, 1)
	c.checkDuration("clients.most_after", s.Clients.MaxRetryAfter, 0, maxDuration)
	c.checkNumber("clients.impatient", s.Clients.ImpatientShare, 0, 1)
	c.checkNumber("clients.try_share", s.Clients.TimeoutShare, 0.05, 1)
	c.checkDuration("network.same", s.Network.SameZone, 0, time.Second)
	c.checkDuration("network.cross", s.Network.CrossZone, 0, time.Second)
	c.checkNumber("network.jitter", s.Network.Jitter, 0, 1)
	c.checkDuration("network.connect", s.Network.ConnectTimeout, time.Millisecond, time.Minute)
	c.checkDuration("notice.from", s.DiscoveryDelay.From, 0, time.Minute)
	c.checkDuration("notice.to", s.DiscoveryDelay.To, s.DiscoveryDelay.From.Std(), time.Minute)
	c.checkClasses(s)
	sum := 0.0
	for i, t := range s.Tenants {
		at := fmt.Sprintf("tenant[%d].", i)
		if t.Name == "" {
			c.fail(at+"name", "tenant %d has no name", i+1)
		}
		c.checkNumber(at+"share", t.Share, 0, 1)
		c.checkNumber(at+"allowance", t.Allowance, 0, 1e6)
		sum += t.Share
	}
	if len(s.Tenants) > 0 && math.Abs(sum-1) > 0.001 {
		c.fail("tenant", "the tenants' shares add up to %.3f, not to 1", sum)
	}
	for i, t := range s.Faults {
		c.checkFault(s, t, fmt.Sprintf("trouble[%d].", i))
	}
	e := s.Expect
	for _, v := range []struct {
		key   string
		value float64
	}{{"in_time", e.InTime}, {"worst_10s", e.Worst10s}, {"failed", e.Failed}, {"useful", e.Useful}} {
		c.checkNumber("expect."+v.key, v.value, 0, 1)
	}
	c.checkNumber("expect.attempts", e.Attempts, 0, 100)
	c.checkDuration("expect.recover", e.Recover, 0, maxDuration)
}

func (c *validator) checkFleet(f Fleet) {
	c.checkNumber("fleet.sidecars", float64(f.Sidecars), 1, 5000)
	c.checkNumber("fleet.nodes", float64(f.Nodes), 1, 5000)
	c.checkNumber("fleet.pod_size", float64(f.PodSize), 1, 5000)
	if len(f.Zones) == 0 {
		c.fail("fleet.zones", "fleet.zones is empty")
	}
	if len(f.Kinds) == 0 {
		c.fail("fleet", "the fleet has no [[fleet.kind]]")
	}
	sum := 0.0
	for i, k := range f.Kinds {
		at := fmt.Sprintf("fleet.kind[%d].", i)
		if k.Name == "" {
			c.fail(at+"name", "kind %d has no name", i+1)
		}
		c.checkNumber(at+"share", k.Share, 0, 1)
		c.checkNumber(at+"cores", float64(k.Cores), 1, 1024)
		c.checkNumber(at+"speed", k.Speed, 0.01, 100)
		sum += k.Share
	}
	if len(f.Kinds) > 0 && math.Abs(sum-1) > 0.001 {
		c.fail("fleet.kind", "the kinds' shares add up to %.3f, not to 1", sum)
	}
	c.checkNumber("fleet.slots_per_core", f.SlotsPerCore, 1, 1000)
	c.checkNumber("fleet.queue_per_core", f.QueuePerCore, 0, 1e9)
	c.checkNumber("fleet.cold_from", f.SlowStartCapacity, 0.01, 1)
	c.checkDuration("fleet.cold", f.SlowStartWindow, 0, time.Hour)
	c.checkNumber("fleet.fall_multiple", f.OverloadMultiple, 1, 100)
	c.checkDuration("fleet.fall", f.OverloadWindow, time.Millisecond, time.Hour)
	c.checkNumber("fleet.conn_cap", float64(f.MaxConns), 1, 1e6)
	c.checkNumber("fleet.handshake_rtts", f.HandshakeRTTs, 0, 10)
	c.checkDuration("fleet.handshake_work", f.HandshakeWork, 0, time.Second)
	c.checkDuration("fleet.idle_close", f.IdleClose, time.Millisecond, maxDuration)
	c.checkNumber("fleet.key_gain", f.CacheSaving, 0, 0.95)
	c.checkDuration("fleet.key_for", f.CacheTTL, 0, maxDuration)
	c.checkNumber("fleet.keys_per_core", float64(f.CacheKeysPerCore), 0, 1e6)
	c.checkNumber("fleet.speed_cv", f.SpeedCV, 0, 0.5)
	c.checkNumber("fleet.crowd_at", f.ContentionAt, 0, 1e6)
	c.checkNumber("fleet.crowd", f.ContentionCost, 0, 10)
	c.checkNumber("fleet.choke_at", f.CollapseAt, 0, 1e6)
	if f.CollapseAt > 0 {
		c.checkNumber("fleet.choke_slower", f.CollapseSlowdown, 1, 100)
		c.checkDuration("fleet.choke_over", f.CollapseAfter, time.Millisecond, time.Hour)
		c.checkDuration("fleet.choke_rest", f.RecoverAfter, time.Millisecond, time.Hour)
		c.checkDuration("fleet.choke_most", f.MaxCollapse, time.Millisecond, time.Hour)
	}
}

func (c *validator) checkClasses(s *Scenario) {
	if len(s.Classes) == 0 {
		c.fail("class", "there is no [[class]]")
		return
	}
	sum := 0.0
	for i, k := range s.Classes {
		at := fmt.Sprintf("class[%d].", i)
		if k.Name == "" {
			c.fail(at+"name", "class %d has no name", i+1)
		}
		c.checkNumber(at+"share", k.Share, 0, 1)
		c.checkDuration(at+"work", k.Work, time.Microsecond, time.Minute)
		c.checkNumber(at+"cv", k.CV, 0, 10)
		c.checkDuration(at+"aim", k.LatencyObjective, time.Millisecond, time.Hour)
		c.checkDuration(at+"deadline", k.Deadline, k.LatencyObjective.Std(), time.Hour)
		c.checkNumber(at+"worth", k.Priority, 0, 1e6)
		if !slices.Contains([]string{"idempotent", "deduplicated", "at_most_once"}, k.Effect) {
			c.fail(at+"effect", "%seffect is %q, must be idempotent, deduplicated or at_most_once", at, k.Effect)
		}
		if k.Effect == "deduplicated" {
			if !slices.Contains([]string{"all", "zone", "cell"}, k.Scope) {
				c.fail(at+"scope", "%sscope is %q, must be all, zone or cell", at, k.Scope)
			}
			c.checkDuration(at+"window", k.DedupeWindow, time.Second, maxDuration)
		} else if k.Scope != "" || k.DedupeWindow != 0 {
			c.fail(at+"scope", "scope and window go with effect = \"deduplicated\" only")
		}
		sum += k.Share
	}
	if math.Abs(sum-1) > 0.001 {
		c.fail("class", "the classes' shares add up to %.3f, not to 1", sum)
	}
}

func (c *validator) checkFault(s *Scenario, t Fault, at string) {
	n, ok := faultKinds[t.Kind]
	if !ok {
		names := make([]string, 0, len(faultKinds))
		for k := range faultKinds {
			names = append(names, k)
		}
		slices.Sort(names)
		c.fail(at+"kind", "unknown trouble %q, known are %s", t.Kind, strings.Join(names, ", "))
		return
	}
	c.checkDuration(at+"at", t.At, 0, s.Length.Std())
	if n.lasts {
		c.checkDuration(at+"for", t.Length, time.Millisecond, maxDuration)
	}
	for _, v := range []struct {
		key   string
		need  bool
		given bool
	}{{"part", n.part, t.Share != 0}, {"size", n.size, t.Size != 0}, {"class", n.class, t.Class != ""},
		{"drain", n.drain, t.Drain != 0}, {"for", n.lasts, t.Length != 0}} {
		if v.given && !v.need {
			c.fail(at+v.key, "trouble %q takes no %s", t.Kind, v.key)
		}
	}
	if n.part {
		c.checkNumber(at+"part", t.Share, 0.0001, 1)
	}
	if n.size {
		high := 1000.0
		if slices.Contains(sizedByShare, t.Kind) {
			high = 1 // a share
		}
		c.checkNumber(at+"size", t.Size, 0.0001, high)
	}
	if n.class && !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == t.Class }) {
		c.fail(at+"class", "trouble %q names class %q, which the scenario does not have", t.Kind, t.Class)
	}
	if (n.zone || t.Zone != "") && !slices.Contains(s.Fleet.Zones, t.Zone) {
		c.fail(at+"zone", "trouble %q names zone %q, which the fleet does not have", t.Kind, t.Zone)
	}
	if n.drain {
		c.checkDuration(at+"drain", t.Drain, 0, t.Length.Std())
	}
}

// lineIndex maps each key and table of a TOML text, by its path with the number of an array's entry in brackets, to its
// line. It knows tables, arrays of tables and plain keys, which is all that a scenario has.
func lineIndex(text string) map[string]int {
	index, counts := map[string]int{}, map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.TrimSpace(strings.TrimPrefix(line[:strings.IndexByte(line+"]", ']')], "[["))
			if _, ok := index[name]; !ok {
				index[name] = i + 1
			}
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			index[table] = i + 1
			table += "."
		case strings.HasPrefix(line, "["):
			name := strings.TrimSpace(strings.TrimPrefix(line[:strings.IndexByte(line+"]", ']')], "["))
			index[name] = i + 1
			table = name + "."
		default:
			key, _, ok := strings.Cut(line, "=")
			if key = strings.TrimSpace(key); ok && key != "" && key[0] != '#' {
				index[table+key] = i + 1
				if plain := unnumbered(table) + key; index[plain] == 0 { // as the decoder names what it does not know
					index[plain] = i + 1
				}
			}
		}
	}
	return index
}

// unnumbered takes the entries' numbers out of a path.
func unnumbered(path string) string {
	for {
		open := strings.IndexByte(path, '[')
		if open < 0 {
			return path
		}
		path = path[:open] + path[strings.IndexByte(path, ']')+1:]
	}
}
