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

// PolicyHeader is the response header with the number of the policy that applied to the request.
const PolicyHeader = "X-Policy"

const (
	// maxPolicyWait is the maximum time for which a request waits for the next policy. A policy change takes one round
	// trip between sidecars.
	maxPolicyWait = time.Second
	// policyRetention is the maximum distance between the numbers of the latest checked policy and of an older one that
	// is kept.
	policyRetention = 8
)

// errNotInForce is returned for a configuration file whose settings differ from the fleet's policy in force.
var errNotInForce = errors.New("settings differ from the policy in force")

// Policy provides the state of the fleet's policy.
type Policy interface {
	// Serves returns the number of the policy under which requests are admitted now. If ok is false, none are admitted,
	// and wait is the time until the next policy, or 0 if that is unknown. Each call reads the clock.
	Serves() (number uint64, wait time.Duration, ok bool)
	// Handler returns the HTTP handler for operators' requests that concern the policy.
	Handler() http.Handler
}

// PolicyGate admits requests only under the policy in force. It applies that policy to the event loop once it has been
// checked.
type PolicyGate struct {
	policy Policy
	loop   *EventLoop

	mu            sync.Mutex
	localSettings map[string]any           // from the configuration file, by LocalSettingKeys
	checked       map[uint64]checkedPolicy // by policy number
}

// NewPolicyGate returns a gate for a sidecar of this configuration. SetPolicy must be called before the gate is used.
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

// SetPolicy sets the policy that the gate uses. It must be called before the gate is used.
func (g *PolicyGate) SetPolicy(policy Policy) { g.policy = policy }

// Policy returns the policy that the gate uses.
func (g *PolicyGate) Policy() Policy { return g.policy }

// Check parses a policy document as this sidecar would apply it and returns the reason why it cannot be applied. If the
// result is empty, the event loop can apply the policy under its number.
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

// canConfigure returns an error if the Balancer cannot apply the settings of a policy.
func (g *PolicyGate) canConfigure(policy checkedPolicy) error {
	var err error
	loopErr := g.loop.Do(g.loop.ctx, func() { err = g.loop.balancer.CanConfigure(policy.settings) })
	if loopErr != nil {
		return loopErr
	}
	return err
}

// Await waits until requests are admitted, for at most the shorter of maxWait and maxPolicyWait, and applies the policy
// in force to the event loop. The result may be outdated when Await returns; isInForce makes the final decision for a
// request.
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

// apply applies a policy to the event loop and reports whether it succeeded.
func (g *PolicyGate) apply(ctx context.Context, number uint64) bool {
	var err error
	if loopErr := g.loop.Do(ctx, func() { err = g.applyOnLoop(number) }); loopErr != nil {
		return false
	}
	if err != nil {
		g.loop.log.Error("policy in force could not be applied; rejecting requests", "err", err)
		return false
	}
	return true
}

// applyOnLoop applies a policy to the event loop. It is called on the loop's goroutine.
func (g *PolicyGate) applyOnLoop(number uint64) error {
	if g.loop.PolicyNumber() == number {
		return nil
	}
	g.mu.Lock()
	policy, ok := g.checked[number]
	g.mu.Unlock()
	if !ok {
		return fmt.Errorf("policy %d is in force but was not checked by this sidecar", number)
	}
	indexes, err := g.loop.balancer.Configure(policy.settings)
	if err != nil {
		return fmt.Errorf("policy %d: %w", number, err)
	}
	settings := newRequestSettings(policy.settings, policy.names, indexes, g.loop.metrics)
	settings.policy = number
	g.loop.settings.Store(settings)
	g.loop.upstream.Configure(policy.limits)
	g.loop.log.Info("policy applied", "policy", number)
	return nil
}

// isInForce reports whether a request whose head was parsed under a policy may be admitted now. It is called on the
// loop's goroutine immediately before the request is admitted, because the policy may have changed while the process
// was stalled.
func (g *PolicyGate) isInForce(number uint64) bool {
	current, _, ok := g.policy.Serves()
	return ok && current == number && g.loop.PolicyNumber() == number
}

// difference describes the first difference between the settings of a configuration file and the policy that the loop
// has applied. It is empty if there is none.
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
		return fmt.Sprintf("settings.%s differs from policy %d; propose a new policy to change it", key, number)
	}
	return ""
}

// policyWait returns the time for which a request may wait for a policy: half of its timeout, or 0 if the head has no
// valid timeout.
func policyWait(r *http.Request) time.Duration {
	timeoutMS, err := strconv.ParseUint(strings.TrimSpace(r.Header.Get("X-Timeout-Ms")), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(timeoutMS) * time.Millisecond / 2
}
