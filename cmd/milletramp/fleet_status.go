package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"milletramp.example/milletramp/internal/fleet"
)

type fleetStatus struct {
	Consoles []string      `arg:"" name:"console" help:"Addresses of consoles: all of a fleet's, or some."`
	JSON     bool          `help:"Print the answer of each console, as JSON."`
	Timeout  time.Duration `default:"2s" help:"How long to wait for all answers."`
}

// Help says what the exit status means.
func (fleetStatus) Help() string {
	return "Exit status: 0 if all sidecars answer and their copies of the state agree, 1 if not. Copies may differ " +
		"for some seconds after a change."
}

// fleetReply is the answer of one console, or why there is none.
type fleetReply struct {
	Console string        `json:"console"`
	Status  *fleet.Status `json:"status,omitempty"`
	Err     string        `json:"error,omitempty"`
}

// Run fetches the status of each console and compares the copies.
func (c fleetStatus) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	replies := fetchFleetStatuses(ctx, c.Consoles)
	if err := c.print(replies); err != nil {
		return err
	}
	return checkAgreement(replies)
}

func (c fleetStatus) print(replies []fleetReply) error {
	if c.JSON {
		return printIndentedJSON(replies)
	}
	return writeFleetTable(os.Stdout, replies)
}

// fetchFleetStatuses calls all consoles at the same time and returns their replies in the consoles' order.
func fetchFleetStatuses(ctx context.Context, addresses []string) []fleetReply {
	incoming := make(chan fleetReply, len(addresses))
	for _, address := range addresses {
		go func() { incoming <- fetchFleetStatus(ctx, address) }()
	}
	byConsole := map[string]fleetReply{}
	for range addresses {
		reply := <-incoming
		byConsole[reply.Console] = reply
	}
	replies := make([]fleetReply, 0, len(addresses))
	for _, address := range addresses {
		replies = append(replies, byConsole[address])
	}
	return replies
}

func fetchFleetStatus(ctx context.Context, address string) fleetReply {
	reply := fleetReply{Console: address}
	err := console{address: address, maxReply: maxFleetReply}.get(ctx, "/ops/fleet", &reply.Status)
	if err != nil {
		reply.Status = nil
		reply.Err = err.Error()
	}
	return reply
}

// checkAgreement returns an error that names the first sidecar that does not answer, or whose copy differs from the
// first one's.
func checkAgreement(replies []fleetReply) error {
	var first *fleet.Status
	for _, reply := range replies {
		if reply.Status == nil {
			return fmt.Errorf("%s: %s", reply.Console, reply.Err)
		}
		if first == nil {
			first = reply.Status
			continue
		}
		for kind, sum := range reply.Status.Digests {
			if sum != first.Digests[kind] {
				return fmt.Errorf("%s and %s differ in %s", first.Name, reply.Status.Name, kind)
			}
		}
	}
	return nil
}
