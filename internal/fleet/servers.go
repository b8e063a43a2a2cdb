package fleet

import (
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
)

// markListedInterval is how often the listed servers are marked as listed in the replicated state, which drops
// operators' calls on servers that no sidecar lists.
const markListedInterval = time.Minute

// Server is an entry of the sidecar's own endpoint list.
type Server struct {
	ID   string
	Boot int64 // last start in Unix milliseconds; 0: unknown or long ago
}

// serverState is the loop's copy of the sidecar's own endpoint list.
type serverState struct {
	list      []Server
	bootTimes map[string]int64 // boot times of the listed servers, by ID
	markedAt  time.Duration    // when the list was last marked in the replicated state
}

// SetServers sets the sidecar's endpoint list. It does not block; while the queue of the loop is full, a list is
// dropped, and the next one takes effect.
func (f *Fleet) SetServers(servers []Server) {
	f.tryPost(func(now replication.Now) {
		former := f.servers.bootTimes
		f.servers.list = servers
		f.servers.bootTimes = make(map[string]int64, len(servers))
		for _, server := range servers {
			f.servers.bootTimes[server.ID] = server.Boot
			if boot, known := former[server.ID]; known && boot != server.Boot {
				f.evidence.recorder.Forget(server.ID) // the observations are of an earlier process
			}
		}
		f.markListed(now)
	})
}

// markListed records in the replicated state which servers are listed and when they were started. It broadcasts the
// items that this changes.
func (f *Fleet) markListed(now replication.Now) {
	f.servers.markedAt = now.Time
	ids := make([]string, 0, len(f.servers.list))
	for _, server := range f.servers.list {
		ids = append(ids, server.ID)
		if server.Boot > 0 {
			if key, changed := f.machine.Store.RecordStart(now, server.ID, server.Boot); changed {
				f.machine.Broadcast(key)
			}
		}
	}
	for _, key := range f.machine.Store.MarkListed(now, ids) {
		f.machine.Broadcast(key)
	}
}
