// Command sidecar is a proxy that runs next to one instance of the calling application. It forwards requests to the
// servers that the Balancer selects. Environment variables name its configuration file and addresses. SIGHUP reloads
// the file, SIGTERM starts a graceful shutdown. It does not link the fleet's code; command fleetsidecar does.
package main

import (
	"os"

	"milletramp.example/milletramp/internal/sidecar"
)

func main() { os.Exit(sidecar.Main(nil)) }
