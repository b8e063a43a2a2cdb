package fleet

import (
	"context"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Status is what this sidecar holds of the fleet, for the staff.
type Status struct {
	Name    string            `json:"name"`
	Address string            `json:"address"`
	Life    uint64            `json:"life"`
	Bears   bool              `json:"bears_its_name"` // false: a younger process bears it, and this one is silent
	Phase   string            `json:"phase"`
	For     float64           `json:"phase_for_s"`
	Here    int               `json:"members_here"` // this one included
	Sick    int               `json:"own_trouble"`  // 0: none; up to 8: others' answers do not come
	Sums    map[string]string `json:"sums"`
	Members []MemberStatus    `json:"members"`
	Servers []ServerStatus    `json:"by_hand"`
	Doubts  []DoubtStatus     `json:"in_doubt"`
	Figures gossip.Figures    `json:"figures"`
}

// DoubtStatus is a server that the fleet doubts, or of which a sidecar has written.
type DoubtStatus struct {
	ID     string      `json:"id"`
	Doubt  bool        `json:"in_doubt"` // by the word of others; false: there are rows, but not enough, or answered
	For    float64     `json:"for_s"`    // that it has been so, without a break
	Listed bool        `json:"listed"`   // with the process that is spoken of; otherwise the word counts for nothing
	Rows   []RowStatus `json:"rows"`
}

// RowStatus is what one sidecar has written of a server.
type RowStatus struct {
	By      string  `json:"by"`
	Age     float64 `json:"age_s"`
	Late    uint32  `json:"late"`
	Silent  uint32  `json:"silent"`
	Refused uint32  `json:"refused"`
	Good    float64 `json:"good_s_before"` // its last good answer before it wrote; -1: none of late
}

// MemberStatus is what it holds of another.
type MemberStatus struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	State       string   `json:"state"`
	Life        uint64   `json:"life"`
	Incarnation uint32   `json:"incarnation"`
	Heard       float64  `json:"heard_s_ago"` // -1: never
	Same        bool     `json:"same_copy"`   // by its last word
	Lag         float64  `json:"differs_for_s"`
	Differ      []string `json:"differs_in,omitempty"`
}

// ServerStatus is what the staff has said of a server.
type ServerStatus struct {
	ID       string       `json:"id"`
	Out      bool         `json:"out"`
	Disputed bool         `json:"disputed"` // calls that did not know of each other stand side by side; out holds
	Calls    []CallStatus `json:"calls"`
}

// CallStatus is a call that stands.
type CallStatus struct {
	ID  string `json:"id"`
	By  string `json:"by"`
	Out bool   `json:"out"`
	At  string `json:"at"` // by the clocks of the sidecars
}

// String implements fmt.Stringer.
func (c CallStatus) String() string {
	return map[bool]string{true: "out", false: "back"}[c.Out] + " by " + c.By + " at " + c.At
}

// Status tells what this sidecar holds.
func (f *Fleet) Status(ctx context.Context) (s Status, err error) {
	err = f.ask(ctx, func(now replication.Now) { s = f.status(now) })
	return s, err
}

func (f *Fleet) status(now replication.Now) Status {
	m := f.machine
	self, bears := m.Members.Self()
	phase, since := m.Phase()
	s := Status{Name: self.Name, Address: self.Address, Life: self.Life.Number, Bears: bears, Phase: phase.String(),
		For: seconds(now.Time - since), Here: m.Members.NumPresent(), Sick: m.Members.LocalHealth(), Sums: map[string]string{}, Figures: m.Figures()}
	for k, sum := range m.Store.Digest().PerKind() {
		s.Sums[replication.Kind(k).String()] = hex(sum)
	}
	lags := map[string]gossip.Divergence{}
	for _, l := range m.Divergences(now.Time) {
		lags[l.Name] = l
	}
	for _, p := range m.Members.Members() {
		l := lags[p.Name]
		o := MemberStatus{Name: p.Name, Address: p.Address, State: p.State.String(), Life: p.Life.Number, Incarnation: p.Incarnation,
			Heard: -1, Same: l.Known && l.Equal, Lag: seconds(l.For)}
		if heard, ok := m.Members.LastContact(p.Name); ok {
			o.Heard = seconds(now.Time - heard)
		}
		for _, k := range l.Kinds {
			o.Differ = append(o.Differ, k.String())
		}
		s.Members = append(s.Members, o)
	}
	for _, k := range m.Store.Keys() {
		if k.Kind != replication.KindAdmin {
			continue
		}
		h, _ := m.Store.AdminState(k.Server)
		o := ServerStatus{ID: h.Server, Out: h.Down(), Disputed: h.Disputed()}
		for _, c := range h.Standing {
			o.Calls = append(o.Calls, CallStatus{c.Dot.String(), c.Dot.By, c.Down, c.At.String()})
		}
		s.Servers = append(s.Servers, o)
	}
	s.Doubts = f.doubtStatus(now)
	return s
}

func (f *Fleet) doubtStatus(now replication.Now) (all []DoubtStatus) {
	doubted := map[string]int64{}
	for _, d := range f.machine.Suspicions(now, len(f.list)) {
		doubted[d.Server] = d.Boot
	}
	for _, server := range f.machine.Store.ServersWithEvidence() {
		own, listed := f.boots[server]
		boot, doubt := doubted[server]
		o := DoubtStatus{ID: server, Doubt: doubt, Listed: listed && (!doubt || own == boot)}
		if begun, known := f.stands[server]; known && doubt {
			o.For = seconds(now.Time - begun)
		}
		for _, r := range f.machine.Store.Rows(now, server) {
			row := RowStatus{By: r.Owner, Age: float64(r.Age) / 1e3, Late: r.Evidence.Late, Silent: r.Evidence.Silent, Refused: r.Evidence.Refused, Good: -1}
			if r.Evidence.Good > 0 {
				row.Good = float64(r.Evidence.Good) / 1e3
			}
			o.Rows = append(o.Rows, row)
		}
		all = append(all, o)
	}
	return all
}

func seconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }

const digits = "0123456789abcdef"

func hex(x uint64) string {
	var text [16]byte
	for i := range text {
		text[15-i] = digits[x>>(4*i)&15]
	}
	return string(text[:])
}
