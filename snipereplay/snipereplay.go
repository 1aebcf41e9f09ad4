// Package snipereplay replays a trace against a running system and judges it:
// each answer by the right adapter and version, complete, the caller's own,
// once; each refusal by what the upstreams executed.
//
// The replay is a caller as the brief describes one (caller.go): it goes
// through a list of entry addresses as a balancer would, and sends a call
// again only where that is safe. The judge has two parts. judge.go looks at
// each answer as it arrives. audit.go looks, after the run, at what services
// and engines have recorded: at most one execution of a call that is not
// idempotent, exactly one when it was answered, and none of a request that
// was refused as not run. Whatever cannot be checked counts as a breach.
package snipereplay

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipetrace"
)

// Outcome is what one try of a call has come to, as its caller knows it.
type Outcome string

// The outcomes of a try.
const (
	// NotSent: no connection was made.
	NotSent Outcome = "NotSent"
	// NotRun: the system has said that the call was not run.
	NotRun Outcome = "NotRun"
	// MayHaveRun: the system has said so, or has said nothing.
	MayHaveRun Outcome = "MayHaveRun"
	// Done: a whole answer has arrived.
	Done Outcome = "Done"
)

// Codes of failures that have no body of the system.
const (
	codeNoConnection = "NoConnection"
	codeBroken       = "Broken"
	codeNoAnswer     = "NoAnswer"
	codeUnreadable   = "Unreadable"
	codeDuplicate    = "DuplicateRequestKey"
	// codeUnsent: too many calls were in flight at the replay.
	codeUnsent = "Unsent"
)

// Try is one sending of a call.
type Try struct {
	// Request is the identifier that the system gave the try; empty when it
	// gave none.
	Request string
	// Outcome and Code are what it came to.
	Outcome Outcome
	Code    string
	// RetryAfter is when the system asked to come back.
	RetryAfter time.Duration
}

// Result is what became of one record.
type Result struct {
	Record snipetrace.Record
	// Answered tells that a whole answer arrived.
	Answered bool
	// Refused is the code of the final failure; empty when answered.
	Refused string
	// Breaches say which promises were broken.
	Breaches []string
	// Duration is the time to the final answer, FirstChunk to the first bytes
	// of the answer.
	Duration   time.Duration
	FirstChunk time.Duration
	// Tries are all sendings.
	Tries []Try
}

func (r *Result) breach(text string) { r.Breaches = append(r.Breaches, text) }

// Replay replays a trace. Exported fields are set before Run.
type Replay struct {
	// Entries are the addresses of the instances.
	Entries []netip.AddrPort
	// Keys are the teams' keys.
	Keys map[string]string
	// Client sends the calls.
	Client *http.Client
	// KeyedRepeats makes the caller repeat a call that is not idempotent and
	// may have run, with its request key.
	KeyedRepeats bool
	// Planned tells that nothing fails: a call that breaks or may have run
	// without an answer is a breach, also when its repetition is answered.
	Planned bool
	// MaxInFlight bounds the calls in flight; a record above it is not sent.
	MaxInFlight int64

	next     atomic.Uint64
	inFlight atomic.Int64
}

// Run replays all records, which are in the order of time, and returns their
// results in the same order. It starts each call at its time, whatever became
// of earlier ones.
func (p *Replay) Run(ctx context.Context, records []snipetrace.Record) []Result {
	results := make([]Result, len(records))
	start := time.Now()
	var all sync.WaitGroup
	for n, r := range records {
		sleepUntil(ctx, start.Add(r.At.Value()))
		if p.inFlight.Load() >= p.MaxInFlight {
			results[n] = Result{Record: r, Refused: codeUnsent}
			continue
		}
		p.inFlight.Add(1)
		all.Go(func() {
			defer p.inFlight.Add(-1)
			results[n] = p.one(ctx, r)
		})
	}
	all.Wait()
	return results
}

func sleepUntil(ctx context.Context, at time.Time) {
	wait := time.Until(at)
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
