// Package snipeweight keeps the loads of all instances within the weight
// store's budget: a rate at which loads may start and a number of loads that
// may run at once.
//
// One instance, the holder, holds the queue of loads (Queue). Each instance finds
// the holder by rendezvous hashing over the live instances, without consensus.
// Before each load, the engine's owner requests permission from the holder
// (Permits), with its weight: the summed cost of the calls that wait for the load.
// The request consists of polls. A poll waits at the queue for up to a second, and
// states the current weight; the queue removes a request whose polls cease. The
// queue is soft state:
//
//   - Two holders at the same time can exceed the budget and slow the weight
//     store down, but this is safe: each keeps within the limits it computes.
//     During a network partition, each side uses a share of the budget in
//     proportion to its live instances.
//   - When the holder does not answer, the requesting instance uses the next instance of
//     the ranking, where its request is queued as a new one.
//   - While a load runs, its permission is renewed every second at the current
//     holder. A permission whose answer or end was lost therefore expires after
//     three seconds. If a permission instead lasted for the longest load without
//     renewal, the loss of the connection to one instance would stop the loads of
//     all instances for that time.
//   - A path whose load failed is not loaded again before a backoff, which
//     doubles with each failure. Requests for the path are answered at once and
//     do not delay others.
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
	// firstPoll is the length of the first poll at a holder, short so that the
	// expected wait is known soon; poll is the length of later ones.
	firstPoll = 20 * time.Millisecond
	poll      = time.Second
	// answerSlack is how much longer than the poll an answer may take.
	answerSlack = time.Second
	// holderSkipTime is how long a holder that did not answer is skipped.
	holderSkipTime = 5 * time.Second
	// holdTime is the time after which a permission expires if it is not
	// renewed, renewEvery the interval between renewals.
	holdTime   = 3 * time.Second
	renewEvery = time.Second
	// noHolderPause is the pause before the next attempt while all holders are
	// skipped.
	noHolderPause = 200 * time.Millisecond
)

// BackoffError is returned if earlier loads of a path failed and the path is in
// backoff.
type BackoffError struct {
	// After is the time until the path may be loaded again.
	After time.Duration
}

// Error implements error.
func (e *BackoffError) Error() string {
	return "loads of the adapter failed; next try in " + e.After.Round(time.Millisecond).String()
}

// Holder is the client of the queue of one instance. The queue of any live
// instance may be asked; the first instance in rank should hold the queue.
type Holder struct {
	// Name is the instance's name.
	Name string
	// Ask, Leave and Done call the methods of the instance's Queue, over the
	// network for another instance. An error means that the instance did not
	// answer or refused the arguments.
	Ask   func(ctx context.Context, a Ask) (Answer, error)
	Leave func(ctx context.Context, id ID) error
	Done  func(ctx context.Context, id ID, path string, failed bool) error
}

// Local returns the Holder for this instance's own queue.
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

// Permits requests permissions for the loads of one instance. Exported fields
// are set before the first call.
type Permits struct {
	// Self identifies the instance in its requests. It is unique to each start of
	// the process.
	Self string
	// Holders returns the live instances in the order of their rank as the holder:
	// the first one should hold the queue.
	Holders func() []Holder

	number    atomic.Uint64
	lock      sync.Mutex           // guards skipUntil
	skipUntil map[string]time.Time // by name, for holders that did not answer
}

// Acquire waits for permission for the load that d waits for, and passes the
// expected end of the load to d.Expect after each poll that was answered without
// permission. A holder that does not answer is skipped for holderSkipTime. The
// returned function ends the renewal of the permission, reports the end of the
// load in the background, and must be called once. The error is a *BackoffError
// or that of ctx.
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
			p.withdraw(h, id, d.Path, answer)
			return nil, ctx.Err()
		case err != nil:
			p.skip(h.Name)
			continue
		case answer.Granted:
			return p.startRenewal(h, ask), nil
		case answer.Backoff:
			return nil, &BackoffError{After: answer.Wait}
		}
		length = poll
		d.Expect(time.Now().Add(answer.Wait))
	}
}

// ask makes one poll of the given length at a holder.
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

// holder returns the first holder in rank that is not skipped, or false if all are.
func (p *Permits) holder() (Holder, bool) {
	all := p.Holders()
	p.lock.Lock()
	defer p.lock.Unlock()
	now := time.Now()
	for _, h := range all {
		if now.After(p.skipUntil[h.Name]) {
			return h, true
		}
	}
	return Holder{}, false
}

// skip skips a holder for holderSkipTime.
func (p *Permits) skip(name string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.skipUntil == nil {
		p.skipUntil = map[string]time.Time{}
	}
	p.skipUntil[name] = time.Now().Add(holderSkipTime)
}

// withdraw withdraws a request, or returns the permission if it was granted,
// after the context of Acquire has ended.
func (p *Permits) withdraw(h Holder, id ID, path string, answer Answer) {
	if answer.Granted {
		p.reportDone(h, id, path, false)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerSlack)
		defer cancel()
		// If this fails, the queue removes the request after askTimeout.
		_ = h.Leave(ctx, id)
	}()
}

// startRenewal renews a permission in the background, at the first holder that is
// not skipped, until the returned function is called. This function reports the
// end of the load, in the background, to the holder that was last asked to renew
// or, if none was, to the one that granted the permission.
func (p *Permits) startRenewal(h Holder, a Ask) func(failed bool) {
	a.Renew = true
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for snipetime.Sleep(ctx, renewEvery) {
			current, ok := p.holder()
			if !ok {
				continue
			}
			h = current
			if _, err := p.ask(ctx, current, a, firstPoll); err != nil {
				p.skip(current.Name)
			}
		}
	}()
	return func(failed bool) {
		cancel()
		go func() {
			// A renewal that arrives after the end would count as a running load.
			<-ended
			p.reportDone(h, a.ID, a.Path, failed)
		}()
	}
}

// reportDone reports the end of a load to a holder, in the background.
func (p *Permits) reportDone(h Holder, id ID, path string, failed bool) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerSlack)
		defer cancel()
		// If this fails, the permission expires by itself.
		_ = h.Done(ctx, id, path, failed)
	}()
}
