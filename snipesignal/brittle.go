package snipesignal

import (
	"maps"
	"sync"
	"time"
)

// brittleSettleTime is how long after the last statement that a service is brittle a request must have
// been sent for its answer, without such a statement, to end the state. Upstreams of a service begin and end to
// state it at slightly different times.
const brittleSettleTime = time.Second

// brittleEndLife is how long the end of the state is announced. It covers messages that are lost, and instances that were
// cut off for some seconds.
const brittleEndLife = 12 * time.Second

// Brittleness is the state of a service whose upstreams crash when they refuse too many requests for want of
// room.
type Brittleness struct {
	// MaxRefusals is the number of requests that an upstream can refuse in a second without a crash.
	MaxRefusals int
	// Since is when this instance learned of it, StatedAt when an upstream last stated it.
	Since, StatedAt time.Time
	// Refusals counts the requests of this instance that upstreams refused for want of room since then,
	// Broken the starts of upstreams that broke an answer to it or could not be connected to.
	Refusals, Broken int
}

// BrittleChange is the beginning of a service's brittleness, or its end.
type BrittleChange struct {
	Service string
	Brittle bool
	Brittleness
	// Upstream is the upstream whose answer brought the change; empty if Source is Instance.
	Upstream string
	Source   Source
}

// BrittleTracker tracks which services are brittle. Exported fields are set before the first call. It is safe
// for concurrent use.
//
// The state is kept by service and not by upstream: all upstreams of a service state it, and one that has
// crashed is back as another start, of which nothing is known yet.
type BrittleTracker struct {
	// Changed is called for each change, without the lock held; nil for none.
	Changed func(c BrittleChange)

	lock     sync.Mutex // guards services
	services map[string]*brittleService
}

// brittleService is a service that is brittle, or was.
type brittleService struct {
	Brittleness
	brittle bool
	// broken holds the starts that Broken counts.
	broken map[string]bool
	// clearedAt is when the request was sent whose answer ended the state; zero if none has. endedAt is when this instance
	// learned of it.
	clearedAt, endedAt time.Time
	// announcesEnd is set if an answer to this instance ended the state, until another instance has announced the end.
	announcesEnd bool
	// received reports whether an upstream stated it to this instance since notifiedAt, which is when the other
	// instances were last notified, by this one or another.
	received   bool
	notifiedAt time.Time
}

// BrittleUpdate is a service that is brittle or was, in the form in which instances exchange it.
type BrittleUpdate struct {
	Service     string
	MaxRefusals int
	// Ended is set if the service is no longer brittle.
	Ended bool
	// Age is the time since an upstream stated that it is brittle or, if it has ended, since the request was sent whose
	// answer showed so.
	Age time.Duration
}

// Record records what an answer of a service's upstream states. sent is when its request was sent.
func (b *BrittleTracker) Record(service, upstream string, sent time.Time, s Signal) {
	change, changed := b.record(service, sent, s)
	if !changed || b.Changed == nil {
		return
	}
	change.Upstream, change.Source = upstream, Answer
	b.Changed(change)
}

func (b *BrittleTracker) record(service string, sent time.Time, s Signal) (BrittleChange, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s.Brittle {
		change, begins := b.state(service, s.MaxRefusals, time.Now())
		b.services[service].received = true
		return change, begins
	}
	known := b.services[service]
	if known == nil || !known.brittle || !sent.After(known.StatedAt.Add(brittleSettleTime)) {
		return BrittleChange{}, false
	}
	known.announcesEnd = true
	return b.end(service, known, sent), true
}

// end ends the state of a service. The lock is held.
func (b *BrittleTracker) end(service string, known *brittleService, clearedAt time.Time) BrittleChange {
	known.brittle, known.received = false, false
	known.clearedAt, known.endedAt, known.notifiedAt = clearedAt, time.Now(), time.Time{}
	return BrittleChange{Service: service, Brittleness: known.Brittleness}
}

// state records that a service was stated to be brittle, and returns the change if that is new. The lock is
// held.
func (b *BrittleTracker) state(service string, maxRefusals int, statedAt time.Time) (change BrittleChange, begins bool) {
	if b.services == nil {
		b.services = make(map[string]*brittleService)
	}
	known := b.services[service]
	if known == nil || !known.brittle {
		begins = true
		known = &brittleService{brittle: true, Brittleness: Brittleness{Since: time.Now()}, broken: make(map[string]bool)}
		b.services[service] = known
	}
	if statedAt.After(known.StatedAt) {
		known.MaxRefusals, known.StatedAt = maxRefusals, statedAt
	}
	return BrittleChange{Service: service, Brittle: true, Brittleness: known.Brittleness}, begins
}

