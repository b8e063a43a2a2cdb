package proxy

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
)

// initialRevision returns the revision of the initial endpoint list, or -1 if that list is empty.
func initialRevision(initial discovery.List) int64 {
	if len(initial.Endpoints) == 0 {
		return -1
	}
	return initial.Revision
}

// Subscribe implements balance.Actions. It opens a watch of discovery if none is open.
func (l *EventLoop) Subscribe() { l.subscriptions.Subscribe() }

// OnUpdate implements discovery.Subscriber. It passes the list to the upstream client before the Balancer, because the
// client needs the address of each server to which the Balancer sends an attempt.
func (l *EventLoop) OnUpdate(kind balance.ListKind, list discovery.List) {
	list.Complete = list.Complete || kind == balance.ListCached
	l.upstream.Update(list)
	endpoints := make([]balance.Endpoint, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		endpoints = append(endpoints, l.balancerEndpoint(e))
	}
	l.starts.Update(l.now, kind, list)
	l.balancer.Endpoints(l.now, kind, endpoints)
	l.notifyListObserver()
	l.signalReadiness(kind, len(endpoints) > 0)
}

// balancerEndpoint converts an endpoint of discovery to one of the Balancer.
func (l *EventLoop) balancerEndpoint(e discovery.Endpoint) balance.Endpoint {
	return balance.Endpoint{
		ID:       e.ID,
		Zone:     e.Zone,
		Kind:     e.Kind,
		PodGroup: e.PodGroup,
		State:    e.State,
		Weight:   e.Weight,
		Started:  l.starts.StartOf(e),
	}
}

// signalReadiness closes firstUpdate on the first update from discovery, and ready on the first update that contains
// endpoints or comes from discovery.
func (l *EventLoop) signalReadiness(kind balance.ListKind, hasEndpoints bool) {
	fromDiscovery := kind != balance.ListCached
	if fromDiscovery && !l.hasFirstUpdate {
		l.hasFirstUpdate = true
		close(l.firstUpdate)
	}
	if !l.isReady && (fromDiscovery || hasEndpoints) {
		l.isReady = true
		close(l.ready)
	}
}

// OnUnchanged implements discovery.Subscriber.
func (l *EventLoop) OnUnchanged() { l.starts.Confirm(l.now) }

// OnWatchEnded implements discovery.Subscriber.
func (l *EventLoop) OnWatchEnded() { l.balancer.Endpoints(l.now, balance.ListFailed, nil) }

// SetAdminDown sets a server administratively down, or up again, and reports whether the server is known. This method
// and those below are called on the loop's goroutine.
func (l *EventLoop) SetAdminDown(id string, down bool) (known bool) {
	known = l.balancer.SetAdminDown(l.now, id, down)
	if known {
		l.upstream.SetAdminDown(id, down)
	}
	return known
}

// AdminDown returns the servers that are administratively down.
func (l *EventLoop) AdminDown() []string { return l.balancer.AdminDown() }

// AdoptAdminDown sets servers administratively down, including servers that are not known yet.
func (l *EventLoop) AdoptAdminDown(ids []string) {
	for _, id := range ids {
		l.upstream.SetAdminDown(id, true)
	}
	l.balancer.AdoptAdminDown(l.now, ids)
}

// CountEndpoints returns the number of known servers, and how many of them are avoided.
func (l *EventLoop) CountEndpoints() (known, avoided int) { return l.balancer.CountEndpoints(l.now) }

// SuspectedServer is a server that other sidecars suspect of a fault.
type SuspectedServer struct {
	ID  string
	Age time.Duration // time since the latest report
}

// SetSuspected replaces the set of suspected servers.
func (l *EventLoop) SetSuspected(servers []SuspectedServer) {
	reports := make([]balance.PeerReport, 0, len(servers))
	for _, s := range servers {
		reports = append(reports, balance.PeerReport{ID: s.ID, WrittenAt: l.now - s.Age})
	}
	l.balancer.SetSuspected(reports)
}

// SetObserver sets the observer that receives the Balancer's observations of servers. nil removes it.
func (l *EventLoop) SetObserver(observer balance.Observer) { l.balancer.SetObserver(observer) }

// SetListObserver sets a function that is called with each endpoint list, and calls it with the current one.
func (l *EventLoop) SetListObserver(onList func([]discovery.Endpoint)) {
	l.onList = onList
	l.notifyListObserver()
}

// notifyListObserver calls the list observer, if one is set, with the current endpoint list.
func (l *EventLoop) notifyListObserver() {
	if l.onList != nil {
		l.onList(l.upstream.Endpoints())
	}
}
