// Command standin plays the cases of the review: it starts the sidecar with the command of the deploy file between
// stand-ins for the application, servers, discovery and the platform, all on loopback addresses, and judges what these
// have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// timeLimit ends a case that hangs. The sidecars end with this process.
const timeLimit = 110 * time.Second

// environment is what a case is given.
type environment struct {
	record  *recorder
	root    string // of the repository
	trouble bool   // with the disruption
}

// cases are the cases by name. Each returns whether the rule held, or an error if it could not run.
var cases = map[string]func(environment) (bool, error){
	"cut":     playCut,
	"stalled": playStalled,
	"twice":   playTwice,
}

func main() {
	runtime.LockOSThread() // a sidecar is killed when the thread that started it ends
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the repository's root")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	time.AfterFunc(timeLimit, func() {
		record.verdict("the case did not end within %v", timeLimit)
		os.Exit(cannotRun)
	})
	e := environment{record: record, root: root, trouble: os.Getenv("TROUBLE") != "0"}
	record.event("case %s, with the disruption: %v", name, e.trouble)
	ok, err := cases[name](e)
	switch {
	case err != nil:
		record.verdict("the case could not run: %v", err)
		return cannotRun
	case !ok:
		record.verdict("the rule was broken")
		return broken
	}
	record.verdict("the rule held")
	return held
}
