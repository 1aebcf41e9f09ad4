package snipelimit

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// queueFactor and queueExtra bound the length of a queue: queueFactor times
	// the limit, plus queueExtra.
	queueFactor, queueExtra = 4, 16
	// leastUrgentEvery is the interval, in grants, at which the least urgent
	// waiting class is served first, so that urgent classes cannot starve it.
	leastUrgentEvery = 8
	// meanWeight is the weight of the latest call in the mean duration of calls.
	meanWeight = 0.1
)

// Queue admits calls to one upstream: as many run as an adaptive limit permits, and
// the others wait or are refused. It is safe for concurrent use.
type Queue struct {
	lock    sync.Mutex // guards the fields below
	limit   adaptive
	running int
	waiting int
	grants  int           // calls admitted so far
	mean    time.Duration // moving average of the duration of a call
	teams   map[string]*teamQueue
	classes [snipecall.Classes]int // waiting calls by class
}

// teamQueue holds the running and waiting calls of one team.
type teamQueue struct {
	running   int
	lastGrant int // value of Queue.grants at the team's last grant
	waiting   [snipecall.Classes][]*waiter
}

// waiter is a call that waits to be admitted.
type waiter struct {
	call     *snipecall.Call
	decision chan error // receives nil when the call is admitted, or the refusal of the call
}

// NewQueue returns the queue of an upstream that executes batch calls at once;
// zero means that the number is unknown.
func NewQueue(batch int) *Queue {
	return &Queue{limit: newAdaptive(batch), teams: map[string]*teamQueue{}}
}

// Resize sets the number of calls that the upstream executes at once. If the number
// has changed, the limit starts again from it, and waiting calls that it permits are
// admitted.
func (q *Queue) Resize(batch int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.limit.resize(batch)
	q.admitWaiting()
}

// Enter waits until the call may run. If the call is admitted, the caller must
// call done once when the call ends, with the error of the call or nil. Enter
// fails with ErrLimited if the call may not wait or is evicted, and with
// ErrDeadline or ErrCanceled if ctx ends first.
func (q *Queue) Enter(ctx context.Context, c *snipecall.Call) (done func(error), err error) {
	q.lock.Lock()
	if q.running < q.limit.maxCalls() && q.waiting == 0 {
		q.grant(c)
		q.lock.Unlock()
		return q.doneFunc(c), nil
	}
	if err := q.ensureCapacity(c); err != nil {
		q.lock.Unlock()
		return nil, err
	}
	w := &waiter{call: c, decision: make(chan error, 1)}
	q.push(w)
	q.lock.Unlock()
	select {
	case err := <-w.decision:
		if err != nil {
			return nil, err
		}
		return q.doneFunc(c), nil
	case <-ctx.Done():
		return q.abandon(ctx, w)
	}
}

// ensureCapacity returns nil if the call may wait, and the refusal of the call
// otherwise. It refuses a call whose expected wait exceeds the time until its
// deadline. If the queue is full, it evicts the newest call of the least urgent class
// of the team with the most waiting calls, or refuses the new call if no other team
// has more waiting calls than that of the new call. The lock is held.
func (q *Queue) ensureCapacity(c *snipecall.Call) error {
	wait := q.expectedWait(c)
	if left := time.Until(c.Deadline); wait > left {
		return limited(c, "the queue is longer than the deadline", wait-left)
	}
	if q.waiting < queueFactor*q.limit.maxCalls()+queueExtra {
		return nil
	}
	most, name := 0, ""
	for n, t := range q.teams {
		if l := t.queued(); l > most || l == most && n < name {
			most, name = l, n
		}
	}
	if t := q.teams[c.Team]; name == c.Team || t != nil && t.queued() >= most {
		return limited(c, "the queue is full", wait)
	}
	w := q.pop(q.teams[name], name, true)
	w.decision <- limited(w.call, "pushed out of a full queue", wait)
	return nil
}

// expectedWait estimates how long a new call would wait. The calls ahead of it
// are all waiting calls of more urgent classes, those of its own team and class,
// and of each other team at most one more than those of its own team, because the
// teams alternate within a class. The lock is held.
func (q *Queue) expectedWait(c *snipecall.Call) time.Duration {
	ahead := 1
	for class := range c.Class {
		ahead += q.classes[class]
	}
	own := 0
	if t := q.teams[c.Team]; t != nil {
		own = len(t.waiting[c.Class])
	}
	for name, t := range q.teams {
		if name != c.Team {
			ahead += min(len(t.waiting[c.Class]), own+1)
		}
	}
	return time.Duration(ahead+own) * q.mean / time.Duration(q.limit.maxCalls())
}

// grant records that a call starts to run. The lock is held.
func (q *Queue) grant(c *snipecall.Call) {
	t := q.team(c.Team)
	t.running++
	q.grants++
	t.lastGrant = q.grants
	q.running++
}

// team returns the entry of a team, and adds it if necessary. The lock is held.
func (q *Queue) team(name string) *teamQueue {
	t, ok := q.teams[name]
	if !ok {
		t = &teamQueue{}
		q.teams[name] = t
	}
	return t
}

// push appends a call to the queue. The lock is held.
func (q *Queue) push(w *waiter) {
	t := q.team(w.call.Team)
	t.waiting[w.call.Class] = append(t.waiting[w.call.Class], w)
	q.classes[w.call.Class]++
	q.waiting++
}

