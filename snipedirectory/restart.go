package snipedirectory

import (
	"maps"
	"time"
)

// startRetention is the time after the end of a start within which the next start of its name counts
// as a restart. An order to the earlier start may be carried out for 15 s, and clocks differ by seconds.
const startRetention = 30 * time.Second

// removedStart is a start that was removed from the Cache.
type removedStart struct {
	upstream *Upstream
	at       time.Time
}

// recordRemoved remembers a start that is removed. The lock is held.
func (k *Cache) recordRemoved(u *Upstream) {
	if k.removed == nil {
		k.removed = make(map[string]removedStart)
	}
	maps.DeleteFunc(k.removed, func(_ string, r removedStart) bool { return time.Since(r.at) > startRetention })
	k.removed[u.Name] = removedStart{upstream: u, at: time.Now()}
}

// restarted reports whether an upstream that appears may have had an earlier start under its name
// within startRetention. The Cache does not know the starts that ended before its first read. The
// lock is held.
func (k *Cache) restarted(u *Upstream) bool {
	if r, ok := k.removed[u.Name]; ok && time.Since(r.at) <= startRetention {
		return r.upstream.Restarted || r.upstream.ID != u.ID || r.upstream.Software != u.Software
	}
	if u.Start == 0 {
		return false
	}
	age := time.Since(time.UnixMilli(u.Start))
	return age < startRetention && time.Since(k.firstRead) < age+startRetention
}
