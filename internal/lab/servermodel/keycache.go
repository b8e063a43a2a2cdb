package servermodel

import (
	"container/list"
	"time"
)

// KeySettings configures how much work a server saves on keys that it has served recently.
type KeySettings struct {
	Saving   float64       // share of a request's work that a cached key saves
	Lifetime time.Duration // how long a key stays valid after its last request
	Max      int           // maximum number of cached keys
}

// keyCache is an LRU cache of the keys that a server has served.
type keyCache struct {
	settings    KeySettings
	entries     map[uint64]*list.Element
	latestFirst *list.List // elements are *keyEntry, most recently used first
}

type keyEntry struct {
	key    uint64
	usedAt time.Duration
}

func newKeyCache(settings KeySettings) keyCache {
	return keyCache{settings: settings, entries: map[uint64]*list.Element{}, latestFirst: list.New()}
}

// use reports whether the key was last used within its lifetime, and records its use now.
func (c *keyCache) use(key uint64, now time.Duration) bool {
	if c.settings.Max == 0 || c.settings.Saving == 0 {
		return false
	}
	element, ok := c.entries[key]
	if !ok {
		c.add(key, now)
		return false
	}
	entry := element.Value.(*keyEntry)
	isFresh := now-entry.usedAt < c.settings.Lifetime
	entry.usedAt = now
	c.latestFirst.MoveToFront(element)
	return isFresh
}

// add adds a key and evicts the least recently used one if the cache is full.
func (c *keyCache) add(key uint64, now time.Duration) {
	c.entries[key] = c.latestFirst.PushFront(&keyEntry{key, now})
	if c.latestFirst.Len() <= c.settings.Max {
		return
	}
	oldest := c.latestFirst.Back()
	c.latestFirst.Remove(oldest)
	delete(c.entries, oldest.Value.(*keyEntry).key)
}
