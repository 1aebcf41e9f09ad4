package snipesignal

import "time"

const (
	// announceInterval is the time between two announcements of a limit that continues, so that
	// instances that missed an announcement or have just started receive it.
	announceInterval = 5 * time.Second
	// announcers is how many of the instances that share a limit, counted by rank, announce it at
	// announceInterval. The others wait twice as long and announce it only if none of those did.
	announcers = 3
	// limitEndLife is how long the end of a limit is announced again by the instances that received
	// it from the upstream, and how long Statements reports it.
	limitEndLife = 12 * time.Second
)

// Update is the state of an upstream, in the form in which instances exchange it.
type Update struct {
	Upstream string
	State
	// Age is the time since the upstream sent its limit or the end of it.
	Age time.Duration
}

// notifications tracks what the other instances were last notified of about one upstream.
type notifications struct {
	// received reports whether this instance has received a limit, the end of one or leaving from
	// the upstream since it last notified the others. ended reports whether the last of these was
	// the end of a limit, and no newer update has come from another instance.
	received bool
	ended    bool
	// notified is the state that the other instances were last notified of, by any instance, and
	// notifiedAt is the time of that notification.
	notified   State
	notifiedAt time.Time
}

// due reports whether the other instances must be notified of the state of an upstream.
func (n *notifications) due(e *entry, now time.Time) bool {
	since := now.Sub(n.notifiedAt)
	switch {
	case n.received && !e.similar(n.notified):
		return true
	case n.ended:
		return since >= announceInterval && now.Sub(e.signaledAt) < limitEndLife
	case !n.received || !e.Limited:
		return false
	case e.slots.share.Rank < announcers:
		return since >= announceInterval
	default:
		return since >= 2*announceInterval
	}
}

// PendingUpdates returns the states of upstreams that other instances must be notified of now, and records
// that they have been notified. It returns only states with a signal that this instance received
// from the upstream itself.
func (b *Tracker) PendingUpdates() []Update {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var all []Update
	for id, e := range b.entries {
		if !e.notifications.due(e, now) {
			continue
		}
		e.notifications.received, e.notifications.notified, e.notifications.notifiedAt = false, e.State, now
		all = append(all, Update{id, e.State, now.Sub(e.signaledAt)})
	}
	return all
}

// CurrentUpdates returns the states of the upstreams that have a limit, whose limit has ended within
// limitEndLife, or that are leaving.
func (b *Tracker) CurrentUpdates() []Update {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var all []Update
	for id, e := range b.entries {
		age := now.Sub(e.signaledAt)
		if e.Limited || e.Leaving || !e.signaledAt.IsZero() && age < limitEndLife {
			all = append(all, Update{id, e.State, age})
		}
	}
	return all
}

// Merge merges states that another instance reports. A newer limit that is known here is kept.
func (b *Tracker) Merge(all []Update) {
	for _, s := range all {
		change, changed := b.merge(s)
		b.reportChange(change, changed)
	}
}

func (b *Tracker) merge(s Update) (Change, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	signaledAt := now.Add(-max(s.Age, 0))
	e := b.entries[s.Upstream]
	if e == nil && !s.Limited && !s.Leaving {
		return Change{}, false
	}
	e = b.entry(s.Upstream)
	if signaledAt.After(e.signaledAt) {
		b.setLimit(s.Upstream, e, s.Limit, s.Limited, signaledAt, now)
		e.notifications.ended = false
	}
	e.Leaving = e.Leaving || s.Leaving
	// The instance that received the signal has notified the other instances too.
	e.notifications.notified, e.notifications.notifiedAt = s.State, now
	return e.pendingChange(s.Upstream, Instance)
}
