package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/sidecar"
)

type sidecarCommand struct{}

// Run does what cmd/sidecar does.
func (sidecarCommand) Run(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	loaded, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	return sidecar.Run(ctx, reload, loaded, slog.New(slog.NewTextHandler(os.Stderr, nil)), nil)
}
