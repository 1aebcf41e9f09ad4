package snipeweight

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// agingTime is the wait after which the cost of a request has doubled, so
	// that requests of low weight are not passed over forever.
	agingTime = 10 * time.Second
	// loadDecayTime is the time in which a team's load count falls to 1/e.
	loadDecayTime = 30 * time.Second
	// minTeamLoads is the load count below which a team no longer counts when the
	// even share is computed.
	minTeamLoads = 0.05
	// fairExcess limits a team's recent loads, as a multiple of the even share: all
	// recent loads divided by the number of teams. If a team's multiple m exceeds
	// fairExcess, the cost of its requests is reduced: it is multiplied by
	// (fairExcess/m) to the power of fairExponent.
	fairExcess   = 1.5
	fairExponent = 4
	// askTimeout is how long a request stays queued without an open poll, which is
	// a call of Queue.Ask that has not returned.
	askTimeout = 3 * time.Second
	// initialBackoff is the backoff after the first failed load of a path. The
	// backoff doubles with each further failure, up to maxBackoff, until a load of
	// the path ends without a failure.
	initialBackoff = time.Second
	maxBackoff     = time.Minute
	// failureTTL is how long the failures of a path are kept after the last one.
	failureTTL = 5 * time.Minute
	// maxFailedPaths bounds the number of paths whose failures are kept.
	maxFailedPaths = 10000
	// smoothing is the weight of a new measurement in the mean load time.
	smoothing = 0.2
)

// ID identifies a request across its polls: the name of the instance that asks and its number for
// the request.
type ID struct {
	Asker  string
	Number uint64
}

// Ask is a request for permission to load an adapter, or to renew a permission.
type Ask struct {
	ID ID
	// Path is the path of the weights to load, Team the team that owns the
	// adapter.
	Path string
	Team string
	// Weight is the cost of a second of waiting.
	Weight float64
	// Hold is the time after which the permission expires if it is not renewed.
	Hold time.Duration
	// Renew is set if the load already runs under a permission, which the queue of
	// another instance may have granted.
	Renew bool
}

// Answer is the queue's response to an Ask.
type Answer struct {
	// Granted reports that the load is permitted.
	Granted bool
	// Wait is the expected time until the load ends or, if Backoff is set, the
	// time until the path may be requested again. It is zero if Granted is set.
	Wait time.Duration
	// Backoff reports that earlier loads of the path failed. The request is not
	// queued.
	Backoff bool
}

// queuedAsk is a request that waits for permission.
type queuedAsk struct {
	ask        Ask
	since      time.Time
	lastActive time.Time     // when the last poll began or ended
	granted    chan struct{} // closed when permission is granted; nil if no poll is open
}

// failedPath holds the failures of a path since its last load that did not fail.
type failedPath struct {
	count     int
	last      time.Time
	notBefore time.Time
}

// Queue is the queue of requests to load from the weight store. Each instance has
// one, and uses it while other instances or itself regard it as the holder.
// Exported fields are set before the first call. Queue is safe for concurrent use.
type Queue struct {
	// Limits returns how many loads may start per second and how many may run at
	// once: the weight store's budget or, during a network partition, the share
	// of this side. With a rate of 0, no load starts; a number below 1 counts as 1.
	Limits func() (perSecond float64, concurrent int)

	lock       sync.Mutex // guards the fields below
	waiting    map[ID]*queuedAsk
	running    map[ID]time.Time // when each permission expires unless renewed
	started    map[ID]time.Time // when each permission was granted by this queue
	failures   map[string]failedPath
	teamLoads  map[string]float64 // loads of each team, decaying with loadDecayTime
	totalLoads float64            // sum of teamLoads
	lastDecay  time.Time          // when teamLoads were last decayed
	nextStart  time.Time          // the earliest start of the next load
	loadTime   time.Duration      // smoothed mean duration of successful loads
	timer      *time.Timer        // runs schedule
}

