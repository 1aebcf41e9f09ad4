package snipedirectory

import "time"

// lapse is an entry that was found missing and whose upstream is kept until the deadline.
type lapse struct{ found, deadline time.Time }

// RegistryLost records that the registry could not be read. For an entry that is found missing
// later, LapseGrace is counted from the last such call, or from the call of RegistryRestored that followed.
func (k *Cache) RegistryLost() {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.lastOutage = time.Now()
}

// RegistryRestored records that the registry was read again, before that read is applied: upstreams can only now write
// the entries again that lapsed meanwhile.
func (k *Cache) RegistryRestored() { k.RegistryLost() }

// RemoveExpired removes the upstreams whose LapseGrace has passed, as Apply does: reads of the
// registry may be further apart than LapseGrace allows. If RegistryLost was called since an entry
// was found missing, its upstream stays until the next read, which may show the entry again.
func (k *Cache) RemoveExpired() {
	k.lock.Lock()
	defer k.lock.Unlock()
	if len(k.lapsed) == 0 {
		return
	}
	b := k.nextSnapshot()
	removed := false
	for name, l := range k.lapsed {
		if l.expired() && !k.lastOutage.After(l.found) {
			k.remove(b, name)
			removed = true
		}
	}
	if old := k.current.Load(); removed {
		k.current.Store(b.snapshot(old.Position, old.Read))
	}
}

// removeOrLapse handles an upstream whose entry is gone. It forgets a start recorded by MarkEnded.
// It removes the upstream, unless RegistryLost was called less than k.LapseGrace ago: entries lapse
// during an outage of the registry, and live upstreams write them again. Such an upstream is kept
// until k.LapseGrace has passed since that call; later calls do not prolong this. The lock is held.
func (k *Cache) removeOrLapse(b *builder, name string) {
	delete(k.endedStarts, name)
	if k.byName[name] == nil {
		return
	}
	if k.lastOutage.IsZero() || time.Since(k.lastOutage) >= k.LapseGrace {
		k.remove(b, name)
		return
	}
	if k.lapsed == nil {
		k.lapsed = make(map[string]lapse)
	}
	if _, ok := k.lapsed[name]; !ok {
		k.lapsed[name] = lapse{found: time.Now(), deadline: k.lastOutage.Add(k.LapseGrace)}
	}
}

// removeExpired removes the upstreams whose lapsed entries did not come back in time. The lock
// is held.
func (k *Cache) removeExpired(b *builder) {
	for name, l := range k.lapsed {
		if l.expired() {
			k.remove(b, name)
		}
	}
}

// expired reports whether the deadline has passed.
func (l lapse) expired() bool { return !time.Now().Before(l.deadline) }
