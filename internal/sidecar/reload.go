package sidecar

import (
	"context"

	"milletramp.example/milletramp/internal/config"
)

// reload reads the configuration again and takes what it may change. It returns the configuration that is in use then: a
// file with any fault is refused whole.
func (p *process) reload(ctx context.Context, inUse *config.Config) *config.Config {
	metrics := p.loop.Metrics()
	fresh, err := inUse.Reload()
	if err == nil {
		if ended := p.loop.Do(ctx, func() { err = p.loop.Reconfigure(fresh) }); ended != nil {
			return inUse // the process ends
		}
	}
	if err != nil {
		metrics.ReloadErrors.Add(1)
		p.log.Error("not reloaded", "err", err)
		return inUse
	}
	metrics.Reloads.Add(1)
	p.log.Info("reloaded", "discovery", fresh.Discovery)
	return fresh
}
