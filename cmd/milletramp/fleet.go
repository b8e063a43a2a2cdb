package main

// fleetCommands are the commands on the state that the sidecars of a fleet replicate.
type fleetCommands struct {
	Status fleetStatus `cmd:"" help:"Show the fleet's state as sidecars hold it, and whether their copies agree."`
	Check  fleetCheck  `cmd:"" help:"Check a configuration file of the fleet."`
}
