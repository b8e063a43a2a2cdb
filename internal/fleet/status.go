package fleet

import (
	"context"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Status is what this sidecar holds of the fleet, for the staff.
type Status struct {
	Name         string            `json:"name"`
	Address      string            `json:"address"`
	LifeNumber   uint64            `json:"life"`
	OwnsName     bool              `json:"bears_its_name"` // false: a younger process bears it, and this one is silent
	Phase        string            `json:"phase"`
	PhaseSeconds float64           `json:"phase_for_s"`
	NumPresent   int               `json:"members_here"` // this one included
	LocalHealth  int               `json:"own_trouble"`  // 0: none; up to 8: others' answers do not come
	Digests      map[string]string `json:"sums"`
	Members      []MemberStatus    `json:"members"`
	Servers      []ServerStatus    `json:"by_hand"`
	Suspicions   []SuspicionStatus `json:"in_doubt"`
	Figures      gossip.Figures    `json:"figures"`
}

// SuspicionStatus is a server that the fleet doubts, or of which a sidecar has written.
type SuspicionStatus struct {
	ID               string      `json:"id"`
	Suspected        bool        `json:"in_doubt"` // by the word of others; false: there are rows, but not enough, or answered
	SuspectedSeconds float64     `json:"for_s"`    // that it has been so, without a break
	Listed           bool        `json:"listed"`   // with the process that is spoken of; otherwise the word counts for nothing
	Rows             []RowStatus `json:"rows"`
}

// RowStatus is what one sidecar has written of a server.
type RowStatus struct {
	Reporter        string  `json:"by"`
	AgeSeconds      float64 `json:"age_s"`
	Late            uint32  `json:"late"`
	Unresponsive    uint32  `json:"silent"`
	Refused         uint32  `json:"refused"`
	LastGoodSeconds float64 `json:"good_s_before"` // its last good answer before it wrote; -1: none of late
}

// MemberStatus is what it holds of another.
type MemberStatus struct {
	Name               string   `json:"name"`
	Address            string   `json:"address"`
	State              string   `json:"state"`
	LifeNumber         uint64   `json:"life"`
	Incarnation        uint32   `json:"incarnation"`
	LastContactSeconds float64  `json:"heard_s_ago"` // -1: never
	InSync             bool     `json:"same_copy"`   // by its last word
	DivergedSeconds    float64  `json:"differs_for_s"`
	DivergedKinds      []string `json:"differs_in,omitempty"`
}

// ServerStatus is what the staff has said of a server.
type ServerStatus struct {
	ID        string       `json:"id"`
	AdminDown bool         `json:"out"`
	Disputed  bool         `json:"disputed"` // calls that did not know of each other stand side by side; out holds
	Calls     []CallStatus `json:"calls"`
}

// CallStatus is a call that stands.
type CallStatus struct {
	ID        string `json:"id"`
	By        string `json:"by"`
	AdminDown bool   `json:"out"`
	At        string `json:"at"` // by the clocks of the sidecars
}

// String implements fmt.Stringer.
func (c CallStatus) String() string {
	return map[bool]string{true: "out", false: "back"}[c.AdminDown] + " by " + c.By + " at " + c.At
}

// Status tells what this sidecar holds.
func (f *Fleet) Status(ctx context.Context) (s Status, err error) {
	err = f.call(ctx, func(now replication.Now) { s = f.status(now) })
	return s, err
}

func (f *Fleet) status(now replication.Now) Status {
	m := f.machine
	self, bears := m.Members.Self()
	phase, since := m.Phase()
	s := Status{Name: self.Name, Address: self.Address, LifeNumber: self.Life.Number, OwnsName: bears, Phase: phase.String(),
		PhaseSeconds: seconds(now.Time - since), NumPresent: m.Members.NumPresent(), LocalHealth: m.Members.LocalHealth(), Digests: map[string]string{}, Figures: m.Figures()}
	for k, sum := range m.Store.Digest().PerKind() {
		s.Digests[replication.Kind(k).String()] = formatDigest(sum)
	}
	lags := map[string]gossip.Divergence{}
	for _, l := range m.Divergences(now.Time) {
		lags[l.Name] = l
	}
	for _, p := range m.Members.Members() {
		l := lags[p.Name]
		o := MemberStatus{Name: p.Name, Address: p.Address, State: p.State.String(), LifeNumber: p.Life.Number, Incarnation: p.Incarnation,
			LastContactSeconds: -1, InSync: l.Known && l.Equal, DivergedSeconds: seconds(l.For)}
		if heard, ok := m.Members.LastContact(p.Name); ok {
			o.LastContactSeconds = seconds(now.Time - heard)
		}
		for _, k := range l.Kinds {
			o.DivergedKinds = append(o.DivergedKinds, k.String())
		}
		s.Members = append(s.Members, o)
	}
	for _, k := range m.Store.Keys() {
		if k.Kind != replication.KindAdmin {
			continue
		}
		h, _ := m.Store.AdminState(k.Server)
		o := ServerStatus{ID: h.Server, AdminDown: h.Down(), Disputed: h.Disputed()}
		for _, c := range h.Standing {
			o.Calls = append(o.Calls, CallStatus{c.Dot.String(), c.Dot.By, c.Down, c.At.String()})
		}
		s.Servers = append(s.Servers, o)
	}
	s.Suspicions = f.suspicionStatus(now)
	return s
}

func (f *Fleet) suspicionStatus(now replication.Now) (all []SuspicionStatus) {
	doubted := map[string]int64{}
	for _, d := range f.machine.Suspicions(now, len(f.servers)) {
		doubted[d.Server] = d.Boot
	}
	for _, server := range f.machine.Store.ServersWithEvidence() {
		own, listed := f.bootTimes[server]
		boot, doubt := doubted[server]
		o := SuspicionStatus{ID: server, Suspected: doubt, Listed: listed && (!doubt || own == boot)}
		if begun, known := f.suspectedSince[server]; known && doubt {
			o.SuspectedSeconds = seconds(now.Time - begun)
		}
		for _, r := range f.machine.Store.Rows(now, server) {
			row := RowStatus{Reporter: r.Owner, AgeSeconds: float64(r.Age) / 1e3, Late: r.Evidence.Late, Unresponsive: r.Evidence.Silent, Refused: r.Evidence.Refused, LastGoodSeconds: -1}
			if r.Evidence.Good > 0 {
				row.LastGoodSeconds = float64(r.Evidence.Good) / 1e3
			}
			o.Rows = append(o.Rows, row)
		}
		all = append(all, o)
	}
	return all
}

func seconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }

const hexDigits = "0123456789abcdef"

func formatDigest(x uint64) string {
	var text [16]byte
	for i := range text {
		text[15-i] = hexDigits[x>>(4*i)&15]
	}
	return string(text[:])
}
