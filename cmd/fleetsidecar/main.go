// Command fleetsidecar is command sidecar as a member of a fleet. MILLETRAMP_FLEET names the fleet's configuration
// file; without that variable it does what command sidecar does.
package main

import (
	"os"

	"milletramp.example/milletramp/internal/fleetadapter"
	"milletramp.example/milletramp/internal/sidecar"
)

func main() { os.Exit(sidecar.Main(fleetadapter.Join)) }
