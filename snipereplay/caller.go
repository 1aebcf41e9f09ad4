package snipereplay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecaller"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestream"
	"snipepitch.example/snipepitch/snipetrace"
)

const (
	// minRetryPause is the least pause before a retry. It applies also when the
	// answer states no Retry-After.
	minRetryPause = 100 * time.Millisecond
	// tryTimeoutDivisor sets the time limit of one try of a call that may be
	// retried: the call's timeout divided by it. After that the caller abandons an
	// instance that does not answer.
	tryTimeoutDivisor = 3
	// deadlineMarginDivisor sets how much earlier the deadline that the caller states
	// is than the end of its own wait: the time that it waits divided by it. The
	// margin lets the final answer still reach the caller.
	deadlineMarginDivisor = 10
)

// replayRecord sends the call of one record, with its retries, and checks how it
// ended.
func (p *Replay) replayRecord(ctx context.Context, r snipetrace.Record) Result {
	result := Result{Record: r}
	start := time.Now()
	bounded, cancel := context.WithTimeout(ctx, r.Timeout.Value())
	defer cancel()
	for bounded.Err() == nil {
		t := p.try(bounded, &result, start)
		result.Tries = append(result.Tries, t)
		result.Refused = t.Code
		if p.Planned && t.Outcome == MayHaveRun && t.Code != codeNoAnswer {
			result.breach("cut short while nothing failed: " + t.Code)
		}
		if t.Outcome == Done || !p.mayRetry(r, t) {
			break
		}
		sleepUntil(bounded, time.Now().Add(p.retryPause(t, len(result.Tries))))
	}
	result.Duration = time.Since(start)
	result.checkOutcome()
	return result
}

// mayRetry reports whether a caller may send the call again after t.
func (p *Replay) mayRetry(r snipetrace.Record, t Try) bool {
	// A refusal of the key as a duplicate without a Retry-After means that the
	// call that first used the key may have run and will never be answered.
	keySpent := t.Code == codeDuplicate && t.RetryAfter == 0
	if isFinal(t.Code) || keySpent {
		return false
	}
	switch t.Outcome {
	case NotSent, NotRun:
		return true
	case MayHaveRun:
		return p.retriesMayHaveRun(r)
	}
	return false
}

// retriesMayHaveRun reports whether the caller retries the call after a try that
// may have run.
func (p *Replay) retriesMayHaveRun(r snipetrace.Record) bool {
	return r.Repeatable() || r.Key != "" && p.KeyedRepeats
}

// retryPause returns how long the caller waits after a failed try. When an
// instance refuses the connection, the caller goes on to the next instance at
// once, but pauses after each pass over all instances.
func (p *Replay) retryPause(t Try, tries int) time.Duration {
	if t.Outcome == NotSent && tries%len(p.Entries) != 0 {
		return 0
	}
	return max(t.RetryAfter, minRetryPause)
}

// try sends the call once.
func (p *Replay) try(ctx context.Context, result *Result, start time.Time) Try {
	r := result.Record
	if p.retriesMayHaveRun(r) {
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, r.Timeout.Value()/tryTimeoutDivisor)
		defer cancel()
	}
	response, err := p.send(ctx, r)
	if err != nil {
		return failedTry(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	t := Try{Request: response.Header.Get(snipecaller.RequestIDHeader)}
	if t.Request == "" {
		result.breach("answer without a request identifier")
	}
	if response.StatusCode != http.StatusOK {
		return result.readRefusal(t, response.Body)
	}
	if result.FirstChunk == 0 {
		result.FirstChunk = time.Since(start)
	}
	if err := result.readAnswer(response); err != nil {
		return incompleteTry(ctx, t, err)
	}
	result.Answered = true
	t.Outcome = Done
	return t
}

// failedTry returns the try for an error of sending.
func failedTry(ctx context.Context, err error) Try {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Try{Outcome: NotSent, Code: codeNoConnection}
	}
	return incompleteTry(ctx, Try{}, err)
}

// incompleteTry returns t as a try whose answer did not arrive completely.
func incompleteTry(ctx context.Context, t Try, err error) Try {
	t.Outcome, t.Code = MayHaveRun, codeBroken
	var f *snipeerror.CallError
	switch {
	case errors.As(err, &f):
		t.Code, t.RetryAfter = f.Code(), f.RetryAfter
	case ctx.Err() != nil:
		t.Code = codeNoAnswer
	}
	return t
}

// readRefusal reads the body of a failure and returns t with its outcome.
func (r *Result) readRefusal(t Try, body io.Reader) Try {
	t.Outcome, t.Code = MayHaveRun, codeBroken
	data, err := io.ReadAll(io.LimitReader(body, snipestream.MaxEvent))
	if err != nil {
		return t
	}
	f, err := snipeerror.Decode(data)
	if err != nil {
		r.breach("refusal without a failure body: " + string(data))
		t.Code = codeUnreadable
		return t
	}
	t.Code, t.RetryAfter = f.Code(), f.RetryAfter
	if f.Outcome == snipeerror.NotRun {
		t.Outcome = NotRun
	}
	return t
}

// send sends the call of a record to the next instance in the list, which all calls
// go through together.
func (p *Replay) send(ctx context.Context, r snipetrace.Record) (*http.Response, error) {
	entry := p.Entries[p.next.Add(1)%uint64(len(p.Entries))]
	path, body := "/services/"+r.Service+"/order", []byte(r.Prompt)
	if r.Service == "" {
		path = "/v1/completions"
		// A map of strings, numbers and a bool always encodes.
		body, _ = json.Marshal(map[string]any{
			"model": r.Model, "prompt": r.Prompt, "max_tokens": r.MaxTokens, "stream": r.Stream,
		})
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// If GetBody is set, net/http retries the request in some cases.
	request.GetBody = nil
	deadline, _ := ctx.Deadline()
	request.Header.Set("Authorization", "Bearer "+p.Keys[r.Team])
	request.Header.Set(snipecaller.ClassHeader, r.Class.String())
	stated := time.Until(deadline) / deadlineMarginDivisor * (deadlineMarginDivisor - 1)
	request.Header.Set(snipecaller.TimeoutHeader, max(stated, time.Millisecond).String())
	if r.Idempotent {
		request.Header.Set(snipecaller.IdempotentHeader, "true")
	}
	if r.Key != "" {
		request.Header.Set(snipecaller.KeyHeader, r.Key)
	}
	return p.Client.Do(request)
}
