package snipeweight

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// agingTime is the wait that doubles the weight of an ask: the small are
	// not passed over for good.
	agingTime = 10 * time.Second
	// shareTime is the time in which a team's past loads fall to 1/e.
	shareTime = 30 * time.Second
	// minShare is what is forgotten of a team's past loads.
	minShare = 0.05
	// fairExcess is how many times its even share of the loads a team may have
	// before its asks count less; fairPower says how much less.
	fairExcess = 1.5
	fairPower  = 4
	// keepAsk is how long an ask stays queued without its asker.
	keepAsk = 3 * time.Second
	// firstBackoff doubles with each failed load of a path, up to lastBackoff.
	firstBackoff = time.Second
	lastBackoff  = time.Minute
	// forgetFailure is how long after its last failure a path is remembered.
	forgetFailure = 5 * time.Minute
	// maxFailures bounds the paths that are remembered.
	maxFailures = 10000
	// smoothing is the part of a new measurement in the mean load time.
	smoothing = 0.2
)

// ID names one ask: its asker and the asker's number for it.
type ID struct {
	Asker  string
	Number uint64
}

// Ask is a request for permission to load.
type Ask struct {
	ID ID
	// Path is what is to be loaded, Team whose it is.
	Path string
	Team string
	// Weight is what a second of waiting costs.
	Weight float64
	// Hold is how long a permission counts when it is not renewed.
	Hold time.Duration
	// Renew tells that the load runs by an earlier permission, perhaps another
	// holder's.
	Renew bool
}

// Answer is what the queue says to an ask.
type Answer struct {
	// Granted is the permission to load.
	Granted bool
	// Wait is the expected time until the load ends.
	Wait time.Duration
	// Backoff tells that the path's loads failed; it is not queued before Wait.
	Backoff bool
}

type queued struct {
	ask     Ask
	since   time.Time
	seen    time.Time     // when the asker was last here
	granted chan struct{} // closed by the grant; nil when the asker is away
}

type failure struct {
	count  int
	last   time.Time
	before time.Time // no load before
}

// Queue is the one queue for the weight store, on the instance that holds it.
// Its exported fields are set before the first call.
type Queue struct {
	// Limits returns the loads that may start in a second and run at once:
	// the store's budget, or this side's share while the instances are split.
	Limits func() (perSecond float64, concurrent int)

	lock     sync.Mutex // guards the fields below
	waiting  map[ID]*queued
	running  map[ID]time.Time // the end of each permission that is not renewed
	started  map[ID]time.Time
	failures map[string]failure
	shares   map[string]float64 // loads of each team, decaying with shareTime
	charged  float64            // sum of shares
	shared   time.Time          // when shares were decayed last
	next     time.Time          // the earliest start of the next load
	length   time.Duration
	timer    *time.Timer
}

// Ask queues or renews an ask and waits for the permission until ctx ends. The
// answer then says how long it will take.
func (q *Queue) Ask(ctx context.Context, a Ask) Answer {
	q.lock.Lock()
	now := time.Now()
	q.setup()
	if a.Renew {
		q.running[a.ID] = now.Add(a.Hold)
		q.lock.Unlock()
		return Answer{Granted: true}
	}
	if f, ok := q.failures[a.Path]; ok && now.Before(f.before) {
		delete(q.waiting, a.ID)
		q.lock.Unlock()
		return Answer{Backoff: true, Wait: f.before.Sub(now)}
	}
	if _, ok := q.running[a.ID]; ok {
		// The answer to an earlier ask was lost.
		q.lock.Unlock()
		return Answer{Granted: true}
	}
	if _, ok := q.shares[a.Team]; !ok {
		q.shares[a.Team] = 0 // counts as one that shares until the next load
	}
	w, ok := q.waiting[a.ID]
	if !ok {
		w = &queued{since: now}
		q.waiting[a.ID] = w
	}
	w.ask, w.seen, w.granted = a, now, make(chan struct{})
	granted := w.granted
	q.schedule(now)
	q.lock.Unlock()
	select {
	case <-granted:
		return Answer{Granted: true}
	case <-ctx.Done():
	}
	return q.away(a.ID, granted)
}

// away ends the stay of an asker, which may have been granted meanwhile.
func (q *Queue) away(id ID, granted <-chan struct{}) Answer {
	q.lock.Lock()
	defer q.lock.Unlock()
	select {
	case <-granted:
		return Answer{Granted: true}
	default:
	}
	w, ok := q.waiting[id]
	if !ok || w.granted != granted {
		return Answer{}
	}
	w.granted, w.seen = nil, time.Now()
	return Answer{Wait: q.expect(w)}
}

func (q *Queue) setup() {
	if q.waiting == nil {
		q.waiting = map[ID]*queued{}
		q.running = map[ID]time.Time{}
		q.started = map[ID]time.Time{}
		q.failures = map[string]failure{}
		q.shares = map[string]float64{}
	}
}

