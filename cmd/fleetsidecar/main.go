// Command fleetsidecar is command sidecar with support for fleets. MILLETRAMP_FLEET names the fleet's configuration
// file; without that variable it behaves like command sidecar.
package main

import (
	"os"

	"milletramp.example/milletramp/internal/fleetadapter"
	"milletramp.example/milletramp/internal/sidecar"
)

func main() { os.Exit(sidecar.Main(fleetadapter.Join)) }
