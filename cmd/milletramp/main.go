// Command milletramp is the operators' tool. Its lab runs scenarios of the emulated service against the decision module
// or real sidecars, checks them against the binding rules and reports; its other commands call the consoles of running
// sidecars.
//
// Each command has a file of its own. Its exit status is 0 on success, 1 on failure, 2 if it is not known yet whether a
// change of policy takes effect, and 80 for wrong usage; the help of a command says what its failures are.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// The exit statuses besides 0. Kong exits with 80 for wrong usage.
const (
	exitFailure   = 1
	exitUndecided = 2
)

const description = "The operators' tool of the milletramp sidecar.\n\n" +
	"Exit status of every command: 0 on success, 1 on failure, 2 if the outcome of a change is not known yet, 80 for " +
	"wrong usage. The help of a command says what counts as its failure."

// commands are the tool's commands.
type commands struct {
	Lab     labCommands    `cmd:"" help:"Run scenarios of the emulated service, check and compare them."`
	Fleet   fleetCommands  `cmd:"" help:"Show and check the state that sidecars replicate."`
	Policy  policyCommands `cmd:"" help:"Check, propose and show the policy of a fleet."`
	Sidecar sidecarCommand `cmd:"" hidden:"" help:"Be a sidecar, as bin/sidecar is. The lab starts these."`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "milletramp:", err)
		os.Exit(exitStatus(err))
	}
}

// run runs the command that the arguments name. SIGINT and SIGTERM end its context.
func run() error {
	var c commands
	parser := kong.Parse(&c, kong.Name("milletramp"), kong.UsageOnError(), kong.Description(description), labHelp)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	parser.BindTo(ctx, (*context.Context)(nil))
	return parser.Run()
}

func exitStatus(err error) int {
	if errors.Is(err, errUndecided) {
		return exitUndecided
	}
	return exitFailure
}
