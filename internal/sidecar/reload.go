package sidecar

import (
	"context"
	"os"

	"milletramp.example/milletramp/internal/config"
)

// handleReloads reloads the configuration at each signal until ctx ends.
func (p *process) handleReloads(ctx context.Context, signals <-chan os.Signal) {
	current := p.config
	for {
		select {
		case <-signals:
			current = p.reload(ctx, current)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the configuration file again and applies the settings that can change at run time. It returns the
// configuration in use afterwards. A file with any fault is rejected as a whole.
func (p *process) reload(ctx context.Context, current *config.Config) *config.Config {
	metrics := p.loop.Metrics()
	reloaded, err := current.Reload()
	if err == nil {
		if loopErr := p.loop.Do(ctx, func() { err = p.loop.Reconfigure(reloaded) }); loopErr != nil {
			return current // the process is ending
		}
	}
	if err != nil {
		metrics.ReloadErrors.Add(1)
		p.log.Error("configuration reload failed; keeping the previous configuration", "err", err)
		return current
	}
	metrics.Reloads.Add(1)
	p.log.Info("configuration reloaded", "discovery", reloaded.DiscoveryAddress)
	return reloaded
}
