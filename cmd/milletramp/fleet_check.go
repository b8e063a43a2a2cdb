package main

import (
	"fmt"

	"milletramp.example/milletramp/internal/fleet"
)

type fleetCheck struct {
	File string `arg:"" type:"path" help:"The file, such as deploy/fleet.toml."`
}

// Help says what the exit status means.
func (fleetCheck) Help() string {
	return "Exit status: 0 if the file is valid, 1 if not."
}

// Run reads the file as a sidecar does.
func (c fleetCheck) Run() error {
	config, err := fleet.ReadConfig(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("fleet %q: %d peers, catching up within %v\n", config.Label, len(config.Peers), config.CatchUp())
	return nil
}
