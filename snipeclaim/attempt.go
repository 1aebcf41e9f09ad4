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

// step writes the attempt's record, with new times, if the row has the given version. It
// returns ErrConflict, wrapped, if the row has another version.
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

// dispatch marks the call as dispatched before its first dispatch, and checks before
// each dispatch that the call may still be dispatched. A failure means that this
// dispatch does not take place.
func (a *attempt) dispatch(ctx context.Context, c *snipecall.Call) error {
	if !a.dispatched {
		if a.caller.Err() != nil {
			return snipeerror.New(snipeerror.ErrCanceled, snipeerror.NotRun, "before the dispatch")
		}
		if !isAhead(c.Deadline) {
			return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "before the dispatch")
		}
		bounded, cancel := context.WithTimeout(ctx, a.claims.Timeout)
		defer cancel()
		a.record.State = Dispatched
		if err := a.step(bounded, a.version); err != nil {
			if errors.Is(err, snipeplatform.ErrConflict) {
				return snipeerror.New(snipeerror.ErrDuplicate, snipeerror.NotRun, "another attempt took the key over").After(inFlightRetry)
			}
			return unavailableError("dispatch", err)
		}
	}
	// The reply to the write may have arrived after a long pause of this instance.
	if ctx.Err() != nil || !isAhead(c.Deadline) {
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "before the dispatch")
	}
	a.dispatched = true
	return nil
}

// isAhead reports whether a deadline is still ahead by the monotonic clock and by the
// wall clock, because the monotonic clock may stop while a machine is suspended.
func isAhead(deadline time.Time) bool {
	now := time.Now()
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

// collect returns a sink that passes the answer on and stores it, or nothing of it if it
// is larger than MaxKept. An error of the caller's sink that is not a CallError means that
// the caller has disconnected; the returned sink then accepts the rest of the answer.
func (a *attempt) collect(sink snipecall.Sink) snipecall.Sink {
	return func(k snipecall.Chunk) error {
		a.size += len(k.Data)
		if a.size <= MaxKept {
			a.kept = append(a.kept, part{k.Status, k.ContentType, k.Unframed, append([]byte(nil), k.Data...), k.Last})
		} else {
			a.kept = nil
		}
		if a.callerGone {
			return nil
		}
		err := sink(k)
		var callErr *snipeerror.CallError
		if err != nil && !errors.As(err, &callErr) {
			a.callerGone = true
			return nil
		}
		return err
	}
}

// errTooMany is logged when a row is not completed because maxFinishing others are in
// progress.
var errTooMany = errors.New("too many claim rows are being completed")

// finish completes the row after the final answer, in the background so that the answer
// is not delayed. If maxFinishing other rows are being completed, the row is left as it
// is, and repetitions of a dispatched call fail with MayHaveRun.
func (s *Claims) finish(a *attempt, err error) {
	s.initSlots.Do(func() { s.finishSlots = make(chan struct{}, maxFinishing) })
	select {
	case s.finishSlots <- struct{}{}:
	default:
		s.Log.Error(snipelog.ClaimNotCompleted, errTooMany, nil)
		return
	}
	s.finishing.Go(func() {
		defer func() { <-s.finishSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), finishTime)
		defer cancel()
		if err := a.complete(ctx, err); err != nil {
			s.Log.Error(snipelog.ClaimNotCompleted, err, nil)
		}
	})
}

// complete makes the last step of a claim. It stores the answer, records that there is
// none, or releases the key of a call that did not run.
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

// persist calls f, and calls it again every second while the table is down, until ctx
// ends.
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

// release releases the key if the row still belongs to this attempt, and otherwise does
// nothing. The call is certain not to have run, even if a step of this attempt has taken
// effect without its knowledge. The row is kept, so that its version continues.
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
