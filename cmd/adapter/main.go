// Command adapter hosts instances of the balance module on the simulator's text protocol: events on standard input,
// actions on standard output. The instances share nothing, and the adapter holds no policy of its own.
//
// Its exit status is 0 at the end of input and 1 after malformed input, bad settings or a failed write; the cause is on
// standard error.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
