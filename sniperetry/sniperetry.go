// Package sniperetry executes a call with its retries.
//
// Design. A call is started again only when that is safe (it is idempotent, or
// its failure says NotRun), useful (the kind of failure may differ at another
// upstream, and the time left allows it) and paid for (Budget). An upstream
// that has failed the call is not chosen again for it. A call that is given up
// gets its own last failure at once, with the time after which a repetition
// is worthwhile; it is never held back. Once an attempt may have run, so may
// the call: a later attempt that was refused does not make it NotRun.
//
// Pauses and times to come back are spread by a hash of the call's identifier:
// identifiers are random, so calls that failed together come back apart, and
// the same trace gives the same figures.
package sniperetry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// maxAttempts bounds how often one call is started.
	maxAttempts = 4
	// firstPause is the longest pause before the second attempt; it doubles
	// each time.
	firstPause = 40 * time.Millisecond
	// comeback is the shortest time to come back when a failure states none;
	// it is spread up to twice as long.
	comeback = 2 * time.Second
)

// Attempts executes a call with its retries. Exported fields are set before
// the first call.
type Attempts struct {
	// Choose returns the upstream for the next attempt, given those that
	// failed.
	Choose func(c *snipecall.Call, failed []string) (string, error)
	// Execute executes a call at its upstream. It may direct the attempt to
	// another upstream by setting the attempt's Upstream.
	Execute func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Budget pays for retries; nil is no bound.
	Budget *Budget
	// Log takes events.
	Log *snipelog.Logger
}

// Serve executes c until it is answered, may have run, or is given up. Its
// errors are failures of package snipeerror.
func (a *Attempts) Serve(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	sent := false
	counted := func(k snipecall.Chunk) error {
		sent = true
		return sink(k)
	}
	var failed []string
	var last error
	for n := range maxAttempts {
		upstream, err := a.Choose(c, failed)
		if err != nil {
			return giveUp(c, firstOf(last, err))
		}
		before := last
		attempt := *c
		attempt.Upstream = upstream
		last = a.Execute(ctx, &attempt, counted)
		if last == nil {
			a.Budget.Earn(c.Team)
			return nil
		}
		last = mayHaveRun(before, last)
		if sent || !repeatable(c, last) {
			return snipeerror.From(last)
		}
		failed = append(failed, attempt.Upstream)
		if !a.again(ctx, c, n) {
			return giveUp(c, last)
		}
		a.Log.Error(snipelog.CallRetried, last, snipelog.Fields{"Call": c.ID, "Upstream": attempt.Upstream})
	}
	return giveUp(c, last)
}

// again reports whether attempt n is followed by another one, after its pause.
func (a *Attempts) again(ctx context.Context, c *snipecall.Call, n int) bool {
	pause := time.Duration(spread(c.ID, n) * float64(firstPause<<n))
	if n == maxAttempts-1 || time.Until(c.Deadline) <= pause {
		return false
	}
	return a.Budget.Spend(c.Team) && snipetime.Sleep(ctx, pause)
}

// mayHaveRun returns the failure of an attempt, as MayHaveRun when an earlier
// attempt's failure says so.
func mayHaveRun(before, err error) error {
	if before == nil || snipeerror.From(before).Outcome == snipeerror.NotRun {
		return err
	}
	f := *snipeerror.From(err)
	f.Outcome = snipeerror.MayHaveRun
	return &f
}

// firstOf prefers the failure of an attempt to that of the choice after it.
func firstOf(attempt, choice error) error {
	if attempt != nil {
		return attempt
	}
	return choice
}

// elsewhere are the kinds of failure that another upstream may not give.
var elsewhere = []error{
	snipeerror.ErrOverloaded, snipeerror.ErrNoUpstream, snipeerror.ErrLoadFailed, snipeerror.ErrUpstreamFailed,
	snipeerror.ErrIncomplete, snipeerror.ErrMismatch, snipeerror.ErrNotOwner, snipeerror.ErrStopping,
}

// repeatable reports whether a call may be started again after err.
func repeatable(c *snipecall.Call, err error) bool {
	f := snipeerror.From(err)
	for _, k := range elsewhere {
		if errors.Is(f, k) {
			return f.Outcome == snipeerror.NotRun || c.Idempotent
		}
	}
	return false
}

// giveUp returns the final failure of a call that could have been repeated,
// with a time to come back.
func giveUp(c *snipecall.Call, err error) error {
	f := *snipeerror.From(err)
	if f.RetryAfter == 0 && repeatable(c, &f) {
		f.RetryAfter = time.Duration((1 + spread(c.ID, maxAttempts)) * float64(comeback))
	}
	return &f
}

// spread returns a number from 0 to 1 that depends on the call and n.
func spread(id string, n int) float64 {
	const bits = 53
	h := sniperoute.Score(sniperoute.Hash(id), uint64(n)) //nolint:gosec // n is not negative
	return float64(h>>(64-bits)) / (1 << bits)
}
