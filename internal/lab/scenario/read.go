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

// Fault is one thing wrong with a scenario file.
type Fault struct {
	File   string
	Line   int // from 1; 0: the file as a whole
	Reason string
}

// Error implements error.
func (f Fault) Error() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

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
	c := &checker{file: file, lines: lineIndex(text)}
	if base, ok := extends(text); ok {
		if filepath.Base(base) != base || base == "" {
			c.fail("extends", "extends is %q, must be the name of a scenario beside this one", base)
			return nil, c.faults[0]
		}
		c.base = filepath.Join(filepath.Dir(file), base+".toml")
		under, err := os.ReadFile(c.base)
		if err != nil {
			c.fail("extends", "extends %q: %v", base, err)
			return nil, c.faults[0]
		}
		if _, ok := extends(string(under)); ok {
			c.fail("extends", "extends %q, which itself extends another: one step at most", base)
			return nil, c.faults[0]
		}
		c.under = lineIndex(string(under))
		if err := decode(c.base, string(under), s, &checker{file: c.base, lines: c.under}); err != nil {
			return nil, err
		}
		s.Trouble, s.Expect = nil, Expect{} // these are a day's own
		if _, ok := c.lines["load.rate"]; ok {
			s.Load.Use = 0 // one stands for the other
		}
		if _, ok := c.lines["load.use"]; ok {
			s.Load.Rate = 0
		}
	}
	if err := decode(file, text, s, c); err != nil {
		return nil, err
	}
	c.scenario(s)
	if len(c.faults) > 0 {
		return nil, errors.Join(c.faults...)
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

var typed = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// decode reads a text over what s holds. Its tables of an array replace all that s has there.
func decode(file, text string, s *Scenario, c *checker) error {
	// Danger: the decoder fills entries of an array over those that are there, and an absent key keeps the old value.
	for name, list := range map[string]any{"class": &s.Classes, "tenant": &s.Tenants, "trouble": &s.Trouble,
		"fleet.kind": &s.Fleet.Kinds} {
		if _, ok := c.lines[name]; ok {
			reflect.ValueOf(list).Elem().SetZero()
		}
	}
	meta, err := toml.Decode(text, s)
	if err != nil {
		var bad toml.ParseError
		if errors.As(err, &bad) {
			return Fault{file, bad.Position.Line, cmp.Or(bad.Message, bad.Error())}
		}
		// A value of the wrong type is told in words alone.
		if m := typed.FindStringSubmatch(err.Error()); m != nil {
			line, _ := strconv.Atoi(m[1])
			return Fault{file, line, m[2] + ": " + m[3]}
		}
		return Fault{file, 0, err.Error()}
	}
	for _, key := range meta.Undecoded() {
		c.fail(key.String(), "unknown key %q", key.String())
	}
	if len(c.faults) > 0 {
		return errors.Join(c.faults...)
	}
	return nil
}

// defaults are the values of a scenario that says nothing else: a deployment of mixed nodes in three zones.
func defaults() *Scenario {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return &Scenario{
		Length: ms(40000), Warmup: ms(2000), Seed: 1,
		Fleet: Fleet{Sidecars: 4, Nodes: 12, Zones: []string{"reykjavik", "akureyri", "egilsstadir"}, PodSize: 4,
			SlotsPerCore: 12, QueuePerCore: 30, ColdFrom: 0.4, Cold: ms(6000), FallMultiple: 4, Fall: ms(2000),
			ConnCap: 1500, HandshakeRTTs: 2, HandshakeWork: ms(2), IdleClose: ms(30000), Speeds: 0.1,
			CrowdAt: 6, Crowd: 0.3, StopsWork: true},
		Load:    Load{Wave: ms(20000), Keys: 1200, Zipf: 1},
		Clients: Clients{Backoff: ms(60), Growth: 2, Honour: 0.9, MostAfter: ms(2000), TryShare: 0.9},
		Network: Network{Same: Duration(250 * time.Microsecond), Cross: ms(8), Jitter: 0.2, Connect: ms(200)},
		Notice:  Notice{From: ms(500), To: ms(2500)},
	}
}

// checker gathers what is wrong.
type checker struct {
	file   string
	lines  map[string]int
	base   string // the file that this one extends
	under  map[string]int
	faults []error
}

// fail notes a fault at a key's line, here or in the file that is extended, or at its table's where the key is absent.
func (c *checker) fail(key, format string, args ...any) {
	fault := Fault{c.file, 0, fmt.Sprintf(format, args...)}
	for at := key; ; {
		if n, ok := c.lines[at]; ok {
			fault.Line = n
			break
		}
		if n, ok := c.under[at]; ok {
			fault.File, fault.Line = c.base, n
			break
		}
		cut := strings.LastIndexByte(at, '.')
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	c.faults = append(c.faults, fault)
}

// number checks that a value lies in a range.
func (c *checker) number(key string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.fail(key, "%s is %v, must be from %v to %v", key, v, low, high)
	}
}

// span checks that a time lies in a range.
func (c *checker) span(key string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.fail(key, "%s is %v, must be from %v to %v", key, d.Std(), low, high)
	}
}

