// Command milletramp is the operators' tool. Its lab plays scenarios of the emulated service against the decision module
// or real sidecars, judges them by the binding rules, and reports.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"milletramp.example/milletramp/internal/sidecar"
)

// commands are the tool's commands.
type commands struct {
	Lab     labCommands    `cmd:"" help:"Play scenarios of the emulated service, judge and compare them."`
	Fleet   fleetCommands  `cmd:"" help:"Show and check what sidecars hold in common."`
	Policy  policyCommands `cmd:"" help:"Check, propose and show the policy of a fleet."`
	Sidecar sidecarCommand `cmd:"" hidden:"" help:"Be a sidecar, as bin/sidecar is. The lab starts these."`
}

func main() {
	var c commands
	parser := kong.Parse(&c, kong.Name("milletramp"), kong.UsageOnError(),
		kong.Description("The operators' tool of the milletramp sidecar."))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := func() error {
		defer cancel()
		parser.BindTo(ctx, (*context.Context)(nil))
		return parser.Run()
	}()
	if err != nil {
		fmt.Fprintln(os.Stderr, "milletramp:", err)
		if errors.Is(err, errUndecided) {
			os.Exit(exitUndecided)
		}
		os.Exit(1)
	}
}

type sidecarCommand struct{}

// Run is what cmd/sidecar does.
func (sidecarCommand) Run(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	config, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	return sidecar.Run(ctx, reload, config, slog.New(slog.NewTextHandler(os.Stderr, nil)), nil)
}
