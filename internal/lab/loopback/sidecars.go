package loopback

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"milletramp.example/milletramp/internal/lab/record"
)

// startSidecars starts all sidecars at once and waits until they are ready.
func (r *run) startSidecars(ctx context.Context) error {
	var starting sync.WaitGroup
	errs := make(chan error, len(r.sidecars))
	for i := range r.sidecars {
		starting.Add(1)
		go func() {
			defer starting.Done()
			errs <- r.startSidecar(ctx, i)
		}()
	}
	starting.Wait()
	close(errs)
	var joined error
	for err := range errs {
		joined = errors.Join(joined, err)
	}
	return joined
}

// startSidecar starts a sidecar and waits until it is ready.
func (r *run) startSidecar(ctx context.Context, i int) error {
	p := r.sidecars[i]
	if err := p.start(r.sidecarConfig(i)); err != nil {
		return fmt.Errorf("sidecar %s: %w", p.name, err)
	}
	if err := p.waitReady(ctx, p.address); err != nil {
		return fmt.Errorf("sidecar %s: %w", p.name, err)
	}
	return nil
}

// restartInBackground restarts a sidecar without delaying the actions that follow.
func (r *run) restartInBackground(ctx context.Context, i int, fail context.CancelCauseFunc) {
	r.restarts.Add(1)
	go func() {
		defer r.restarts.Done()
		if err := r.restartSidecar(ctx, i); err != nil {
			fail(err)
		}
	}()
}

// restartSidecar kills a sidecar and starts it again. Its clients send nothing meanwhile, as a request to a process
// that does not exist is not counted; requests in flight on a connection are lost with it.
func (r *run) restartSidecar(ctx context.Context, i int) error {
	r.clients[i].SetAddress("")
	r.sidecars[i].kill()
	r.log.Add(record.Event{Kind: record.SidecarDown, Sidecar: int32(i)})
	if err := r.startSidecar(ctx, i); err != nil {
		return err
	}
	r.log.Add(record.Event{Kind: record.SidecarDown, Sidecar: int32(i)})
	r.clients[i].SetAddress(r.sidecars[i].address)
	return nil
}

// stopSidecars shuts all sidecars down gracefully, as a planned restart does.
func (r *run) stopSidecars() error {
	var joined error
	var stopping sync.WaitGroup
	var mu sync.Mutex
	for _, p := range r.sidecars {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			if err := p.shutdown(shutdownTimeout); err != nil {
				mu.Lock()
				joined = errors.Join(joined, fmt.Errorf("sidecar %s: %w", p.name, err))
				mu.Unlock()
			}
		}()
	}
	stopping.Wait()
	return joined
}