const forever = 24 * time.Hour

func (c *checker) scenario(s *Scenario) {
	if s.Name == "" {
		c.fail("name", "name is missing")
	}
	if s.About == "" {
		c.fail("about", "about is missing: one line that says what the scenario is for")
	}
	c.span("length", s.Length, time.Second, time.Hour)
	c.span("warmup", s.Warmup, 0, s.Length.Std()/2)
	c.fleet(s.Fleet)
	if (s.Load.Rate > 0) == (s.Load.Use > 0) {
		c.fail("load", "load needs either rate (requests a second) or use (share of the fleet's capacity)")
	}
	c.number("load.rate", s.Load.Rate, 0, 1e6)
	c.number("load.use", s.Load.Use, 0, 20)
	c.number("load.swing", s.Load.Swing, 0, 0.95)
	c.span("load.wave", s.Load.Wave, time.Second, forever)
	c.number("load.skew", s.Load.Skew, 0, 3)
	c.number("load.keys", float64(s.Load.Keys), 1, 1e7)
	c.number("load.zipf", s.Load.Zipf, 0, 3)
	c.number("clients.retries", s.Clients.Retries, 0, 10)
	c.span("clients.backoff", s.Clients.Backoff, 0, forever)
	c.number("clients.growth", s.Clients.Growth, 1, 10)
	c.number("clients.honour", s.Clients.Honour, 0, 1)
	c.span("clients.most_after", s.Clients.MostAfter, 0, forever)
	c.number("clients.impatient", s.Clients.Impatient, 0, 1)
	c.number("clients.try_share", s.Clients.TryShare, 0.05, 1)
	c.span("network.same", s.Network.Same, 0, time.Second)
	c.span("network.cross", s.Network.Cross, 0, time.Second)
	c.number("network.jitter", s.Network.Jitter, 0, 1)
	c.span("network.connect", s.Network.Connect, time.Millisecond, time.Minute)
	c.span("notice.from", s.Notice.From, 0, time.Minute)
	c.span("notice.to", s.Notice.To, s.Notice.From.Std(), time.Minute)
	c.classes(s)
	sum := 0.0
	for i, t := range s.Tenants {
		at := fmt.Sprintf("tenant[%d].", i)
		if t.Name == "" {
			c.fail(at+"name", "tenant %d has no name", i+1)
		}
		c.number(at+"share", t.Share, 0, 1)
		c.number(at+"allowance", t.Allowance, 0, 1e6)
		sum += t.Share
	}
	if len(s.Tenants) > 0 && math.Abs(sum-1) > 0.001 {
		c.fail("tenant", "the tenants' shares add up to %.3f, not to 1", sum)
	}
	for i, t := range s.Trouble {
		c.trouble(s, t, fmt.Sprintf("trouble[%d].", i))
	}
	e := s.Expect
	for _, v := range []struct {
		key   string
		value float64
	}{{"in_time", e.InTime}, {"worst_10s", e.Worst10s}, {"failed", e.Failed}, {"useful", e.Useful}} {
		c.number("expect."+v.key, v.value, 0, 1)
	}
	c.number("expect.attempts", e.Attempts, 0, 100)
	c.span("expect.recover", e.Recover, 0, forever)
}

