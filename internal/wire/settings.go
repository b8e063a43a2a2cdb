package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"milletramp.example/milletramp/balance"
)

// Names maps the names that requests carry to indexes into the settings.
type Names struct {
	Class  map[string]int
	Tenant map[string]int
}

// Limits are what the settings tell the host rather than the module.
type Limits struct {
	ConnectTimeout time.Duration // a connection not up within it has failed; 0: not told
	IdleClose      time.Duration // servers close idle connections after it; 0: not told
	MostHeld       int           // requests held at once; 0: not told
	MaxRetryAfter  time.Duration // the longest wait that a client honours; 0: not told
}

// settingsReader is the settings as values by their paths. The first malformed value is kept in fault.
type settingsReader struct {
	values map[string]string
	lists  map[string][]string // lists of plain values, where they come unjoined
	quoted map[string]bool     // values that JSON gives as strings, which are no numbers whatever they spell
	err    error
}

func (c *settingsReader) fail(key, want string) {
	if c.err == nil {
		c.err = fmt.Errorf("setting %s is %q, want %s", key, c.values[key], want)
	}
}

// require fails for a required key that is missing.
func (c *settingsReader) require(key string) string {
	v, ok := c.values[key]
	if !ok && c.err == nil {
		c.err = fmt.Errorf("setting %s is missing", key)
	}
	return v
}

func (c *settingsReader) float(key string) float64 {
	v, ok := c.values[key]
	if !ok || v == "-" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || c.quoted[key] || math.IsNaN(f) || math.Abs(f) > 1e12 {
		c.fail(key, "a number")
		return 0
	}
	return f
}

func (c *settingsReader) integer(key string) int {
	f := c.float(key)
	if f != math.Trunc(f) || math.Abs(f) > math.MaxInt32 {
		c.fail(key, "a whole number")
	}
	return int(f)
}

func (c *settingsReader) duration(key string) time.Duration { return seconds(c.float(key)) }

func (c *settingsReader) boolean(key string) bool {
	switch c.values[key] {
	case "true", "1":
		return true
	case "", "-", "false", "0":
	default:
		c.fail(key, "true or false")
	}
	return false
}

func (c *settingsReader) list(key string) []string {
	if v := c.values[key]; v != "" && v != "-" {
		return strings.Split(v, ",")
	}
	return c.lists[key]
}

// lookup maps a word to its meaning.
func lookup[T any](c *settingsReader, key string, words map[string]T) T {
	v, ok := words[c.values[key]]
	if !ok {
		c.fail(key, "one of the known words")
	}
	return v
}

// maxListLength bounds the length of a settings list that a line may claim.
const maxListLength = 4096

func (c *settingsReader) listLength(key string) int {
	n := c.integer(key)
	if n < 0 || n > maxListLength {
		c.fail(key, "a small count")
		return 0
	}
	return n
}

// parseSettings reads an instance's settings line. Unknown ones are skipped.
func parseSettings(seed uint64, pairs [][]byte) (balance.Settings, *Names, error) {
	c := &settingsReader{values: make(map[string]string, len(pairs))}
	for _, p := range pairs {
		if key, value, ok := strings.Cut(string(p), "="); ok {
			c.values[key] = value
		} else if len(p) > 0 {
			return balance.Settings{}, nil, fmt.Errorf("setting %q is no key=value pair", p)
		}
	}
	s, names := c.readSettings(seed)
	return s, names, c.err
}

// SettingsJSON reads the same settings from a nested JSON object, by the same paths and words.
func SettingsJSON(seed uint64, object []byte) (balance.Settings, *Names, Limits, error) {
	c := &settingsReader{values: map[string]string{}, lists: map[string][]string{}, quoted: map[string]bool{}}
	d := json.NewDecoder(bytes.NewReader(object))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return balance.Settings{}, nil, Limits{}, fmt.Errorf("settings: %w", err)
	}
	c.flatten("", tree)
	s, names := c.readSettings(seed)
	limits := Limits{ConnectTimeout: c.nonNegativeDuration("limits.connect_timeout_s"), IdleClose: c.nonNegativeDuration("limits.idle_close_s"),
		MostHeld: c.integer("limits.most_held"), MaxRetryAfter: c.nonNegativeDuration("limits.max_retry_after_s")}
	if limits.MostHeld < 0 {
		c.fail("limits.most_held", "a number from 0 up")
	}
	return s, names, limits, c.err
}

