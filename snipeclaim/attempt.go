package snipeclaim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
)

// step writes the attempt's record over the row's given version.
func (a *attempt) step(ctx context.Context, version uint64) error {
	a.record.Changed = time.Now().UTC()
	a.record.Expires = a.record.Changed.Add(Retention)
	data, err := json.Marshal(a.record)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	err = a.claims.Table.Settle(ctx, a.claims.Operation(), []snipeplatform.Change{{Key: a.key, Expect: version, Data: data}})
	if err != nil {
		return errors.Wrapf(err, "step to %s", a.record.State)
	}
	a.version = version + 1
	return nil
}

// dispatch marks the call as dispatched, once, and checks that it may still be
// handed on. Its failures mean that this attempt did not hand the call on.
func (a *attempt) dispatch(ctx context.Context, c *snipecall.Call) error {
	if !a.dispatched {
		if a.caller.Err() != nil {
			return snipeerror.New(snipeerror.ErrCanceled, snipeerror.NotRun, "before the dispatch")
		}
		if !before(c.Deadline) {
			return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "before the dispatch")
		}
		bounded, cancel := context.WithTimeout(ctx, a.claims.Timeout)
		defer cancel()
		a.record.State = Dispatched
		if err := a.step(bounded, a.version); err != nil {
			if errors.Is(err, snipeplatform.ErrConflict) {
				return snipeerror.New(snipeerror.ErrDuplicate, snipeerror.NotRun, "another attempt took the key over").After(inFlightRetry)
			}
			return down("dispatch", err)
		}
	}
	// The write's reply may have come after a long pause of this instance.
	if ctx.Err() != nil || !before(c.Deadline) {
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "before the dispatch")
	}
	a.dispatched = true
	return nil
}

// before reports whether a deadline is still to come, by the monotonic clock
// and by the wall clock: the one may stand still while a machine is suspended.
func before(deadline time.Time) bool {
	now := time.Now()
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

// collect returns a sink that keeps the answer, up to a bound, and goes on
// when the caller has gone away.
func (a *attempt) collect(sink snipecall.Sink) snipecall.Sink {
	return func(k snipecall.Chunk) error {
		a.size += len(k.Data)
		if a.size <= MaxKept {
			a.kept = append(a.kept, part{k.Status, k.ContentType, append([]byte(nil), k.Data...), k.Last})
		} else {
			a.kept = nil
		}
		if a.gone {
			return nil
		}
		err := sink(k)
		var wrong *snipeerror.CallError
		if err != nil && !errors.As(err, &wrong) {
			a.gone = true
			return nil
		}
		return err
	}
}

// errTooMany is logged when a row is left as it is.
var errTooMany = errors.New("too many rows wait for the table")

// finish completes the row after the final answer, without holding it up.
func (s *Claims) finish(a *attempt, err error) {
	s.once.Do(func() { s.slots = make(chan struct{}, maxFinishing) })
	select {
	case s.slots <- struct{}{}:
	default:
		s.Log.Error(snipelog.ClaimNotCompleted, errTooMany, nil)
		return
	}
	s.finishing.Go(func() {
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), finishTime)
		defer cancel()
		if err := a.complete(ctx, err); err != nil {
			s.Log.Error(snipelog.ClaimNotCompleted, err, nil)
		}
	})
}

// complete makes the last step: the answer, the knowledge that there is none,
// or the release of a key whose call was not run.
func (a *attempt) complete(ctx context.Context, err error) error {
	switch {
	case err == nil:
		a.record.State = Answered
		a.record.Kept = a.size <= MaxKept
		a.record.Answer = a.kept
	case !a.dispatched || snipeerror.From(err).Outcome == snipeerror.NotRun:
		return a.persist(ctx, a.release)
	default:
		a.record.State = Unanswered
	}
	return a.persist(ctx, func(ctx context.Context) error { return a.step(ctx, a.version) })
}

// persist repeats a step while the table is down and ctx lasts.
func (a *attempt) persist(ctx context.Context, f func(context.Context) error) error {
	for {
		err := f(ctx)
		if !errors.Is(err, snipeplatform.ErrUnavailable) {
			return err
		}
		t := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
			t.Stop()
			return err
		case <-t.C:
		}
	}
}

// release gives the key back as long as the row is this attempt's. The attempt
// is certain not to have run, also where a step of its own may have taken
// effect without its knowledge. The row stays, so that its version goes on.
func (a *attempt) release(ctx context.Context) error {
	const tries = 3
	for range tries {
		row, err := a.claims.Table.Get(ctx, a.key)
		if errors.Is(err, snipeplatform.ErrNotFound) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "release claim")
		}
		var r record
		if err := json.Unmarshal(row.Data, &r); err != nil || r.Token != a.record.Token {
			return nil
		}
		a.record.State = Released
		if err := a.step(ctx, row.Version); !errors.Is(err, snipeplatform.ErrConflict) {
			return err
		}
	}
	return errors.Wrap(snipeplatform.ErrConflict, "release claim")
}
