// Package snipereplay replays a trace against a running system and checks that
// each answer comes from the right adapter and version, is complete, belongs to
// the caller and arrives once, and that each refusal agrees with what the upstreams
// executed.
//
// The replay acts as a caller (caller.go): it sends calls to a list of entry
// addresses in turn, as a load balancer would, and retries a call only where that
// is safe. The checks have two parts. judge.go checks each answer as it arrives.
// audit.go checks, after the run, what services and engines have recorded: at most
// one execution of a call that is not idempotent, exactly one when it was answered,
// and none of a request that was refused as not run. An answer that does not arrive
// completely is a failed try and no breach, unless Replay.Planned is set. A record of
// executions that cannot be read or is incomplete is an error; see ErrAudit.
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

// Outcome is the result of one try of a call as far as its caller can determine it.
type Outcome string

// The outcomes of a try.
const (
	// NotSent means that no connection was made.
	NotSent Outcome = "NotSent"
	// NotRun means that the answer states that the call was not run.
	NotRun Outcome = "NotRun"
	// MayHaveRun means that the answer states so, or that no readable answer
	// arrived.
	MayHaveRun Outcome = "MayHaveRun"
	// Done means that a whole answer has arrived.
	Done Outcome = "Done"
)

// Codes of failures that the replay detects itself, and codeDuplicate, which is a
// code of the system.
const (
	codeNoConnection = "NoConnection"
	codeBroken       = "Broken"
	codeNoAnswer     = "NoAnswer"
	codeUnreadable   = "Unreadable"
	codeDuplicate    = "DuplicateRequestKey"
	// codeUnsent is the code of a call that was not sent because MaxInFlight calls
	// were in flight.
	codeUnsent = "Unsent"
)

// Try is one attempt to send a call.
type Try struct {
	// Request is the identifier that the system gave the try, or empty.
	Request string
	// Outcome and Code describe how the try ended. Code is empty for Done.
	Outcome Outcome
	Code    string
	// RetryAfter is the pause before a retry that the answer requests.
	RetryAfter time.Duration
}

// Result describes how the call of one record ended.
type Result struct {
	Record snipetrace.Record
	// Answered is set if a whole answer arrived.
	Answered bool
	// Refused is the code of the final failure; empty when answered.
	Refused string
	// Breaches describes the promises that were broken.
	Breaches []string
	// Duration is the time from the start of the call to its final answer or
	// failure, FirstChunk the time to the header of the first answer with status
	// 200, even if that answer is incomplete; 0 if there is none.
	Duration   time.Duration
	FirstChunk time.Duration
	// Tries are all attempts to send the call.
	Tries []Try
}

func (r *Result) breach(text string) { r.Breaches = append(r.Breaches, text) }

// Replay replays a trace. Exported fields are set before Run.
type Replay struct {
	// Entries are the addresses of the instances.
	Entries []netip.AddrPort
	// Keys holds the teams' keys by team.
	Keys map[string]string
	// Client sends the calls.
	Client *http.Client
	// KeyedRepeats makes the caller retry, with its request key, a call that is
	// not idempotent and may have run.
	KeyedRepeats bool
	// Planned states that nothing fails during the replay: a try whose answer is
	// incomplete or states that the call may have run is a breach, even if its retry
	// is answered. A try that times out is not.
	Planned bool
	// MaxInFlight bounds the calls in flight; the call of a record above it is not
	// sent.
	MaxInFlight int64

	// next selects the entry of the next try, over all calls.
	next     atomic.Uint64
	inFlight atomic.Int64
}

// Run replays all records, which must be sorted by At, and returns their results in
// the same order. It starts each call at its time, even if earlier calls are still
// in flight.
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
			results[n] = p.replayRecord(ctx, r)
		})
	}
	all.Wait()
	return results
}

// sleepUntil waits until at or until ctx ends.
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
