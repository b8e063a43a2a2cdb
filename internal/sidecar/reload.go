package sidecar

import (
	"context"
	"fmt"

	"milletramp.example/milletramp/internal/config"
)

// Reload reads the configuration again, takes its settings and moves to the discovery that it names. It returns the
// configuration that is in use then: a file with any fault is turned down whole.
func (h *EventLoop) Reload(ctx context.Context, c *config.Config) *config.Config {
	fresh, err := c.Reload()
	if err == nil {
		if asked := h.Do(ctx, func() { err = h.reconfigure(fresh) }); asked != nil {
			return c // the end
		}
	}
	if err != nil {
		h.metrics.LoadErrors.Add(1)
		h.log.Error("not reloaded", "err", err)
		return c
	}
	h.metrics.Loads.Add(1)
	h.log.Info("reloaded", "discovery", fresh.Discovery)
	return fresh
}

// reconfigure takes a new file. Where the fleet has a policy its settings must be that one's.
func (h *EventLoop) reconfigure(c *config.Config) error {
	if h.gate == nil {
		return h.configure(c)
	}
	if how := h.gate.difference(c); how != "" {
		return fmt.Errorf("%w: %s", errNotInForce, how)
	}
	h.subscriptions.SwitchAddress(c.Discovery)
	return nil
}

// configure takes new settings. With an error, nothing has changed.
func (h *EventLoop) configure(c *config.Config) error {
	places, err := h.balancer.Configure(c.Settings)
	if err != nil {
		return err
	}
	h.settings.Store(newRequestSettings(c.Settings, c.Names, places, h.metrics))
	h.upstream.Configure(c.Limits)
	h.subscriptions.SwitchAddress(c.Discovery)
	return nil
}