// Ask is one poll of a request: it queues the request, if necessary, and waits
// for permission until ctx ends. If permission is not granted by then, the
// answer contains the expected wait; it is empty if the request was removed from
// the queue in the meantime or a newer poll of it is open. A renewal is granted
// at once, whether or not this queue granted the permission. A request for a path
// in backoff is refused at once and removed from the queue.
func (q *Queue) Ask(ctx context.Context, a Ask) Answer {
	q.lock.Lock()
	now := time.Now()
	q.setup()
	if a.Renew {
		q.running[a.ID] = now.Add(a.Hold)
		q.lock.Unlock()
		return Answer{Granted: true}
	}
	if f, ok := q.failures[a.Path]; ok && now.Before(f.notBefore) {
		delete(q.waiting, a.ID)
		q.lock.Unlock()
		return Answer{Backoff: true, Wait: f.notBefore.Sub(now)}
	}
	if _, ok := q.running[a.ID]; ok {
		// The answer to an earlier poll of this request was lost.
		q.lock.Unlock()
		return Answer{Granted: true}
	}
	if _, ok := q.teamLoads[a.Team]; !ok {
		q.teamLoads[a.Team] = 0 // the team counts in the even share until the next load
	}
	w, ok := q.waiting[a.ID]
	if !ok {
		w = &queuedAsk{since: now}
		q.waiting[a.ID] = w
	}
	w.ask, w.lastActive, w.granted = a, now, make(chan struct{})
	granted := w.granted
	q.schedule(now)
	q.lock.Unlock()
	select {
	case <-granted:
		return Answer{Granted: true}
	case <-ctx.Done():
	}
	return q.endPoll(a.ID, granted)
}

// endPoll returns the answer to a poll whose context has ended. Permission may
// have been granted in the meantime. The answer is empty if the request is no
// longer queued or a newer poll of it is open.
func (q *Queue) endPoll(id ID, granted <-chan struct{}) Answer {
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
	w.granted, w.lastActive = nil, time.Now()
	return Answer{Wait: q.expectedWait(w)}
}

func (q *Queue) setup() {
	if q.waiting == nil {
		q.waiting = map[ID]*queuedAsk{}
		q.running = map[ID]time.Time{}
		q.started = map[ID]time.Time{}
		q.failures = map[string]failedPath{}
		q.teamLoads = map[string]float64{}
	}
}

// Leave removes a request from the queue. It does not end a permission, and the
// open poll of the request lasts until its context ends.
func (q *Queue) Leave(id ID) {
	q.lock.Lock()
	defer q.lock.Unlock()
	delete(q.waiting, id)
}

// Done ends a permission. A failed load starts or extends the backoff of its
// path; otherwise the failures of the path are forgotten. If this queue granted
// the permission and the load did not fail, the mean load time is updated.
func (q *Queue) Done(id ID, path string, failed bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.setup()
	now := time.Now()
	if start, ok := q.started[id]; ok && !failed {
		took := now.Sub(start)
		q.loadTime += time.Duration(smoothing * float64(took-q.loadTime))
	}
	q.endPermission(id)
	if failed {
		q.recordFailure(path, now)
	} else {
		delete(q.failures, path)
	}
	q.schedule(now)
}

func (q *Queue) endPermission(id ID) {
	delete(q.running, id)
	delete(q.started, id)
}

// recordFailure counts a failure of a path and sets its backoff. It deletes the
// paths whose last failure is older than failureTTL and, at maxFailedPaths, one
// arbitrary path. q.lock is held.
func (q *Queue) recordFailure(path string, now time.Time) {
	for p, f := range q.failures {
		if len(q.failures) < maxFailedPaths && now.Sub(f.last) < failureTTL {
			continue
		}
		delete(q.failures, p)
	}
	f := q.failures[path]
	pause := min(initialBackoff<<min(f.count, 10), maxBackoff)
	q.failures[path] = failedPath{count: f.count + 1, last: now, notBefore: now.Add(pause)}
}

