package snipesignal

import "time"

const (
	// partLife is for how long a part counts before it is asked for again: instances come and go.
	partLife = time.Second
	// lookAfter is how long nothing may have been heard of a limit for those without a part to
	// look whether it still stands: some of the times at which others tell of it.
	lookAfter = 3 * tellEvery
	// mostPromised is the longest time that a refused caller is told.
	mostPromised = 5 * time.Second
)

// turn is which requests of this instance may go to an upstream that names a limit.
type turn struct {
	part   Part
	partAt time.Time
	// next is from when on a request may go, promised the time of the last one that a refused
	// caller was told to send.
	next     time.Time
	promised time.Time
}

// begin begins a limit.
func (t *turn) begin(p Part, now time.Time) {
	*t = turn{part: p, partAt: now, next: now.Add(p.First)}
}

// change takes another part.
func (t *turn) change(p Part, now time.Time) {
	t.part, t.partAt = p, now
	if latest := now.Add(p.Interval); t.next.After(latest) {
		t.next = latest
	}
}

// open reports whether a request may go; said is how long ago the limit was last heard of.
func (t *turn) open(now time.Time, said time.Duration) bool {
	since := now.Sub(t.next)
	if t.part.Slot == 0 || since < 0 {
		return since >= 0
	}
	return said >= lookAfter && since%t.part.Interval < t.part.Slot
}

// use uses the turn that is open.
func (t *turn) use(now time.Time) {
	if t.part.Slot == 0 {
		t.next = now.Add(t.part.Interval)
		return
	}
	passed := now.Sub(t.next) / t.part.Interval
	t.next = t.next.Add((passed + 1) * t.part.Interval)
}

// part returns this instance's part of an upstream's limit.
func (b *Book) part(upstream string, limit float64) Part {
	if b.Part == nil {
		return Divide(limit, 1, 0)
	}
	return b.Part(upstream, limit)
}

// Open reports whether a request may go to an upstream now.
func (b *Book) Open(upstream string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	e := b.known[upstream]
	return e == nil || e.open(time.Now())
}

func (e *entry) open(now time.Time) bool {
	return e.rest.open(now) && (!e.Limited || e.turn.open(now, now.Sub(e.saidAt)))
}

// Take counts a request that is about to be sent to an upstream; false if it may not be. The
// returned function gives back what a request took that was not sent after all.
func (b *Book) Take(upstream string) (giveBack func(), ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	e := b.known[upstream]
	if e == nil {
		return func() {}, true
	}
	now := time.Now()
	if e.Limited && now.Sub(e.turn.partAt) >= partLife {
		e.turn.change(b.part(upstream, e.Limit), now)
	}
	if !e.open(now) {
		return nil, false
	}
	next, tried := e.turn.next, e.rest.tried
	if e.Limited {
		e.turn.use(now)
	}
	e.rest.tried = now
	return func() {
		b.lock.Lock()
		defer b.lock.Unlock()
		e.turn.next, e.rest.tried = next, tried
	}, true
}

// Promise returns when a request may come back that could be sent to none of some upstreams, since
// they want rest or have named limits: each caller is told another time. It is false where none of
// them does.
func (b *Book) Promise(upstreams []string) (time.Duration, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var first *entry
	var soonest time.Time
	for _, id := range upstreams {
		e := b.known[id]
		if e == nil || !e.Limited && !now.Before(e.rest.until) {
			continue
		}
		if at := e.free(); first == nil || at.Before(soonest) {
			first, soonest = e, at
		}
	}
	if first == nil {
		return 0, false
	}
	first.turn.promised, first.rest.promised = soonest, soonest
	return min(max(soonest.Sub(now), returnPace), mostPromised), true
}

// free is the time of the first request that nobody was promised.
func (e *entry) free() time.Time {
	at := e.rest.free()
	if e.Limited && e.turn.free().After(at) {
		return e.turn.free()
	}
	return at
}

// free is the time of the first request that nobody was promised.
func (t *turn) free() time.Time {
	if at := t.promised.Add(t.part.Interval); at.After(t.next) {
		return at
	}
	return t.next
}
