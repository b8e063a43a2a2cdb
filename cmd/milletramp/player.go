package main

import (
	"errors"
	"fmt"
	"os"

	"milletramp.example/milletramp/internal/lab"
	"milletramp.example/milletramp/internal/lab/scenario"
)

// backendSockets runs real sidecars in real time. The other backend, sim, runs in simulated time.
const backendSockets = "sockets"

// modulePolicy names the decision module among the policies. Real sidecars have no other.
const modulePolicy = "module"

// playerOptions are the flags that say how scenarios are run.
type playerOptions struct {
	backend string
	policy  string
	build   string // path of a sidecar to run on sockets; "": this program
	logs    bool   // pass on what the sidecars log
}

// newPlayer returns the player that the options describe, or why they do not fit together.
func newPlayer(o playerOptions) (lab.Player, error) {
	player := lab.Player{Sockets: o.backend == backendSockets, Policy: o.policy}
	if o.logs {
		player.Log = os.Stderr
	}
	if !player.Sockets {
		if o.build != "" {
			return player, errors.New("--sidecar names a build for the socket plane: use --plane sockets")
		}
		return player, nil
	}
	if o.policy != modulePolicy {
		return player, fmt.Errorf("policy %q exists in the simulated plane alone: use --plane sim", o.policy)
	}
	var err error
	player.Sidecar, err = sidecarArguments(o.build)
	return player, err
}

// sidecarArguments returns the command line of a sidecar of the build, or of this program.
func sidecarArguments(build string) ([]string, error) {
	if build != "" {
		return []string{build}, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("own path: %w", err)
	}
	return []string{self, "sidecar"}, nil
}

// readScenario reads a scenario by its name in the folder, or by the path of its file.
func readScenario(folder, name string) (*scenario.Scenario, error) {
	file, err := lab.Find(folder, name)
	if err != nil {
		return nil, err
	}
	return scenario.Read(file)
}