// nonNegativeDuration is a duration that cannot be negative.
func (c *settingsReader) nonNegativeDuration(key string) time.Duration {
	d := c.duration(key)
	if d < 0 {
		c.fail(key, "a number from 0 up")
	}
	return d
}

// requirePositive fails for a number that is not above 0.
func (c *settingsReader) requirePositive(key string) {
	if c.require(key); c.float(key) <= 0 {
		c.fail(key, "a number above 0")
	}
}

// flatten stores a JSON value under its path, as the text wire spells it.
func (c *settingsReader) flatten(path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			c.flatten(strings.TrimPrefix(path+"."+key, "."), inner)
		}
	case []any:
		c.values[path+".count"] = strconv.Itoa(len(v))
		for i, inner := range v {
			c.flatten(path+"."+strconv.Itoa(i), inner)
			// Kept apart rather than joined: a name may hold a comma.
			c.lists[path] = append(c.lists[path], fmt.Sprint(inner))
		}
	case nil: // as if absent
	case string:
		c.values[path], c.quoted[path] = v, true
	default:
		c.values[path] = fmt.Sprint(v)
	}
}

// readSettings reads what the module is told.
func (c *settingsReader) readSettings(seed uint64) (balance.Settings, *Names) {
	for _, key := range []string{"peers_total", "ordinal", "request_classes.count", "limits.try_limit", "my_zone"} {
		c.require(key)
	}
	c.requirePositive("limits.try_limit")
	s := balance.Settings{
		Seed: seed, Ordinal: c.integer("ordinal"), Peers: c.integer("peers_total"), Zone: c.values["my_zone"],
		Zones: c.list("areas"), Kinds: c.list("models"),
		MaxAttempts: c.integer("limits.try_limit"), CancelAllowed: c.boolean("limits.cancelling"),
		HedgingAllowed: c.boolean("limits.second_copies"),
		PollDiscovery:  lookup(c, "discovery", map[string]bool{"pushed": false, "on_request": true}),
		MaxListAge:     c.duration("rules.must_ask_in_s"), SlowStartWindow: c.duration("rules.cold_s"),
		SlowStartCapacity: c.float("rules.start_capacity"), OverloadMultiple: c.float("rules.fall_multiple"),
		OverloadWindow: c.duration("rules.fall_s"), CrossZoneCharge: c.float("charges.cross_zone"),
	}
	if tiers := c.list("tiers"); c.integer("tier") >= 0 && c.integer("tier") < len(tiers) {
		s.Service = tiers[c.integer("tier")]
	}
	names := &Names{Class: map[string]int{}, Tenant: map[string]int{}}
	for i := range c.listLength("request_classes.count") {
		at := "request_classes." + strconv.Itoa(i) + "."
		c.requirePositive(at + "deadline_s")
		s.Classes = append(s.Classes, balance.Class{
			Name: c.require(at + "name"),
			Effect: lookup(c, at+"effect", map[string]balance.Effect{"idempotent": balance.Idempotent,
				"deduplicated": balance.Deduplicated, "at_most_once": balance.AtMostOnce}),
			Scope: lookup(c, at+"group", map[string]balance.Scope{"": balance.ScopePodGroup, "-": balance.ScopePodGroup,
				"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopePodGroup}),
			DedupeWindow: c.duration(at + "window_s"), LatencyObjective: c.duration(at + "aim_s"),
			Deadline: c.duration(at + "deadline_s"), Priority: c.float(at + "credit"),
			LateShare: c.float(at + "late_value"),
		})
		names.Class[s.Classes[i].Name] = i
	}
	for i := range c.listLength("tenants.count") {
		at := "tenants." + strconv.Itoa(i) + "."
		s.Tenants = append(s.Tenants, balance.Tenant{Name: c.require(at + "name"),
			Allowance: c.float(at + "allowance_per_s")})
		names.Tenant[s.Tenants[i].Name] = i
	}
	return s, names
}
