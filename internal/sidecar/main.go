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

// Main is a program that is a sidecar: it takes its configuration from the environment, reads its file again at SIGHUP, and
// ends on SIGTERM once it has finished what it has taken. It returns the exit status.
func Main(join JoinFunc) (status int) {
	// Until it is caught, SIGHUP ends the process. One that comes meanwhile is kept.
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
