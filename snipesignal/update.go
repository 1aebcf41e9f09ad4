package snipesignal

import "time"

const (
	// announceInterval is the time between two announcements of a limit that continues, so that
	// instances that missed an announcement or have just started receive it.
	announceInterval = 5 * time.Second
	// announcers is how many of the instances that share a limit, counted by rank, announce it at
	// announceInterval. The other ones wait twice as long, and announce the limit only if they have
	// received no update about it in that time.
	announcers = 3
	// limitEndLife is how long the instances that received the end of a limit from the upstream
	// announce the end again, and how long CurrentUpdates returns it.
	limitEndLife = 12 * time.Second
)

// Update is the state of an upstream, in the form in which instances exchange it.
type Update struct {
	Upstream string
	State
	// Age is the time since the upstream sent its limit or the end of its limit to any instance. It
	// has no meaning if the upstream has sent neither.
	Age time.Duration
}

// notifications tracks what the other instances were last notified of about one upstream.
type notifications struct {
	// received reports whether this instance has received a limit, the end of one or leaving from
	// the upstream itself since it last notified the others. ended reports whether the last limit
	// signal from the upstream itself was the end of a limit, and no newer update has come from
	// another instance.
	received bool
	ended    bool
	// notified is the state in the last update about the upstream that this instance sent or
	// received, and notifiedAt is when it did so.
	notified   State
	notifiedAt time.Time
}

// due reports whether the other instances must be notified of the state of an upstream now: because
// the state has changed, or because a limit or the end of one must be announced again.
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

// PendingUpdates returns the states of upstreams to send to other instances now, and marks them as
// sent. It leaves out an upstream from which this instance itself has received no limit, end of a
// limit or leaving since it last sent an update about that upstream: states that it knows only from
// other instances are not sent on. Only the end of a limit is returned repeatedly, for
// limitEndLife.
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

// CurrentUpdates returns the states of the upstreams that have a limit, whose limit has ended
// within limitEndLife, or that are leaving, also if this instance knows of them only from other
// instances. It marks nothing as sent.
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

// Merge merges states that another instance reports. A reported limit, or the end of one, replaces
// the one known here only if it is newer. Leaving is added and never removed. For each upstream
// whose state changes, Changed is called.
func (b *Tracker) Merge(all []Update) {
	for _, s := range all {
		change, changed := b.merge(s)
		b.reportChange(change, changed)
	}
}

// merge merges the state of one upstream and returns the change to pass to Changed. A state without
// a limit or leaving is ignored if nothing is known about the upstream here.
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
	// The instance that sent this update has sent it to the other instances too.
	e.notifications.notified, e.notifications.notifiedAt = s.State, now
	return e.pendingChange(s.Upstream, Instance)
}