// Leave takes an ask out of the queue.
func (q *Queue) Leave(id ID) {
	q.lock.Lock()
	defer q.lock.Unlock()
	delete(q.waiting, id)
}

// Done ends a permission. A failed load keeps its path back for a while.
func (q *Queue) Done(id ID, path string, failed bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.setup()
	now := time.Now()
	if start, ok := q.started[id]; ok && !failed {
		took := now.Sub(start)
		q.length += time.Duration(smoothing * float64(took-q.length))
	}
	q.end(id)
	if failed {
		q.fail(path, now)
	} else {
		delete(q.failures, path)
	}
	q.schedule(now)
}

func (q *Queue) end(id ID) {
	delete(q.running, id)
	delete(q.started, id)
}

func (q *Queue) fail(path string, now time.Time) {
	for p, f := range q.failures {
		if len(q.failures) < maxFailures && now.Sub(f.last) < forgetFailure {
			continue
		}
		delete(q.failures, p)
	}
	f := q.failures[path]
	pause := min(firstBackoff<<min(f.count, 10), lastBackoff)
	q.failures[path] = failure{count: f.count + 1, last: now, before: now.Add(pause)}
}

// schedule grants what the budget allows, and wakes itself when that may be
// more. The lock is held.
func (q *Queue) schedule(now time.Time) {
	perSecond, concurrent := q.Limits()
	for id, end := range q.running {
		if !now.Before(end) {
			q.end(id)
		}
	}
	for perSecond > 0 && len(q.running) < max(concurrent, 1) && !now.Before(q.next) {
		w := q.first(now)
		if w == nil {
			return
		}
		delete(q.waiting, w.ask.ID)
		q.running[w.ask.ID] = now.Add(w.ask.Hold)
		q.started[w.ask.ID] = now
		q.charge(w.ask.Team, now)
		q.next = now.Add(time.Duration(float64(time.Second) / perSecond))
		close(w.granted)
	}
	q.wake(now)
}

// wake runs schedule again when the rate allows the next load, or after a
// while when a permission may have run out. The lock is held.
func (q *Queue) wake(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	pause := keepAsk
	if now.Before(q.next) {
		pause = q.next.Sub(now)
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timer = time.AfterFunc(pause, func() {
		q.lock.Lock()
		defer q.lock.Unlock()
		q.schedule(time.Now())
	})
}

// first returns the ask whose wait costs most, of those whose asker is here,
// and forgets those whose asker does not come back. The lock is held.
func (q *Queue) first(now time.Time) *queued {
	var best *queued
	for id, w := range q.waiting {
		if w.granted == nil {
			if now.Sub(w.seen) > keepAsk {
				delete(q.waiting, id)
			}
			continue
		}
		if best == nil || q.before(w, best, now) {
			best = w
		}
	}
	return best
}

// before orders two asks; equal ones by their age and name.
func (q *Queue) before(a, b *queued, now time.Time) bool {
	x, y := q.cost(a, now), q.cost(b, now)
	switch {
	case x != y:
		return x > y
	case !a.since.Equal(b.since):
		return a.since.Before(b.since)
	case a.ask.ID.Asker != b.ask.ID.Asker:
		return a.ask.ID.Asker < b.ask.ID.Asker
	}
	return a.ask.ID.Number < b.ask.ID.Number
}

// cost is what a second of the ask's wait costs, less for a team that has had
// more than its fair share of the loads of late.
func (q *Queue) cost(w *queued, now time.Time) float64 {
	aged := w.ask.Weight * (1 + float64(now.Sub(w.since))/float64(agingTime))
	excess := q.shares[w.ask.Team] * float64(len(q.shares)) / max(q.charged, 1)
	if excess <= fairExcess {
		return aged
	}
	return aged * math.Pow(fairExcess/excess, fairPower)
}

// charge counts a load for its team. The lock is held.
func (q *Queue) charge(team string, now time.Time) {
	decay := math.Exp(-float64(now.Sub(q.shared)) / float64(shareTime))
	q.shared = now
	for t := range q.shares {
		if q.shares[t] *= decay; q.shares[t] < minShare {
			delete(q.shares, t)
		}
	}
	q.shares[team]++
	q.charged = 0
	for _, n := range q.shares {
		q.charged += n
	}
}

// expect returns the time until the ask's load ends: those before it at the
// budget's pace, and its own load. The lock is held.
func (q *Queue) expect(w *queued) time.Duration {
	perSecond, concurrent := q.Limits()
	now := time.Now()
	ahead := 0
	for _, o := range q.waiting {
		if o != w && q.before(o, w, now) {
			ahead++
		}
	}
	if perSecond <= 0 {
		return keepAsk
	}
	pace := time.Duration(float64(time.Second) / perSecond)
	pace = max(pace, q.length/time.Duration(max(concurrent, 1)))
	return time.Duration(ahead+1)*pace + q.length
}
