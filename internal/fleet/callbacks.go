package fleet

import "time"

// Callbacks are the functions through which a Fleet notifies its sidecar. The loop calls OnAdminDown and OnSuspicions,
// which must not wait for a method of Fleet.
type Callbacks struct {
	// OnAdminDown receives all administratively down servers whenever they change.
	OnAdminDown func(servers []string)
	// OnSuspicions receives all suspected servers among those of SetServers, sorted by descending number of reporting
	// sidecars. It is called repeatedly while there are any, and once when there are none left.
	OnSuspicions func(suspicions []Suspicion)
	// CheckPolicy parses and validates a policy, and returns the reason why it cannot run, or "". It is called by Start
	// and from a goroutine of the policy agent.
	CheckPolicy func(number uint64, text []byte) (fault string)
}

// Suspicion describes a server that seems to have failed according to the sidecars' reports.
type Suspicion struct {
	ID  string
	Age time.Duration // since the last bad outcome at a reporting sidecar
}
