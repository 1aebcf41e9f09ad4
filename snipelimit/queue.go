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
	// queueFactor and queueSpare bound a queue: so many times the limit, and so
	// many more.
	queueFactor, queueSpare = 4, 16
	// passEvery is how often the class that is not the most urgent comes first,
	// so that none waits for good.
	passEvery = 8
	// holdWeight is the weight of the last call in the average time that a call
	// takes.
	holdWeight = 0.1
)

// Queue admits calls to one upstream. It is safe for concurrent use.
type Queue struct {
	lock    sync.Mutex // guards the fields below
	limit   adaptive
	running int
	waiting int
	grants  int
	hold    time.Duration // average time that a call takes
	teams   map[string]*team
	classes [snipecall.Classes]int // calls that wait
}

// team is what a team has at the upstream.
type team struct {
	running int
	last    int // the number of the last grant
	waiting [snipecall.Classes][]*waiter
}

// waiter is a call that waits for its turn.
type waiter struct {
	call *snipecall.Call
	turn chan error // takes nil for the turn, or why the call is refused
}

// NewQueue returns the queue of an upstream that executes so many calls at once;
// zero when it is not known.
func NewQueue(batch int) *Queue {
	return &Queue{limit: newAdaptive(batch), teams: map[string]*team{}}
}

// Resize tells the queue that its upstream executes so many calls at once now.
func (q *Queue) Resize(batch int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.limit.resize(batch)
	q.next()
}

// Enter waits for the call's turn. The caller calls done with its failure.
func (q *Queue) Enter(ctx context.Context, c *snipecall.Call) (done func(error), err error) {
	q.lock.Lock()
	if q.running < q.limit.calls() && q.waiting == 0 {
		q.grant(c)
		q.lock.Unlock()
		return q.leaver(c), nil
	}
	if err := q.refuse(c); err != nil {
		q.lock.Unlock()
		return nil, err
	}
	w := &waiter{call: c, turn: make(chan error, 1)}
	q.push(w)
	q.lock.Unlock()
	select {
	case err := <-w.turn:
		if err != nil {
			return nil, err
		}
		return q.leaver(c), nil
	case <-ctx.Done():
		return q.abandon(ctx, w)
	}
}

// refuse returns why a call is not to wait, or nil. It may push another call
// out of the queue. The lock is held.
func (q *Queue) refuse(c *snipecall.Call) error {
	wait := q.expected(c)
	if left := time.Until(c.Deadline); wait > left {
		return limited(c, "the queue is longer than the deadline", wait-left)
	}
	if q.waiting < queueFactor*q.limit.calls()+queueSpare {
		return nil
	}
	longest, name := 0, ""
	for n, t := range q.teams {
		if l := t.queued(); l > longest || l == longest && n < name {
			longest, name = l, n
		}
	}
	if t := q.teams[c.Team]; name == c.Team || t != nil && t.queued() >= longest {
		return limited(c, "the queue is full", wait)
	}
	w := q.pop(q.teams[name], name, true)
	w.turn <- limited(w.call, "pushed out of a full queue", wait)
	return nil
}

// expected returns how long a call would wait. Of its own class each team has
// as many calls before it as the call's own team, of more urgent ones all.
func (q *Queue) expected(c *snipecall.Call) time.Duration {
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
	return time.Duration(ahead+own) * q.hold / time.Duration(q.limit.calls())
}

// grant counts a call as running. The lock is held.
func (q *Queue) grant(c *snipecall.Call) {
	t := q.team(c.Team)
	t.running++
	q.grants++
	t.last = q.grants
	q.running++
}

func (q *Queue) team(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		t = &team{}
		q.teams[name] = t
	}
	return t
}

func (q *Queue) push(w *waiter) {
	t := q.team(w.call.Team)
	t.waiting[w.call.Class] = append(t.waiting[w.call.Class], w)
	q.classes[w.call.Class]++
	q.waiting++
}

// queued returns how many calls of the team wait.
func (t *team) queued() int {
	n := 0
	for _, w := range t.waiting {
		n += len(w)
	}
	return n
}

