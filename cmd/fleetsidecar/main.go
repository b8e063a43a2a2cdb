// Command fleetsidecar is command sidecar with a part in the fleet that MILLETRAMP_FLEET names a file of. Without that variable
// it is what command sidecar is.
package main

import (
	"os"

	"milletramp.example/milletramp/internal/member"
	"milletramp.example/milletramp/internal/sidecar"
)

func main() { os.Exit(sidecar.Main(member.Join)) }
