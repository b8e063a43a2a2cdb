package proxy

import (
	"fmt"

	"milletramp.example/milletramp/internal/config"
)

// Reconfigure applies a reloaded configuration. In a fleet, its settings must equal those of the policy in force, and
// only the address of discovery is applied. If it returns an error, nothing has changed. It is called on the loop's
// goroutine.
func (l *EventLoop) Reconfigure(c *config.Config) error {
	if l.gate == nil {
		return l.configure(c)
	}
	if difference := l.gate.difference(c); difference != "" {
		return fmt.Errorf("%w: %s", errNotInForce, difference)
	}
	l.subscriptions.SwitchAddress(c.DiscoveryAddress)
	return nil
}

// configure applies the settings and the address of discovery. If it returns an error, nothing has changed.
func (l *EventLoop) configure(c *config.Config) error {
	indexes, err := l.balancer.Configure(c.Settings)
	if err != nil {
		return err
	}
	l.settings.Store(newRequestSettings(c.Settings, c.Names, indexes, l.metrics))
	l.upstream.Configure(c.Limits)
	l.subscriptions.SwitchAddress(c.DiscoveryAddress)
	return nil
}
