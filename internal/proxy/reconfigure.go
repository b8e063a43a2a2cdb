package proxy

import (
	"fmt"

	"milletramp.example/milletramp/internal/config"
)

// Reconfigure takes a newer configuration. Under a fleet's policy its settings must be those of the policy in force,
// and only the address of discovery is taken. With an error nothing has changed. It is called on the loop.
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

// configure takes new settings and the address of discovery. With an error nothing has changed.
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
