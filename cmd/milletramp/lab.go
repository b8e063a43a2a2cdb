package main

import "github.com/alecthomas/kong"

// labCommands are the commands of the lab.
type labCommands struct {
	Dir string `default:"lab" help:"Folder of the scenarios." type:"path"`

	Run     labRun     `cmd:"" help:"Run scenarios, check them against the rules and their expectations, and report."`
	Sweep   labSweep   `cmd:"" help:"Run a scenario over a range of one of its values."`
	Compare labCompare `cmd:"" help:"Run a scenario with two policies, or two builds of the sidecar, on equal seeds."`
	Scale   labScale   `cmd:"" help:"Measure a sidecar in fleets of up to 3,200 servers."`
	List    labList    `cmd:"" help:"List the scenarios."`
}

// labHelp holds the help texts of the lab that are too long for a struct tag.
var labHelp = kong.Vars{
	"backend_help": "sockets: real sidecars and test servers on loopback, in real time; sim: simulated time.",
	"policy_help": "With --plane sim: module, the sidecar's own, or a baseline: random, round-robin, least-requests, " +
		"two-choices, oracle.",
	"parameter_help": "The value to vary, by its path in the scenario's file: load.use, fleet.nodes, " +
		"trouble[0].size, ...",
}
