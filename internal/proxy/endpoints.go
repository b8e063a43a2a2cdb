package proxy

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
)

// knownRevision is the revision of the list that a process begins with; -1: it begins with none.
func knownRevision(known discovery.List) int64 {
	if len(known.Endpoints) == 0 {
		return -1
	}
	return known.Revision
}

// Subscribe implements balance.Actions: it opens a watch of discovery if there is none.
func (l *EventLoop) Subscribe() { l.subscriptions.Subscribe() }

// OnUpdate implements discovery.Subscriber. It hands a list to the connections first and then to the Balancer: what the
// Balancer sends next must find its address.
func (l *EventLoop) OnUpdate(kind balance.ListKind, list discovery.List) {
	list.Complete = list.Complete || kind == balance.ListCached
	l.upstream.Update(list)
	endpoints := make([]balance.Endpoint, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		endpoints = append(endpoints, l.balancerEndpoint(e))
	}
	l.starts.Update(l.now, kind, list)
	l.balancer.Endpoints(l.now, kind, endpoints)
	l.reportList()
	l.signalProgress(kind, len(endpoints) > 0)
}

// balancerEndpoint returns an endpoint as the Balancer knows it.
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

// signalProgress closes the channels of the first update, and of the first list with servers or from discovery.
func (l *EventLoop) signalProgress(kind balance.ListKind, hasEndpoints bool) {
	fromDiscovery := kind != balance.ListCached
	if fromDiscovery && !l.hasUpdate {
		l.hasUpdate = true
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

// SetAdminDown takes a server administratively down, or up again, and reports whether it is known. It is called on the
// loop, as are the methods after it.
func (l *EventLoop) SetAdminDown(id string, down bool) (known bool) {
	known = l.balancer.SetAdminDown(l.now, id, down)
	if known {
		l.upstream.SetAdminDown(id, down)
	}
	return known
}

// AdminDown returns the servers that are administratively down.
func (l *EventLoop) AdminDown() []string { return l.balancer.AdminDown() }

// AdoptAdminDown takes servers administratively down, whether or not they are known here.
func (l *EventLoop) AdoptAdminDown(ids []string) {
	for _, id := range ids {
		l.upstream.SetAdminDown(id, true)
	}
	l.balancer.AdoptAdminDown(l.now, ids)
}

// CountEndpoints returns how many servers are known, and how many of these are avoided.
func (l *EventLoop) CountEndpoints() (known, avoided int) { return l.balancer.CountEndpoints(l.now) }

// SuspectedServer is a server that other sidecars suspect.
type SuspectedServer struct {
	ID  string
	Age time.Duration // of the latest report
}

// SetSuspected replaces the servers that are suspected.
func (l *EventLoop) SetSuspected(servers []SuspectedServer) {
	reports := make([]balance.PeerReport, 0, len(servers))
	for _, s := range servers {
		reports = append(reports, balance.PeerReport{ID: s.ID, WrittenAt: l.now - s.Age})
	}
	l.balancer.SetSuspected(reports)
}

// SetObserver sets what gets the Balancer's observations of servers; nil: nothing does.
func (l *EventLoop) SetObserver(observer balance.Observer) { l.balancer.SetObserver(observer) }

// SetListObserver sets what gets each list of servers, and gives it the one in hand.
func (l *EventLoop) SetListObserver(onList func([]discovery.Endpoint)) {
	l.onList = onList
	l.reportList()
}

// reportList passes the list of servers on, where it is wanted.
func (l *EventLoop) reportList() {
	if l.onList != nil {
		l.onList(l.upstream.Endpoints())
	}
}
