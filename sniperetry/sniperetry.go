// Package sniperetry executes calls with retries, and bounds the number of
// retries.
//
// Design. A call is retried only if a retry is safe (the call is idempotent, or
// its failure is NotRun), useful (another upstream may succeed, and the time left
// suffices) and covered by the Budget. An upstream at which an attempt has failed
// is excluded from later attempts of the same call. If no retry is possible, the
// call fails at once with its own last failure, which states when a retry by the
// caller is worthwhile; the failure is never delayed. Once an attempt may have run,
// the call may have run: a later attempt that is refused does not make it NotRun.
//
// The pauses before retries and the retry delays in failures are spread by a hash
// of the call's identifier. Identifiers are random, so the retries of calls that
// failed together are spread over time, and a replay of the same trace gives the
// same results.
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
	// maxAttempts is the highest number of attempts of one call.
	maxAttempts = 4
	// maxFirstPause is the longest pause before the second attempt. It doubles
	// for each further attempt.
	maxFirstPause = 40 * time.Millisecond
	// minRetryAfter is the shortest retry delay that finalFailure adds to a
	// failure that states none. The delay is spread up to twice as long.
	minRetryAfter = 2 * time.Second
)

// Retrier executes calls with retries. The exported fields must be set before
// the first call.
type Retrier struct {
	// Choose returns the upstream for the next attempt, given the upstreams at
	// which earlier attempts failed, or an error if there is no other.
	Choose func(c *snipecall.Call, failed []string) (string, error)
	// Execute executes one attempt of a call at its upstream. It may redirect the
	// attempt to another upstream by setting c.Upstream.
	Execute func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Budget bounds the retries; nil means no bound.
	Budget *Budget
	// Log records each retry.
	Log *snipelog.Logger
}

// Serve executes c, and retries it until an attempt succeeds or no retry is
// allowed. There is no retry after a chunk was passed to sink. A call that is answered
// earns its share of the Budget. If no upstream can be chosen for a retry, Serve fails
// with the failure of the last attempt. The errors of Serve are of type
// *snipeerror.CallError.
func (a *Retrier) Serve(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	chunkSent := false
	trackingSink := func(k snipecall.Chunk) error {
		chunkSent = true
		return sink(k)
	}
	var failed []string
	var last error
	for n := range maxAttempts {
		upstream, err := a.Choose(c, failed)
		if err != nil {
			return finalFailure(c, preferAttempt(last, err))
		}
		previous := last
		attempt := *c
		attempt.Upstream = upstream
		last = a.Execute(ctx, &attempt, trackingSink)
		if last == nil {
			a.Budget.Earn(c.Team)
			return nil
		}
		last = inheritOutcome(previous, last)
		if chunkSent || !retryable(c, last) {
			return snipeerror.From(last)
		}
		failed = append(failed, attempt.Upstream)
		if !a.waitForRetry(ctx, c, n) {
			return finalFailure(c, last)
		}
		a.Log.Error(snipelog.CallRetried, last, snipelog.Fields{"Call": c.ID, "Upstream": attempt.Upstream})
	}
	return finalFailure(c, last)
}

// waitForRetry reports whether attempt n, counted from 0, is followed by another
// one. If the deadline and the budget permit a retry, waitForRetry spends one and
// waits for the pause. It reports false if ctx ends in the meantime.
func (a *Retrier) waitForRetry(ctx context.Context, c *snipecall.Call, n int) bool {
	pause := time.Duration(jitter(c.ID, n) * float64(maxFirstPause<<n))
	if n == maxAttempts-1 || time.Until(c.Deadline) <= pause {
		return false
	}
	return a.Budget.Spend(c.Team) && snipetime.Sleep(ctx, pause)
}

// inheritOutcome returns err, the failure of an attempt. If previous, the failure
// of the attempt before it, exists and is not NotRun, the result is a copy of err
// with the outcome MayHaveRun.
func inheritOutcome(previous, err error) error {
	if previous == nil || snipeerror.From(previous).Outcome == snipeerror.NotRun {
		return err
	}
	f := *snipeerror.From(err)
	f.Outcome = snipeerror.MayHaveRun
	return &f
}

// preferAttempt returns the failure of the last attempt, or the failure of the
// choice of an upstream if there was no attempt.
func preferAttempt(attempt, choice error) error {
	if attempt != nil {
		return attempt
	}
	return choice
}

// retryableKinds are the kinds of failures that a retry at another upstream can
// avoid.
var retryableKinds = []error{
	snipeerror.ErrOverloaded, snipeerror.ErrNoUpstream, snipeerror.ErrLoadFailed, snipeerror.ErrUpstreamFailed,
	snipeerror.ErrIncomplete, snipeerror.ErrMismatch, snipeerror.ErrNotOwner, snipeerror.ErrStopping,
}

// retryable reports whether a retry of a call after err can succeed and is safe: the
// kind of the failure is in retryableKinds, and the failure is NotRun or the call is
// idempotent.
func retryable(c *snipecall.Call, err error) bool {
	f := snipeerror.From(err)
	for _, k := range retryableKinds {
		if errors.Is(f, k) {
			return f.Outcome == snipeerror.NotRun || c.Idempotent
		}
	}
	return false
}

// finalFailure returns err as the failure of the whole call. If err is retryable and
// states no retry delay, the result states one.
func finalFailure(c *snipecall.Call, err error) error {
	f := *snipeerror.From(err)
	if f.RetryAfter == 0 && retryable(c, &f) {
		f.RetryAfter = time.Duration((1 + jitter(c.ID, maxAttempts)) * float64(minRetryAfter))
	}
	return &f
}

// jitter returns a number from 0 up to, but not including, 1 that is a hash of id
// and n.
func jitter(id string, n int) float64 {
	const bits = 53
	h := sniperoute.Score(sniperoute.Hash(id), uint64(n)) //nolint:gosec // n is not negative
	return float64(h>>(64-bits)) / (1 << bits)
}
