// Command standin2 plays the cases of the second review. Each case starts sidecars by the deploy file's command, with
// clients, servers, proxies of the network and discovery of its own on loopback addresses.
//
// Usage: standin2 CASE RECORD, from the repository's root. TROUBLE=0 in the environment leaves out the disruption. It
// exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// playTimeout ends a case that takes too long.
const playTimeout = 110 * time.Second

// play plays a case in a world, with or without its disruption, and returns how many requests broke the rule.
type play func(w *world, trouble bool) (broken int, err error)

// cases are the cases by name.
var cases = map[string]play{
	"bad-peers":    playBadPeers,
	"empty-lines":  playEmptyLines,
	"endless":      playEndless,
	"late-body":    playLateBody,
	"partition":    playPartition,
	"spoilt":       playSpoiltRefusal,
	"upgrade-full": playUpgradeFull,
	"upgrade-kill": playUpgradeKill,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays a case and returns the exit status.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return couldNot
	}
	log, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		return couldNot
	}
	defer log.close()
	w, err := newWorld(log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "world:", err)
		return couldNot
	}
	defer w.close()
	return judge(w, cases[args[0]], os.Getenv("TROUBLE") != "0")
}

// judge plays a case in a world and returns the exit status.
func judge(w *world, p play, trouble bool) int {
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		broken, err := p(w, trouble)
		done <- result{broken, err}
	}()
	r := result{err: fmt.Errorf("not over after %v", playTimeout)}
	select {
	case r = <-done:
	case <-stop:
		r.err = errors.New("stopped from outside")
	case <-time.After(playTimeout):
	}
	switch {
	case r.err != nil:
		w.log.add("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return couldNot
	case r.broken > 0:
		w.log.add("rule broken by %d requests", r.broken)
		fmt.Printf("rule broken by %d requests\n", r.broken)
		return ruleBroken
	}
	w.log.add("rule held")
	fmt.Println("rule held")
	return ruleHeld
}
