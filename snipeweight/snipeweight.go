// Package snipeweight keeps the loads of all instances within the weight
// store's budget: a rate at which loads may start and a number that may run at
// once.
//
// Design. One instance holds the one queue (Queue); which one follows from the
// live instances by rendezvous hash, without an agreement. Every owner asks it
// for permission before each load (Permits), with the weighted wait that the
// load would end, and repeats the ask every second with the current weight; a
// queue entry whose asker does not come back is forgotten. The queue is soft
// state:
//
//   - Two holders at once cost speed of the store, not safety: each keeps
//     within the limits it believes in. When the instances are split, each
//     side takes the share of the budget of its live instances.
//   - When the holder does not answer, the asker turns to the next in rank;
//     its entry there starts anew.
//   - A permission counts while it is renewed, every second, at whoever holds
//     the queue. One whose reply was lost, or whose end was not told, counts for
//     three seconds: while it counted for the longest load, a cut of one
//     instance stopped the loads of all.
//   - A path whose load failed is kept back for a while that doubles; asks for
//     it are answered at once, and stand in nobody's way.
package snipeweight

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipetime"
)

const (
	// firstPoll is the length of the first ask, so that the expectation comes
	// back at once; poll is that of the later ones.
	firstPoll = 20 * time.Millisecond
	poll      = time.Second
	// answerSlack is what an answer may take beyond the poll.
	answerSlack = time.Second
	// avoidHolder is how long a holder that did not answer is passed over.
	avoidHolder = 5 * time.Second
	// holdTime is how long a permission counts that is not renewed, renewEvery
	// the time between renewals.
	holdTime   = 3 * time.Second
	renewEvery = time.Second
	// noHolderPause is the pause when no holder answers.
	noHolderPause = 200 * time.Millisecond
)

// BackoffError tells that the loads of a path have failed and that it will not
// be loaded before a while.
type BackoffError struct {
	// After is the time until the next load is tried.
	After time.Duration
}

// Error implements error.
func (e *BackoffError) Error() string {
	return "loads of the adapter failed; next try in " + e.After.Round(time.Millisecond).String()
}

// Holder is an instance that may hold the queue.
type Holder struct {
	// Name is the instance's name.
	Name string
	// Ask, Leave and Done are those of its Queue, perhaps over the network.
	Ask   func(ctx context.Context, a Ask) (Answer, error)
	Leave func(ctx context.Context, id ID) error
	Done  func(ctx context.Context, id ID, path string, failed bool) error
}

// Local returns this instance itself as a holder.
func Local(name string, q *Queue) Holder {
	return Holder{
		Name:  name,
		Ask:   func(ctx context.Context, a Ask) (Answer, error) { return q.Ask(ctx, a), nil },
		Leave: func(_ context.Context, id ID) error { q.Leave(id); return nil },
		Done: func(_ context.Context, id ID, path string, failed bool) error {
			q.Done(id, path, failed)
			return nil
		},
	}
}

// Permits asks for permissions on behalf of one instance. Exported fields are
// set before the first call.
type Permits struct {
	// Self is the instance's name, unique among its starts.
	Self string
	// Holders returns the live instances, the one that should hold the queue
	// first.
	Holders func() []Holder

	number atomic.Uint64
	lock   sync.Mutex // guards avoid
	avoid  map[string]time.Time
}

// Acquire waits for permission to load what d waits for. The returned function
// ends the load and must be called once. While it waits, d learns when the load
// is expected to end.
func (p *Permits) Acquire(ctx context.Context, d *Demand) (func(failed bool), error) {
	id := ID{Asker: p.Self, Number: p.number.Add(1)}
	length := firstPoll
	last := ""
	for {
		h, ok := p.holder()
		if !ok {
			if !snipetime.Sleep(ctx, noHolderPause) {
				return nil, ctx.Err()
			}
			continue
		}
		if h.Name != last {
			length, last = firstPoll, h.Name
		}
		ask := Ask{ID: id, Path: d.Path, Team: d.Team, Weight: d.Weight(), Hold: holdTime}
		answer, err := p.ask(ctx, h, ask, length)
		switch {
		case ctx.Err() != nil:
			p.leave(h, id, d.Path, answer)
			return nil, ctx.Err()
		case err != nil:
			p.shun(h.Name)
			continue
		case answer.Granted:
			return p.keep(h, ask), nil
		case answer.Backoff:
			return nil, &BackoffError{After: answer.Wait}
		}
		length = poll
		d.Expect(time.Now().Add(answer.Wait))
	}
}

// ask makes one poll.
func (p *Permits) ask(ctx context.Context, h Holder, a Ask, length time.Duration) (Answer, error) {
	bounded, cancel := context.WithTimeout(ctx, length+answerSlack)
	defer cancel()
	inner, stop := context.WithTimeout(bounded, length)
	defer stop()
	answer, err := h.Ask(inner, a)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "ask %s", h.Name)
	}
	return answer, nil
}

// holder returns the first holder that is not passed over.
func (p *Permits) holder() (Holder, bool) {
	all := p.Holders()
	p.lock.Lock()
	defer p.lock.Unlock()
	now := time.Now()
	for _, h := range all {
		if now.After(p.avoid[h.Name]) {
			return h, true
		}
	}
	return Holder{}, false
}

func (p *Permits) shun(name string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.avoid == nil {
		p.avoid = map[string]time.Time{}
	}
	p.avoid[name] = time.Now().Add(avoidHolder)
}

// leave gives an ask up; its own context has ended.
func (p *Permits) leave(h Holder, id ID, path string, answer Answer) {
	if answer.Granted {
		p.done(h, id, path, false)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerSlack)
		defer cancel()
		// Without it the queue forgets the ask by itself.
		_ = h.Leave(ctx, id)
	}()
}

// keep renews a permission until the returned function is called, which tells
// the holder that the load has ended.
func (p *Permits) keep(h Holder, a Ask) func(failed bool) {
	a.Renew = true
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for snipetime.Sleep(ctx, renewEvery) {
			now, ok := p.holder()
			if !ok {
				continue
			}
			h = now
			if _, err := p.ask(ctx, now, a, firstPoll); err != nil {
				p.shun(now.Name)
			}
		}
	}()
	return func(failed bool) {
		cancel()
		go func() {
			// A renewal after the end would count as a load that runs.
			<-ended
			p.done(h, a.ID, a.Path, failed)
		}()
	}
}

func (p *Permits) done(h Holder, id ID, path string, failed bool) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerSlack)
		defer cancel()
		// Without it the permission runs out by itself.
		_ = h.Done(ctx, id, path, failed)
	}()
}
