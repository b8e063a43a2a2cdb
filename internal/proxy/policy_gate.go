package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/wire"
)

// Policy is the fleet's policy as this sidecar has to do with it. A program without a part in a fleet, or whose operator's file names
// no deciders, has none.
type Policy interface {
	// Serves tells under which policy a request may be taken now; wait is how long it would have to wait for the next one, where
	// that is known. It reads the clock each time.
	Serves() (number uint64, wait time.Duration, ok bool)
	// Calls answers the staff's.
	Handler() http.Handler
}

// PolicyHeader tells the application under which policy its request was decided.
const PolicyHeader = "X-Policy"

// maxPolicyWait is how long a request waits for the next policy at most; a change takes a round trip between sidecars.
const maxPolicyWait = time.Second

// OwnSettingKeys are the settings that tell this sidecar of its place. A policy has none of them, and all others.
var OwnSettingKeys = []string{"ordinal", "peers_total", "my_zone", "areas", "models", "tier", "tiers", "discovery"}

// PolicyGate has requests taken under the policy in force alone.
type PolicyGate struct {
	policy Policy
	loop   *EventLoop

	mu          sync.Mutex
	ownSettings map[string]any           // this sidecar's place, of its own file
	checked     map[uint64]checkedPolicy // that it can run
}

type checkedPolicy struct {
	settings balance.Settings
	names    *wire.Names
	limits   wire.Limits
	document map[string]any // the document
}

// NewPolicyGate returns a gate whose policies stand beside the own place of a configuration. Its policy is set before it is used.
func NewPolicyGate(h *EventLoop, c *config.Config) *PolicyGate {
	g := &PolicyGate{loop: h, ownSettings: map[string]any{}, checked: map[uint64]checkedPolicy{}}
	settings := c.SettingsDocument()
	for _, key := range OwnSettingKeys {
		if v, told := settings[key]; told {
			g.ownSettings[key] = v
		}
	}
	return g
}

// SetPolicy sets the policy that the gate goes by. It is called before the gate is used.
func (g *PolicyGate) SetPolicy(policy Policy) { g.policy = policy }

// Policy is the policy that the gate goes by.
func (g *PolicyGate) Policy() Policy { return g.policy }

// Check reads a document whole, as it would be run here, and says what is wrong with it; "": nothing, and then it can be run.
func (g *PolicyGate) Check(number uint64, text []byte) (fault string) {
	p, err := g.read(text)
	if err == nil {
		if asked := g.loop.Do(g.loop.ctx, func() { err = g.loop.balancer.CanConfigure(p.settings) }); asked != nil {
			err = asked
		}
	}
	if err != nil {
		return err.Error()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checked[number] = p
	// A change comes behind the one in force; what lies further back is served no more.
	maps.DeleteFunc(g.checked, func(n uint64, _ checkedPolicy) bool { return n+8 < number })
	return ""
}

func (g *PolicyGate) read(text []byte) (p checkedPolicy, err error) {
	if err := json.Unmarshal(text, &p.document); err != nil {
		return p, fmt.Errorf("policy: %w", err)
	}
	merged := maps.Clone(p.document)
	for _, key := range OwnSettingKeys {
		if _, there := p.document[key]; there {
			return p, fmt.Errorf("policy: %s: is of each sidecar's own place, in its own file", key)
		}
	}
	maps.Copy(merged, g.ownSettings)
	object, err := json.Marshal(merged)
	if err != nil {
		return p, fmt.Errorf("policy: %w", err)
	}
	if p.settings, p.names, p.limits, err = wire.SettingsJSON(0, object); err != nil {
		return p, fmt.Errorf("policy: %w", err)
	}
	p.limits = config.LimitsWithDefaults(p.limits)
	return p, nil
}

// CheckPolicy says what is wrong with a policy for a sidecar of this configuration. A sidecar also holds it against what it has run
// since its start.
func CheckPolicy(c *config.Config, text []byte) error {
	p, err := NewPolicyGate(nil, c).read(text)
	if err != nil {
		return err
	}
	_, err = balance.New(p.settings, noActions{})
	return err
}

// noActions implements balance.Actions and does nothing.
type noActions struct{ balance.Actions }

// Timer implements balance.Actions.
func (noActions) Timer(time.Duration, uint64) {}

// adopt has the host go by a policy from now on. It is the loop's.
func (g *PolicyGate) adopt(number uint64) error {
	if g.loop.settings.Load().policy == number {
		return nil
	}
	g.mu.Lock()
	p, ready := g.checked[number]
	g.mu.Unlock()
	if !ready {
		return fmt.Errorf("policy %d is in force, and was not checked here", number)
	}
	places, err := g.loop.balancer.Configure(p.settings)
	if err != nil {
		return fmt.Errorf("policy %d: %w", number, err)
	}
	t := newRequestSettings(p.settings, p.names, places, g.loop.metrics)
	t.policy = number
	g.loop.settings.Store(t)
	g.loop.upstream.Configure(p.limits)
	g.loop.log.Info("goes by a policy", "number", number)
	return nil
}

// Enter waits until requests are taken, if that is soon, and has the host go by the policy in force. What it says may
// be over when it returns; holds is what counts.
func (g *PolicyGate) Enter(ctx context.Context, within time.Duration) bool {
	for end := time.Now().Add(min(within, maxPolicyWait)); ; {
		number, wait, ok := g.policy.Serves()
		switch {
		case ok && g.loop.settings.Load().policy == number:
			return true
		case ok:
			var err error
			if asked := g.loop.Do(ctx, func() { err = g.adopt(number) }); asked != nil {
				return false
			}
			if err != nil {
				g.loop.log.Error("no request is taken", "err", err)
				return false
			}
		case wait == 0 || time.Until(end) < wait:
			return false
		default:
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return false
			}
		}
	}
}

// isInForce tells whether a request that was read under a policy may be taken now. It is the loop's, called just before the request is
// taken. A process that stood still meanwhile sees that here.
func (g *PolicyGate) isInForce(number uint64) bool {
	now, _, ok := g.policy.Serves()
	return ok && now == number && g.loop.settings.Load().policy == number
}

// difference says how a file's settings differ from the policy that the host goes by; "": not at all.
func (g *PolicyGate) difference(c *config.Config) string {
	number := g.loop.settings.Load().policy
	g.mu.Lock()
	p := g.checked[number]
	g.mu.Unlock()
	file := c.SettingsDocument()
	for _, key := range slices.Sorted(maps.Keys(file)) {
		if !slices.Contains(OwnSettingKeys, key) && !reflect.DeepEqual(file[key], p.document[key]) {
			return fmt.Sprintf("settings.%s is another than in policy %d, which is in force: propose it", key, number)
		}
	}
	return ""
}

// errNotInForce says that a file's settings are not taken where the fleet's policy is.
var errNotInForce = errors.New("not the policy in force")

// formatPolicyNumber is the number that a response says; "": there is none.
func formatPolicyNumber(number uint64) string {
	if number == 0 {
		return ""
	}
	return strconv.FormatUint(number, 10)
}

// policyWait is how long a request's client waits, as far as its head says so.
func policyWait(r *http.Request) time.Duration {
	ms, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get("X-Timeout-Ms")), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond / 2
}
