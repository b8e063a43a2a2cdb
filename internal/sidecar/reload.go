package sidecar

import (
	"context"
	"os"

	"milletramp.example/milletramp/internal/config"
)

// reloadEach reads the configuration again at each signal, until ctx ends.
func (p *process) reloadEach(ctx context.Context, signals <-chan os.Signal) {
	inUse := p.config
	for {
		select {
		case <-signals:
			inUse = p.reload(ctx, inUse)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the configuration again and takes what may change in it. It returns the configuration in use then: a
// file with any fault is refused whole.
func (p *process) reload(ctx context.Context, inUse *config.Config) *config.Config {
	metrics := p.loop.Metrics()
	fresh, err := inUse.Reload()
	if err == nil {
		if loopErr := p.loop.Do(ctx, func() { err = p.loop.Reconfigure(fresh) }); loopErr != nil {
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
