package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"milletramp.example/milletramp/internal/config"
)

// Main is the main function of a sidecar program. It reads the configuration that the environment names, reads it again
// at SIGHUP, and drains and ends at SIGTERM. It returns the exit status.
func Main(join JoinFunc) (status int) {
	// SIGHUP ends a process that does not catch it. One that comes during the start is kept.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	c, err := config.Load(os.Getenv)
	if err == nil {
		err = Run(stop, reload, c, slog.New(slog.NewTextHandler(os.Stderr, nil)), join)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", strings.ReplaceAll(err.Error(), "\n", "; "))
		return 1
	}
	return 0
}