// queued returns the number of waiting calls of the team.
func (t *teamQueue) queued() int {
	n := 0
	for _, w := range t.waiting {
		n += len(w)
	}
	return n
}

// pop removes and returns a waiting call of a team: the newest call of its least
// urgent class if newest is set, and the oldest call of its most urgent class
// otherwise. It returns nil if the team has none. The lock is held.
func (q *Queue) pop(t *teamQueue, name string, newest bool) *waiter {
	for i := range snipecall.Classes {
		class := i
		if newest {
			class = snipecall.Classes - 1 - i
		}
		if w := t.take(class, newest); w != nil {
			q.recordRemoval(name, t, class)
			return w
		}
	}
	return nil
}

// take removes and returns the newest waiter of a class if newest is set, and the
// oldest one otherwise. It returns nil if there is none.
func (t *teamQueue) take(class snipecall.Class, newest bool) *waiter {
	list := t.waiting[class]
	if len(list) == 0 {
		return nil
	}
	i := 0
	if newest {
		i = len(list) - 1
	}
	w := list[i]
	list[i] = nil
	if newest {
		t.waiting[class] = list[:i]
	} else {
		t.waiting[class] = list[1:]
	}
	return w
}

// recordRemoval updates the counts after a waiting call was removed, and deletes
// the team if it has no calls left. The lock is held.
func (q *Queue) recordRemoval(name string, t *teamQueue, class snipecall.Class) {
	q.classes[class]--
	q.waiting--
	q.deleteIdle(name, t)
}

// deleteIdle deletes a team that has neither running nor waiting calls, which
// bounds the size of the map. The lock is held.
func (q *Queue) deleteIdle(name string, t *teamQueue) {
	if t.running == 0 && t.queued() == 0 {
		delete(q.teams, name)
	}
}

// admitWaiting admits waiting calls while fewer calls run than the limit allows.
// The lock is held.
func (q *Queue) admitWaiting() {
	for q.running < q.limit.maxCalls() && q.waiting > 0 {
		class := q.nextClass()
		name, t := q.nextTeam(class)
		w := t.take(class, false)
		q.grant(w.call)
		q.recordRemoval(name, t, class)
		w.decision <- nil
	}
}

// nextClass returns the class to serve next: the most urgent waiting class, but
// the least urgent one at every leastUrgentEvery-th grant. The lock is held.
func (q *Queue) nextClass() snipecall.Class {
	first, last := snipecall.Classes, snipecall.Class(0)
	for class, n := range q.classes {
		if n == 0 {
			continue
		}
		first = min(first, snipecall.Class(class))
		last = max(last, snipecall.Class(class))
	}
	if (q.grants+1)%leastUrgentEvery == 0 {
		return last
	}
	return first
}

// nextTeam returns the team to serve next in a class: among the teams with
// waiting calls in that class, the one with the fewest running calls, and among
// equals the one whose last grant is the oldest. The lock is held.
func (q *Queue) nextTeam(class snipecall.Class) (string, *teamQueue) {
	var best *teamQueue
	var name string
	for n, t := range q.teams {
		switch {
		case len(t.waiting[class]) == 0:
		case best == nil, t.running < best.running,
			t.running == best.running && t.lastGrant < best.lastGrant,
			t.running == best.running && t.lastGrant == best.lastGrant && n < name:
			best, name = t, n
		}
	}
	return name, best
}

// doneFunc returns the function that ends an admitted call, given its error. The
// duration of the call counts from now on.
func (q *Queue) doneFunc(c *snipecall.Call) func(error) {
	start := time.Now()
	return func(err error) {
		q.lock.Lock()
		defer q.lock.Unlock()
		elapsed := time.Since(start)
		q.mean += time.Duration(meanWeight * float64(elapsed-q.mean))
		q.limit.observe(classify(err), elapsed, q.running)
		q.running--
		t := q.teams[c.Team]
		t.running--
		q.deleteIdle(c.Team, t)
		q.admitWaiting()
	}
}

// abandon removes a waiting call whose context has ended, and returns ErrDeadline or
// ErrCanceled. If the call was admitted or refused at the same time, abandon returns
// that decision instead.
func (q *Queue) abandon(ctx context.Context, w *waiter) (func(error), error) {
	q.lock.Lock()
	defer q.lock.Unlock()
	select {
	case err := <-w.decision:
		// The decision and the end of the context were concurrent.
		if err != nil {
			return nil, err
		}
		return q.doneFunc(w.call), nil
	default:
	}
	t := q.teams[w.call.Team]
	list := t.waiting[w.call.Class]
	for i := range list {
		if list[i] == w {
			t.waiting[w.call.Class] = append(list[:i:i], list[i+1:]...)
			q.recordRemoval(w.call.Team, t, w.call.Class)
			break
		}
	}
	kind := snipeerror.ErrCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = snipeerror.ErrDeadline
	}
	return nil, snipeerror.New(kind, snipeerror.NotRun, "while waiting for upstream "+w.call.Upstream)
}

// Load returns the number of running calls, the number of waiting calls, and how many
// calls may run at once.
func (q *Queue) Load() (running, waiting, limit int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.running, q.waiting, q.limit.maxCalls()
}