// schedule ends expired permissions, grants as many new ones as the limits
// allow and sets the timer for its next run. It sets no timer if the limits allow
// another load but no request has an open poll: the next poll runs schedule.
// q.lock is held.
func (q *Queue) schedule(now time.Time) {
	perSecond, concurrent := q.Limits()
	for id, end := range q.running {
		if !now.Before(end) {
			q.endPermission(id)
		}
	}
	for perSecond > 0 && len(q.running) < max(concurrent, 1) && !now.Before(q.nextStart) {
		w := q.nextAsk(now)
		if w == nil {
			return
		}
		delete(q.waiting, w.ask.ID)
		q.running[w.ask.ID] = now.Add(w.ask.Hold)
		q.started[w.ask.ID] = now
		q.countLoad(w.ask.Team, now)
		q.nextStart = now.Add(time.Duration(float64(time.Second) / perSecond))
		close(w.granted)
	}
	q.resetTimer(now)
}

// resetTimer sets the timer to run schedule once the rate allows the next load.
// If only the limit on concurrent loads delays the next load, or no load may start
// because the rate is 0, the timer fires after askTimeout, by which time a
// permission that was not renewed may have expired. Without waiting requests, the
// timer is not set. q.lock is held.
func (q *Queue) resetTimer(now time.Time) {
	if len(q.waiting) == 0 {
		return
	}
	pause := askTimeout
	if now.Before(q.nextStart) {
		pause = q.nextStart.Sub(now)
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

// nextAsk returns the request with the highest cost of waiting among those with
// an open poll, or nil if there is none. It removes requests without an open
// poll after askTimeout. q.lock is held.
func (q *Queue) nextAsk(now time.Time) *queuedAsk {
	var best *queuedAsk
	for id, w := range q.waiting {
		if w.granted == nil {
			if now.Sub(w.lastActive) > askTimeout {
				delete(q.waiting, id)
			}
			continue
		}
		if best == nil || q.precedes(w, best, now) {
			best = w
		}
	}
	return best
}

// precedes reports whether a is granted before b: the request of higher cost
// first, equal ones by age, instance and number. q.lock is held.
func (q *Queue) precedes(a, b *queuedAsk, now time.Time) bool {
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

// cost returns the cost of a second of waiting. It grows with the age of the
// request, and is reduced if the team's share of the recent loads exceeds
// fairExcess times its even share, which is one divided by the number of teams.
// q.lock is held.
func (q *Queue) cost(w *queuedAsk, now time.Time) float64 {
	aged := w.ask.Weight * (1 + float64(now.Sub(w.since))/float64(agingTime))
	excess := q.teamLoads[w.ask.Team] * float64(len(q.teamLoads)) / max(q.totalLoads, 1)
	if excess <= fairExcess {
		return aged
	}
	return aged * math.Pow(fairExcess/excess, fairExponent)
}

// countLoad decays the load counts of all teams and adds one load to that of
// team. q.lock is held.
func (q *Queue) countLoad(team string, now time.Time) {
	decay := math.Exp(-float64(now.Sub(q.lastDecay)) / float64(loadDecayTime))
	q.lastDecay = now
	for t := range q.teamLoads {
		if q.teamLoads[t] *= decay; q.teamLoads[t] < minTeamLoads {
			delete(q.teamLoads, t)
		}
	}
	q.teamLoads[team]++
	q.totalLoads = 0
	for _, n := range q.teamLoads {
		q.totalLoads += n
	}
}

// expectedWait returns the expected time until the request's load ends: one
// interval for each request ahead of it and for itself, and the mean load time
// for the load. The interval between two starts is set by the rate or by the
// concurrent loads, whichever is slower. While the rate is 0, the expected wait
// is askTimeout. q.lock is held.
func (q *Queue) expectedWait(w *queuedAsk) time.Duration {
	perSecond, concurrent := q.Limits()
	now := time.Now()
	ahead := 0
	for _, o := range q.waiting {
		if o != w && q.precedes(o, w, now) {
			ahead++
		}
	}
	if perSecond <= 0 {
		return askTimeout
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	interval = max(interval, q.loadTime/time.Duration(max(concurrent, 1)))
	return time.Duration(ahead+1)*interval + q.loadTime
}
