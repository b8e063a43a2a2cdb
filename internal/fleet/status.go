package fleet

import (
	"context"
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Status is this sidecar's view of the fleet, for operators. The JSON keys are a public interface.
type Status struct {
	Name              string            `json:"name"`
	Address           string            `json:"address"`
	IncarnationNumber uint64            `json:"life"`
	OwnsName          bool              `json:"bears_its_name"` // false: a later process has it
	Phase             string            `json:"phase"`
	PhaseSeconds      float64           `json:"phase_for_s"`
	NumPresent        int               `json:"members_here"` // including this one
	LocalHealth       int               `json:"own_trouble"`  // 0: good; up to 8: probes of or by it fail
	Digests           map[string]string `json:"sums"`         // of the replicated state, by kind
	Members           []MemberStatus    `json:"members"`
	Servers           []ServerStatus    `json:"by_hand"`
	Suspicions        []SuspicionStatus `json:"in_doubt"`
	Figures           gossip.Counters   `json:"figures"`
}

// SuspicionStatus describes a server on which at least one sidecar has reported.
type SuspicionStatus struct {
	ID               string      `json:"id"`
	Suspected        bool        `json:"in_doubt"` // false: too few reports, or refuted by a good response
	SuspectedSeconds float64     `json:"for_s"`    // uninterrupted
	Listed           bool        `json:"listed"`   // here; if Suspected, also with the reported boot time
	Rows             []RowStatus `json:"rows"`
}

// RowStatus is the report of one sidecar on one server.
type RowStatus struct {
	Reporter        string  `json:"by"`
	AgeSeconds      float64 `json:"age_s"`
	Late            uint32  `json:"late"`
	Unresponsive    uint32  `json:"silent"`
	Refused         uint32  `json:"refused"`
	LastGoodSeconds float64 `json:"good_s_before"` // from the last good response to the report; -1: no recent one
}

// MemberStatus is this sidecar's view of another one.
type MemberStatus struct {
	Name               string   `json:"name"`
	Address            string   `json:"address"`
	State              string   `json:"state"`
	IncarnationNumber  uint64   `json:"life"`
	Incarnation        uint32   `json:"incarnation"`
	LastContactSeconds float64  `json:"heard_s_ago"` // -1: never
	InSync             bool     `json:"same_copy"`   // its last checksums equaled this sidecar's
	DivergedSeconds    float64  `json:"differs_for_s"`
	DivergedKinds      []string `json:"differs_in,omitempty"`
}

// ServerStatus describes a server on which operators have made calls.
type ServerStatus struct {
	ID        string       `json:"id"`
	AdminDown bool         `json:"out"`
	Disputed  bool         `json:"disputed"` // concurrent calls conflict; the one that sets it down wins
	Calls     []CallStatus `json:"calls"`
}

// CallStatus describes a standing call of an operator.
type CallStatus struct {
	ID        string `json:"id"`
	By        string `json:"by"`
	AdminDown bool   `json:"out"`
	At        string `json:"at"` // by the sidecars' wall clocks
}

// String implements fmt.Stringer.
func (c CallStatus) String() string {
	direction := "back"
	if c.AdminDown {
		direction = "out"
	}
	return direction + " by " + c.By + " at " + c.At
}

// Status returns this sidecar's view of the fleet.
func (f *Fleet) Status(ctx context.Context) (s Status, err error) {
	err = f.call(ctx, func(now replication.Now) { s = f.status(now) })
	return s, err
}

func (f *Fleet) status(now replication.Now) Status {
	members := f.machine.Members
	self, ownsName := members.Self()
	phase, since := f.machine.Phase()
	return Status{
		Name:              self.Name,
		Address:           self.Address,
		IncarnationNumber: self.ProcessIncarnation.Number,
		OwnsName:          ownsName,
		Phase:             phase.String(),
		PhaseSeconds:      seconds(now.Time - since),
		NumPresent:        members.NumPresent(),
		LocalHealth:       members.LocalHealth(),
		Digests:           f.digests(),
		Members:           f.memberStatus(now),
		Servers:           f.serverStatus(),
		Suspicions:        f.suspicionStatus(now),
		Figures:           f.machine.Counters(),
	}
}

func (f *Fleet) digests() map[string]string {
	digests := map[string]string{}
	for kind, digest := range f.machine.Store.Digest().PerKind() {
		digests[replication.Kind(kind).String()] = fmt.Sprintf("%016x", digest)
	}
	return digests
}

func (f *Fleet) memberStatus(now replication.Now) (all []MemberStatus) {
	divergences := map[string]gossip.Divergence{}
	for _, divergence := range f.machine.Divergences(now.Time) {
		divergences[divergence.Name] = divergence
	}
	for _, member := range f.machine.Members.Members() {
		divergence := divergences[member.Name]
		status := MemberStatus{
			Name:               member.Name,
			Address:            member.Address,
			State:              member.State.String(),
			IncarnationNumber:  member.ProcessIncarnation.Number,
			Incarnation:        member.Incarnation,
			LastContactSeconds: -1,
			InSync:             divergence.Known && divergence.Equal,
			DivergedSeconds:    seconds(divergence.DivergedFor),
		}
		if contact, ok := f.machine.Members.LastContact(member.Name); ok {
			status.LastContactSeconds = seconds(now.Time - contact)
		}
		for _, kind := range divergence.Kinds {
			status.DivergedKinds = append(status.DivergedKinds, kind.String())
		}
		all = append(all, status)
	}
	return all
}

func (f *Fleet) serverStatus() (all []ServerStatus) {
	for _, key := range f.machine.Store.Keys() {
		if key.Kind != replication.KindAdmin {
			continue
		}
		state, _ := f.machine.Store.AdminState(key.Server)
		status := ServerStatus{ID: state.Server, AdminDown: state.Down(), Disputed: state.Disputed()}
		for _, call := range state.Standing {
			status.Calls = append(status.Calls, CallStatus{
				ID:        call.Dot.String(),
				By:        call.Dot.By,
				AdminDown: call.Down,
				At:        call.At.String(),
			})
		}
		all = append(all, status)
	}
	return all
}

func (f *Fleet) suspicionStatus(now replication.Now) (all []SuspicionStatus) {
	suspectedBoots := map[string]int64{}
	for _, suspicion := range f.machine.Suspicions(now, len(f.servers.list)) {
		suspectedBoots[suspicion.Server] = suspicion.Boot
	}
	for _, server := range f.machine.Store.ServersWithEvidence() {
		boot, listed := f.servers.bootTimes[server]
		suspectedBoot, suspected := suspectedBoots[server]
		status := SuspicionStatus{
			ID:        server,
			Suspected: suspected,
			Listed:    listed && (!suspected || boot == suspectedBoot),
			Rows:      f.rowStatus(now, server),
		}
		if since, known := f.evidence.suspectedSince[server]; known && suspected {
			status.SuspectedSeconds = seconds(now.Time - since)
		}
		all = append(all, status)
	}
	return all
}

func (f *Fleet) rowStatus(now replication.Now, server string) (all []RowStatus) {
	for _, row := range f.machine.Store.Rows(now, server) {
		status := RowStatus{
			Reporter:        row.Owner,
			AgeSeconds:      fromMilliseconds(row.Age),
			Late:            row.Evidence.Late,
			Unresponsive:    row.Evidence.Unanswered,
			Refused:         row.Evidence.Refused,
			LastGoodSeconds: -1,
		}
		if row.Evidence.SinceGoodMS > 0 {
			status.LastGoodSeconds = fromMilliseconds(row.Evidence.SinceGoodMS)
		}
		all = append(all, status)
	}
	return all
}

func seconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }

func fromMilliseconds(ms uint32) float64 { return float64(ms) / 1e3 }
