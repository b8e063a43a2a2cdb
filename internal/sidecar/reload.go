package sidecar

import (
	"context"
	"os"

	"milletramp.example/milletramp/internal/config"
)

// handleReloads reads the configuration again at each signal, until ctx ends.
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

// reload reads the configuration again and takes what may change in it. It returns the configuration in use then: a
// file with any fault is refused whole.
func (p *process) reload(ctx context.Context, current *config.Config) *config.Config {
	metrics := p.loop.Metrics()
	reloaded, err := current.Reload()
	if err == nil {
		if loopErr := p.loop.Do(ctx, func() { err = p.loop.Reconfigure(reloaded) }); loopErr != nil {
			return current // the process ends
		}
	}
	if err != nil {
		metrics.ReloadErrors.Add(1)
		p.log.Error("not reloaded", "err", err)
		return current
	}
	metrics.Reloads.Add(1)
	p.log.Info("reloaded", "discovery", reloaded.DiscoveryAddress)
	return reloaded
}