func (c *checker) fleet(f Fleet) {
	c.number("fleet.sidecars", float64(f.Sidecars), 1, 5000)
	c.number("fleet.nodes", float64(f.Nodes), 1, 5000)
	c.number("fleet.pod_size", float64(f.PodSize), 1, 5000)
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
		c.number(at+"share", k.Share, 0, 1)
		c.number(at+"cores", float64(k.Cores), 1, 1024)
		c.number(at+"speed", k.Speed, 0.01, 100)
		sum += k.Share
	}
	if len(f.Kinds) > 0 && math.Abs(sum-1) > 0.001 {
		c.fail("fleet.kind", "the kinds' shares add up to %.3f, not to 1", sum)
	}
	c.number("fleet.slots_per_core", f.SlotsPerCore, 1, 1000)
	c.number("fleet.queue_per_core", f.QueuePerCore, 0, 1e9)
	c.number("fleet.cold_from", f.ColdFrom, 0.01, 1)
	c.span("fleet.cold", f.Cold, 0, time.Hour)
	c.number("fleet.fall_multiple", f.FallMultiple, 1, 100)
	c.span("fleet.fall", f.Fall, time.Millisecond, time.Hour)
	c.number("fleet.conn_cap", float64(f.ConnCap), 1, 1e6)
	c.number("fleet.handshake_rtts", f.HandshakeRTTs, 0, 10)
	c.span("fleet.handshake_work", f.HandshakeWork, 0, time.Second)
	c.span("fleet.idle_close", f.IdleClose, time.Millisecond, forever)
	c.number("fleet.key_gain", f.KeyGain, 0, 0.95)
	c.span("fleet.key_for", f.KeyFor, 0, forever)
	c.number("fleet.keys_per_core", float64(f.KeysPerCore), 0, 1e6)
	c.number("fleet.speed_cv", f.Speeds, 0, 0.5)
	c.number("fleet.crowd_at", f.CrowdAt, 0, 1e6)
	c.number("fleet.crowd", f.Crowd, 0, 10)
	c.number("fleet.choke_at", f.ChokeAt, 0, 1e6)
	if f.ChokeAt > 0 {
		c.number("fleet.choke_slower", f.ChokeSlower, 1, 100)
		c.span("fleet.choke_over", f.ChokeOver, time.Millisecond, time.Hour)
		c.span("fleet.choke_rest", f.ChokeRest, time.Millisecond, time.Hour)
		c.span("fleet.choke_most", f.ChokeMost, time.Millisecond, time.Hour)
	}
}

func (c *checker) classes(s *Scenario) {
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
		c.number(at+"share", k.Share, 0, 1)
		c.span(at+"work", k.Work, time.Microsecond, time.Minute)
		c.number(at+"cv", k.CV, 0, 10)
		c.span(at+"aim", k.Aim, time.Millisecond, time.Hour)
		c.span(at+"deadline", k.Deadline, k.Aim.Std(), time.Hour)
		c.number(at+"worth", k.Worth, 0, 1e6)
		if !slices.Contains([]string{"idempotent", "deduplicated", "at_most_once"}, k.Effect) {
			c.fail(at+"effect", "%seffect is %q, must be idempotent, deduplicated or at_most_once", at, k.Effect)
		}
		if k.Effect == "deduplicated" {
			if !slices.Contains([]string{"all", "zone", "cell"}, k.Scope) {
				c.fail(at+"scope", "%sscope is %q, must be all, zone or cell", at, k.Scope)
			}
			c.span(at+"window", k.Window, time.Second, forever)
		} else if k.Scope != "" || k.Window != 0 {
			c.fail(at+"scope", "scope and window go with effect = \"deduplicated\" only")
		}
		sum += k.Share
	}
	if math.Abs(sum-1) > 0.001 {
		c.fail("class", "the classes' shares add up to %.3f, not to 1", sum)
	}
}

func (c *checker) trouble(s *Scenario, t Trouble, at string) {
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
	c.span(at+"at", t.At, 0, s.Length.Std())
	if n.lasts {
		c.span(at+"for", t.For, time.Millisecond, forever)
	}
	for _, v := range []struct {
		key   string
		need  bool
		given bool
	}{{"part", n.part, t.Part != 0}, {"size", n.size, t.Size != 0}, {"class", n.class, t.Class != ""},
		{"drain", n.drain, t.Drain != 0}, {"for", n.lasts, t.For != 0}} {
		if v.given && !v.need {
			c.fail(at+v.key, "trouble %q takes no %s", t.Kind, v.key)
		}
	}
	if n.part {
		c.number(at+"part", t.Part, 0.0001, 1)
	}
	if n.size {
		high := 1000.0
		if slices.Contains(sizedByShare, t.Kind) {
			high = 1 // a share
		}
		c.number(at+"size", t.Size, 0.0001, high)
	}
	if n.class && !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == t.Class }) {
		c.fail(at+"class", "trouble %q names class %q, which the scenario does not have", t.Kind, t.Class)
	}
	if (n.zone || t.Zone != "") && !slices.Contains(s.Fleet.Zones, t.Zone) {
		c.fail(at+"zone", "trouble %q names zone %q, which the fleet does not have", t.Kind, t.Zone)
	}
	if n.drain {
		c.span(at+"drain", t.Drain, 0, t.For.Std())
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
