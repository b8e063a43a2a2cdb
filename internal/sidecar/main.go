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

// Main is the main function of a sidecar program. It loads the configuration file that the environment names, reloads
// it on SIGHUP, and drains and exits on SIGTERM or an interrupt. It returns the exit status.
func Main(join JoinFunc) (status int) {
	// An uncaught SIGHUP terminates the process, so it is caught first. A SIGHUP received during the start is buffered.
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
