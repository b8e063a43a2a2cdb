package fleet

import "time"

// Callbacks are the notifications that a sidecar gets of its fleet. The loop calls the first two, which must not wait
// for a method of Fleet.
type Callbacks struct {
	// OnAdminDown gets all administratively down servers, each time that they change.
	OnAdminDown func(servers []string)
	// OnSuspicions gets all suspected servers among those of SetServers, the most widely suspected first. It is called
	// repeatedly while there are any, and once when there are none any more.
	OnSuspicions func(suspicions []Suspicion)
	// CheckPolicy reads a policy completely, and returns why it cannot run, "" if it can. It is called by Start, and
	// from a goroutine of the policy agent.
	CheckPolicy func(number uint64, text []byte) (fault string)
}

// Suspicion says that a server seems to have failed, by what other sidecars have reported.
type Suspicion struct {
	ID  string
	Age time.Duration // since the last attempt of one of them was in vain
}