// pop takes a call of a team out of the queue: the oldest of the most urgent
// class, or the newest of the least urgent one. The lock is held.
func (q *Queue) pop(t *team, name string, newest bool) *waiter {
	for i := range snipecall.Classes {
		class := i
		if newest {
			class = snipecall.Classes - 1 - i
		}
		if w := t.take(class, newest); w != nil {
			q.removed(name, t, class)
			return w
		}
	}
	return nil
}

// take removes the oldest or newest waiter of a class.
func (t *team) take(class snipecall.Class, newest bool) *waiter {
	list := t.waiting[class]
	if len(list) == 0 {
		return nil
	}
	at := 0
	if newest {
		at = len(list) - 1
	}
	w := list[at]
	list[at] = nil
	if newest {
		t.waiting[class] = list[:at]
	} else {
		t.waiting[class] = list[1:]
	}
	return w
}

// removed counts a call that left the queue, and forgets a team that has
// nothing here any more. The lock is held.
func (q *Queue) removed(name string, t *team, class snipecall.Class) {
	q.classes[class]--
	q.waiting--
	q.forget(name, t)
}

func (q *Queue) forget(name string, t *team) {
	if t.running == 0 && t.queued() == 0 {
		delete(q.teams, name)
	}
}

// next gives turns while there is room. The lock is held.
func (q *Queue) next() {
	for q.running < q.limit.calls() && q.waiting > 0 {
		class := q.class()
		name, t := q.fairest(class)
		w := t.take(class, false)
		q.grant(w.call)
		q.removed(name, t, class)
		w.turn <- nil
	}
}

// class returns the class whose turn it is: the most urgent one that waits, and
// now and then the least urgent one. The lock is held.
func (q *Queue) class() snipecall.Class {
	first, last := snipecall.Classes, snipecall.Class(0)
	for class, n := range q.classes {
		if n == 0 {
			continue
		}
		first = min(first, snipecall.Class(class))
		last = max(last, snipecall.Class(class))
	}
	if (q.grants+1)%passEvery == 0 {
		return last
	}
	return first
}

// fairest returns the team with the fewest calls under way among those that
// wait in a class; among equals the one whose last turn is longest ago.
func (q *Queue) fairest(class snipecall.Class) (string, *team) {
	var best *team
	var name string
	for n, t := range q.teams {
		switch {
		case len(t.waiting[class]) == 0:
		case best == nil, t.running < best.running,
			t.running == best.running && t.last < best.last,
			t.running == best.running && t.last == best.last && n < name:
			best, name = t, n
		}
	}
	return name, best
}

// leaver returns what ends a call that has had its turn.
func (q *Queue) leaver(c *snipecall.Call) func(error) {
	start := time.Now()
	return func(err error) {
		q.lock.Lock()
		defer q.lock.Unlock()
		took := time.Since(start)
		q.hold += time.Duration(holdWeight * float64(took-q.hold))
		q.limit.observe(verdictOf(err), took, q.running)
		q.running--
		t := q.teams[c.Team]
		t.running--
		q.forget(c.Team, t)
		q.next()
	}
}

// abandon takes a call out of the queue whose context has ended.
func (q *Queue) abandon(ctx context.Context, w *waiter) (func(error), error) {
	q.lock.Lock()
	defer q.lock.Unlock()
	select {
	case err := <-w.turn:
		// The turn came at the same moment.
		if err != nil {
			return nil, err
		}
		return q.leaver(w.call), nil
	default:
	}
	t := q.teams[w.call.Team]
	list := t.waiting[w.call.Class]
	for i := range list {
		if list[i] == w {
			t.waiting[w.call.Class] = append(list[:i:i], list[i+1:]...)
			q.removed(w.call.Team, t, w.call.Class)
			break
		}
	}
	kind := snipeerror.ErrCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = snipeerror.ErrDeadline
	}
	return nil, snipeerror.New(kind, snipeerror.NotRun, "while waiting for upstream "+w.call.Upstream)
}

// Load returns the calls under way, those that wait, and the limit.
func (q *Queue) Load() (running, waiting, limit int) {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.running, q.waiting, q.limit.calls()
}
