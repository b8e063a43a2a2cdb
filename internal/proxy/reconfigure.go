package proxy

import (
	"fmt"

	"milletramp.example/milletramp/internal/config"
)

// Reconfigure takes a new file. Where the fleet has a policy its settings must be that one's.
func (h *EventLoop) Reconfigure(c *config.Config) error {
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
