package main

import "errors"

// policyCommands are the commands on the one policy of a fleet.
type policyCommands struct {
	Check   policyCheck   `cmd:"" help:"Check a document with the code that would run it."`
	Propose policyPropose `cmd:"" help:"Propose a document as the fleet's policy, and wait for the outcome."`
	Outcome policyOutcome `cmd:"" help:"Wait for the outcome of a change that was proposed before."`
	Revert  policyRevert  `cmd:"" help:"Propose an earlier document again, and wait for the outcome."`
	Status  policyStatus  `cmd:"" help:"Show the policy in force, changes under way and the voters."`
	Log     policyLog     `cmd:"" help:"List the changes that a voter remembers."`
	Diff    policyDiff    `cmd:"" help:"Show how two documents differ."`
	Replace policyReplace `cmd:"" help:"Replace a voter by a candidate, and wait until it votes."`
}

// The states of a change that are final, as consoles word them, and that of one that no voter knows.
const (
	stateInForce = "in force"
	stateRefused = "refused"
	stateUnknown = "unknown"
)

// errUndecided says that a change may still take effect or be refused.
var errUndecided = errors.New("undecided: ask again with `milletramp policy outcome`")

// changeHelp says what the exit status of a command means that waits for the outcome of a change.
const changeHelp = "Exit status: 0 if the change is in force, 1 if it was refused or a call failed, 2 if it is " +
	"undecided after --wait: `milletramp policy outcome` waits again."