// PendingUpdates returns the updates to notify the other instances of now, and marks them as sent: of services that
// upstreams have stated to this instance to be brittle, when it is new and every announceInterval, and of those that their
// answers to this instance have shown no longer to be, as often, for brittleEndLife.
func (b *BrittleTracker) PendingUpdates() []BrittleUpdate {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var all []BrittleUpdate
	for service, known := range b.services {
		news := known.received || known.announcesEnd && known.justEnded(now)
		if !news || now.Sub(known.notifiedAt) < announceInterval {
			continue
		}
		known.received, known.notifiedAt = false, now
		all = append(all, known.update(service, now))
	}
	return all
}

// CurrentUpdates returns the updates of all services that are brittle or have just ceased to be, and marks nothing as sent.
func (b *BrittleTracker) CurrentUpdates() []BrittleUpdate {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var all []BrittleUpdate
	for service, known := range b.services {
		if known.brittle || known.justEnded(now) {
			all = append(all, known.update(service, now))
		}
	}
	return all
}

// Update returns the update of one service, or false if it never was brittle.
func (b *BrittleTracker) Update(service string) (BrittleUpdate, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	known := b.services[service]
	if known == nil {
		return BrittleUpdate{}, false
	}
	return known.update(service, time.Now()), true
}

// justEnded reports whether this instance has learned lately that the service is no longer brittle.
func (s *brittleService) justEnded(now time.Time) bool {
	return !s.brittle && now.Sub(s.endedAt) < brittleEndLife
}

func (s *brittleService) update(service string, now time.Time) BrittleUpdate {
	if !s.brittle {
		return BrittleUpdate{Service: service, Ended: true, Age: now.Sub(s.clearedAt)}
	}
	return BrittleUpdate{Service: service, MaxRefusals: s.MaxRefusals, Age: now.Sub(s.StatedAt)}
}

// Merge merges what another instance knows. Of a statement and an end, the later one counts, so that two instances that
// exchange what they know agree.
func (b *BrittleTracker) Merge(all []BrittleUpdate) {
	for _, u := range all {
		change, changed := b.merge(u)
		if changed && b.Changed != nil {
			change.Source = Instance
			b.Changed(change)
		}
	}
}

func (b *BrittleTracker) merge(u BrittleUpdate) (BrittleChange, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	at := time.Now().Add(-max(u.Age, 0))
	known := b.services[u.Service]
	if u.Ended {
		return b.mergeEnd(u.Service, known, at)
	}
	if known != nil && !known.brittle && !at.After(known.clearedAt) {
		return BrittleChange{}, false
	}
	change, begins := b.state(u.Service, u.MaxRefusals, at)
	// The instance that sent this update has sent it to the other instances too.
	b.services[u.Service].notifiedAt = time.Now()
	return change, begins
}

// mergeEnd merges that a service is no longer brittle since a time. The lock is held.
func (b *BrittleTracker) mergeEnd(service string, known *brittleService, clearedAt time.Time) (BrittleChange, bool) {
	if known == nil || !clearedAt.After(known.StatedAt) {
		return BrittleChange{}, false
	}
	known.announcesEnd = false
	if !known.brittle {
		return BrittleChange{}, false
	}
	return b.end(service, known, clearedAt), true
}

// Get returns the state of a service, or false if it is not brittle.
func (b *BrittleTracker) Get(service string) (Brittleness, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if known := b.services[service]; known != nil && known.brittle {
		return known.Brittleness, true
	}
	return Brittleness{}, false
}

// RecordRefusal counts a request that an upstream refused for want of room. It returns the number so far, and
// false if the service is not brittle.
func (b *BrittleTracker) RecordRefusal(service string) (n int, ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	known := b.services[service]
	if known == nil || !known.brittle {
		return 0, false
	}
	known.Refusals++
	return known.Refusals, true
}

// maxBroken bounds the starts of upstreams that are counted as broken for one service.
const maxBroken = 1024

// RecordBroken counts a start of an upstream that broke an answer or could not be connected to, if its service
// is brittle.
func (b *BrittleTracker) RecordBroken(service, upstream string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if known := b.services[service]; known != nil && known.brittle && len(known.broken) < maxBroken {
		known.broken[upstream] = true
		known.Broken = len(known.broken)
	}
}

// Count returns the number of services that are brittle.
func (b *BrittleTracker) Count() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	n := 0
	for _, known := range b.services {
		if known.brittle {
			n++
		}
	}
	return n
}

// Retain drops the state of the services for which declared returns false.
func (b *BrittleTracker) Retain(declared func(service string) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	maps.DeleteFunc(b.services, func(service string, _ *brittleService) bool { return !declared(service) })
}
