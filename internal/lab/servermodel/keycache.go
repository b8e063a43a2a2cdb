package servermodel

import (
	"container/list"
	"time"
)

// KeySettings say what a server saves on keys that it has served lately.
type KeySettings struct {
	Saving   float64       // the share of a request's work
	Lifetime time.Duration // of a key, since its last request
	Max      int           // keys that a server remembers
}

// keyCache remembers the keys that a server has served, the least recently used of which it forgets first.
type keyCache struct {
	settings    KeySettings
	entries     map[uint64]*list.Element
	latestFirst *list.List // of *keyEntry
}

type keyEntry struct {
	key    uint64
	usedAt time.Duration
}

func newKeyCache(settings KeySettings) keyCache {
	return keyCache{settings: settings, entries: map[uint64]*list.Element{}, latestFirst: list.New()}
}

// use reports whether the key was used within its lifetime, and remembers it from now on.
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

// add adds a key, in place of the least recently used one if the cache is full.
func (c *keyCache) add(key uint64, now time.Duration) {
	c.entries[key] = c.latestFirst.PushFront(&keyEntry{key, now})
	if c.latestFirst.Len() <= c.settings.Max {
		return
	}
	oldest := c.latestFirst.Back()
	c.latestFirst.Remove(oldest)
	delete(c.entries, oldest.Value.(*keyEntry).key)
}
