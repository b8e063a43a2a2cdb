package proxy

import (
	"context"
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

	"milletramp.example/milletramp/internal/config"
)

// PolicyHeader tells the application under which policy its request was decided.
const PolicyHeader = "X-Policy"

const (
	// maxPolicyWait is how long a request waits for the next policy at most. A change takes a round trip between
	// sidecars.
	maxPolicyWait = time.Second
	// policyRetention is how many numbers back a checked policy may still come into force.
	policyRetention = 8
)

// errNotInForce is the error of a file whose settings are not those of the fleet's policy.
var errNotInForce = errors.New("not the policy in force")

// Policy is the fleet's policy, as far as requests have to do with it.
type Policy interface {
	// Serves returns the number of the policy under which a request may be taken now. If none may be, wait is how long
	// it would have to wait for the next one; 0: that is not known. It reads the clock each time.
	Serves() (number uint64, wait time.Duration, ok bool)
	// Handler answers operators' calls on the policy.
	Handler() http.Handler
}

// PolicyGate has requests taken only under the policy in force. Its loop runs a policy that the gate has checked.
type PolicyGate struct {
	policy Policy
	loop   *EventLoop

	mu            sync.Mutex
	localSettings map[string]any           // of the file, by LocalSettingKeys
	checked       map[uint64]checkedPolicy // by number
}

// NewPolicyGate returns a gate for a sidecar of this configuration. SetPolicy is called before it is used.
func NewPolicyGate(loop *EventLoop, c *config.Config) *PolicyGate {
	g := &PolicyGate{loop: loop, localSettings: map[string]any{}, checked: map[uint64]checkedPolicy{}}
	settings := c.SettingsDocument()
	for _, key := range LocalSettingKeys {
		if value, ok := settings[key]; ok {
			g.localSettings[key] = value
		}
	}
	return g
}

// SetPolicy sets the policy that the gate goes by. It is called before the gate is used.
func (g *PolicyGate) SetPolicy(policy Policy) { g.policy = policy }

// Policy returns the policy that the gate goes by.
func (g *PolicyGate) Policy() Policy { return g.policy }

// Check reads a document as it would be run here, and returns what is wrong with it. If that is "", the loop can run
// the policy under its number.
func (g *PolicyGate) Check(number uint64, text []byte) (fault string) {
	policy, err := g.parse(text)
	if err == nil {
		err = g.canConfigure(policy)
	}
	if err != nil {
		return err.Error()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checked[number] = policy
	maps.DeleteFunc(g.checked, func(n uint64, _ checkedPolicy) bool { return n+policyRetention < number })
	return ""
}

// canConfigure asks the Balancer whether it can take the settings of a policy.
func (g *PolicyGate) canConfigure(policy checkedPolicy) error {
	var err error
	loopErr := g.loop.Do(g.loop.ctx, func() { err = g.loop.balancer.CanConfigure(policy.settings) })
	if loopErr != nil {
		return loopErr
	}
	return err
}

// Await waits until requests are taken, if that is soon, and has the loop run the policy in force. What it reports may
// be over when it returns; isInForce is what counts.
func (g *PolicyGate) Await(ctx context.Context, maxWait time.Duration) bool {
	deadline := time.Now().Add(min(maxWait, maxPolicyWait))
	for {
		number, wait, ok := g.policy.Serves()
		if ok {
			if g.loop.PolicyNumber() == number {
				return true
			}
			if !g.apply(ctx, number) {
				return false
			}
			continue
		}
		if wait == 0 || time.Until(deadline) < wait {
			return false
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
}

// apply has the loop run a policy, and reports whether it does.
func (g *PolicyGate) apply(ctx context.Context, number uint64) bool {
	var err error
	if loopErr := g.loop.Do(ctx, func() { err = g.applyOnLoop(number) }); loopErr != nil {
		return false
	}
	if err != nil {
		g.loop.log.Error("no request is taken", "err", err)
		return false
	}
	return true
}

// applyOnLoop has the loop run a policy from now on. It is called on the loop.
func (g *PolicyGate) applyOnLoop(number uint64) error {
	if g.loop.PolicyNumber() == number {
		return nil
	}
	g.mu.Lock()
	policy, ok := g.checked[number]
	g.mu.Unlock()
	if !ok {
		return fmt.Errorf("policy %d is in force, and was not checked here", number)
	}
	indexes, err := g.loop.balancer.Configure(policy.settings)
	if err != nil {
		return fmt.Errorf("policy %d: %w", number, err)
	}
	settings := newRequestSettings(policy.settings, policy.names, indexes, g.loop.metrics)
	settings.policy = number
	g.loop.settings.Store(settings)
	g.loop.upstream.Configure(policy.limits)
	g.loop.log.Info("goes by a policy", "number", number)
	return nil
}

// isInForce reports whether a request that was read under a policy may be taken now. It is called on the loop just
// before the request is taken, so that a process that stood still meanwhile sees it.
func (g *PolicyGate) isInForce(number uint64) bool {
	current, _, ok := g.policy.Serves()
	return ok && current == number && g.loop.PolicyNumber() == number
}

// difference returns how the settings of a file differ from the policy that the loop runs; "": not at all.
func (g *PolicyGate) difference(c *config.Config) string {
	number := g.loop.PolicyNumber()
	g.mu.Lock()
	policy := g.checked[number]
	g.mu.Unlock()
	settings := c.SettingsDocument()
	for _, key := range slices.Sorted(maps.Keys(settings)) {
		if slices.Contains(LocalSettingKeys, key) || reflect.DeepEqual(settings[key], policy.document[key]) {
			continue
		}
		return fmt.Sprintf("settings.%s is another than in policy %d, which is in force: propose it", key, number)
	}
	return ""
}

// policyWait is how long a request may wait for a policy: half of its timeout, as far as its head tells one.
func policyWait(r *http.Request) time.Duration {
	timeoutMS, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get("X-Timeout-Ms")), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(timeoutMS) * time.Millisecond / 2
}
