// Command sidecar is a proxy next to one copy of the calling application. It forwards requests to the servers that the
// decision module selects. Its configuration comes from the environment; SIGHUP makes it read its file again, SIGTERM
// starts a graceful shutdown. It links none of the fleet's code, which is in command fleetsidecar.
package main

import (
	"os"

	"milletramp.example/milletramp/internal/sidecar"
)

func main() { os.Exit(sidecar.Main(nil)) }
