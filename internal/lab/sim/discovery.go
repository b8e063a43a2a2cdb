package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
)

type notification struct {
	at       time.Duration
	server   int32
	endpoint balance.Endpoint
}

// notify has discovery tell all sidecars of a node.
func (w *simulation) notify(n int32, s balance.State) {
	w.servers[n].listedState = s
	notice := w.plan.Scenario.Notice
	for _, c := range w.sidecars {
		at := w.now + notice.From.Std() + time.Duration(w.random.Float64()*float64(notice.To-notice.From))
		c.lastNotification = max(c.lastNotification, at)
		c.notifications = append(c.notifications, notification{c.lastNotification, n, w.endpoint(n)})
		w.scheduleAt(c.lastNotification+w.options.Defects.ListDelay, notificationArrived{c})
		if w.options.Defects.ListDelay > 0 { // the sidecar is told now, whatever it does with it
			w.scheduleAt(c.lastNotification, notificationRecorded{c, n, stateOf(s)})
		}
	}
}

// notificationArrived is a notification of discovery that reaches a sidecar.
type notificationArrived struct{ sidecar *sidecar }

func (e notificationArrived) happen(*simulation) { e.sidecar.receiveNotifications() }

// receiveNotifications takes in what discovery has told.
func (c *sidecar) receiveNotifications() {
	w := c.simulation
	if w.discoverySilent || c.down {
		return
	}
	var list []balance.Endpoint
	for len(c.notifications) > 0 && c.notifications[0].at <= w.now {
		t := c.notifications[0]
		c.notifications = c.notifications[1:]
		c.endpoints[t.server] = t.endpoint
		if t.endpoint.State == balance.Removed {
			delete(c.endpoints, t.server)
			c.closeIdle(t.server)
		}
		list = append(list, t.endpoint)
		if w.options.Defects.ListDelay == 0 {
			w.record(record.Event{Kind: record.Notified, Sidecar: c.index, Node: t.server, State: stateOf(t.endpoint.State)})
		}
	}
	if len(list) > 0 {
		c.policy.Endpoints(w.now+epoch, balance.ListChanges, list)
	}
}

// notificationRecorded is the notification of a sidecar whose policy is notified later.
type notificationRecorded struct {
	sidecar *sidecar
	server  int32
	state   record.State
}

func (e notificationRecorded) happen(s *simulation) {
	s.record(record.Event{Kind: record.Notified, Sidecar: e.sidecar.index, Node: e.server, State: e.state})
}

func stateOf(s balance.State) record.State {
	return map[balance.State]record.State{balance.Ready: record.Serving, balance.Draining: record.Draining,
		balance.Removed: record.Gone}[s]
}
