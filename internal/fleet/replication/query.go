package replication

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// AdminDown returns the servers that are administratively down, sorted.
func (s *Store) AdminDown() (servers []string) {
	for server, h := range s.adminStates {
		if h.Down() {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// AdminState returns the state of the operators' calls on a server, if there are any.
func (s *Store) AdminState(server string) (AdminState, bool) {
	h, ok := s.adminStates[server]
	return h, ok
}

// Rows returns the rows of evidence on a server, with their ages as of now.
func (s *Store) Rows(now Now, server string) []Row {
	rows := slices.Clone(s.rows[server])
	for i := range rows {
		rows[i].Age = age(now, rows[i].writtenAt)
	}
	return rows
}

// ServersWithEvidence returns the servers on which there is evidence, sorted.
func (s *Store) ServersWithEvidence() []string { return slices.Sorted(maps.Keys(s.rows)) }

// Boot returns the last known start of a server in Unix milliseconds, or 0 if none is known.
func (s *Store) Boot(server string) int64 { return s.starts[server].Boot }

// Test returns the test of a server, if there is one.
func (s *Store) Test(server string) (Test, bool) {
	t, ok := s.tests[server]
	return t, ok
}

func age(now Now, born Time) uint32 { return uint32(max(now.Time-born, 0) / time.Millisecond) }

// Item returns the item with a key, with its age as of now, if the replica has it.
func (s *Store) Item(now Now, k Key) (Item, bool) {
	switch k.Kind {
	case KindAdmin:
		h, ok := s.adminStates[k.Server]
		return Item{Admin: &h}, ok
	case KindRow:
		for _, r := range s.rows[k.Server] {
			if r.Owner == k.Owner {
				r.Age = age(now, r.writtenAt)
				return Item{Row: &r}, true
			}
		}
	case KindStart:
		b, ok := s.starts[k.Server]
		return Item{Start: &b}, ok
	case KindTest:
		t, ok := s.tests[k.Server]
		t.Age = age(now, t.writtenAt)
		return Item{Test: &t}, ok
	}
	return Item{}, false
}

// Keys returns the keys of all items in the replica, sorted by kind, server and owner. KindAdmin comes first.
func (s *Store) Keys() (keys []Key) {
	for server := range s.adminStates {
		keys = append(keys, Key{KindAdmin, server, ""})
	}
	for server, rows := range s.rows {
		for _, r := range rows {
			keys = append(keys, Key{KindRow, server, r.Owner})
		}
	}
	for server := range s.starts {
		keys = append(keys, Key{KindStart, server, ""})
	}
	for server := range s.tests {
		keys = append(keys, Key{KindTest, server, ""})
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind),
			strings.Compare(a.Server, b.Server),
			strings.Compare(a.Owner, b.Owner),
		)
	})
	return keys
}
