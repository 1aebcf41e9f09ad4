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
	// tryPause is the pause before a repetition when the system asked for none.
	tryPause = 100 * time.Millisecond
	// trySlices is the part of the deadline after which a call that may be
	// repeated is given up on a silent instance.
	trySlices = 3
	// slackParts: a caller states a deadline that is this part shorter than
	// what it waits, so that the final answer still reaches it.
	slackParts = 10
)

// one carries out one record with its repetitions.
func (p *Replay) one(ctx context.Context, r snipetrace.Record) Result {
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
		if t.Outcome == Done || !p.again(r, t) {
			break
		}
		sleepUntil(bounded, time.Now().Add(p.pauseAfter(t, len(result.Tries))))
	}
	result.Duration = time.Since(start)
	result.judgeRefusal()
	return result
}

// again reports whether a caller may send the call once more after t.
func (p *Replay) again(r snipetrace.Record, t Try) bool {
	// A key whose call may have run already, with no time to come back, will
	// never be answered.
	spent := t.Code == codeDuplicate && t.RetryAfter == 0
	if decided(t.Code) || spent {
		return false
	}
	switch t.Outcome {
	case NotSent, NotRun:
		return true
	case MayHaveRun:
		return p.repeats(r)
	}
	return false
}

// repeats reports whether the caller sends a call again that may have run.
func (p *Replay) repeats(r snipetrace.Record) bool {
	return r.Repeatable() || r.Key != "" && p.KeyedRepeats
}

// pauseAfter returns how long the caller waits after a failed try. It goes on
// to the next instance at once when one refuses the connection, but not round
// and round.
func (p *Replay) pauseAfter(t Try, tries int) time.Duration {
	if t.Outcome == NotSent && tries%len(p.Entries) != 0 {
		return 0
	}
	return max(t.RetryAfter, tryPause)
}

// try sends the call once.
func (p *Replay) try(ctx context.Context, result *Result, start time.Time) Try {
	r := result.Record
	if p.repeats(r) {
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, r.Timeout.Value()/trySlices)
		defer cancel()
	}
	response, err := p.send(ctx, r)
	if err != nil {
		return sendFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	t := Try{Request: response.Header.Get(snipecaller.RequestIDHeader)}
	if t.Request == "" {
		result.breach("answer without a request identifier")
	}
	if response.StatusCode != http.StatusOK {
		return result.refusal(t, response.Body)
	}
	if result.FirstChunk == 0 {
		result.FirstChunk = time.Since(start)
	}
	if err := result.read(response); err != nil {
		return brokenTry(ctx, t, err)
	}
	result.Answered = true
	t.Outcome = Done
	return t
}

func sendFailure(ctx context.Context, err error) Try {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Try{Outcome: NotSent, Code: codeNoConnection}
	}
	return brokenTry(ctx, Try{}, err)
}

// brokenTry is a try whose answer did not arrive as a whole.
func brokenTry(ctx context.Context, t Try, err error) Try {
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

// refusal reads the body of a failure.
func (r *Result) refusal(t Try, body io.Reader) Try {
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
	// Without this net/http repeats a request itself in some cases.
	request.GetBody = nil
	deadline, _ := ctx.Deadline()
	request.Header.Set("Authorization", "Bearer "+p.Keys[r.Team])
	request.Header.Set(snipecaller.ClassHeader, r.Class.String())
	stated := time.Until(deadline) / slackParts * (slackParts - 1)
	request.Header.Set(snipecaller.TimeoutHeader, max(stated, time.Millisecond).String())
	if r.Idempotent {
		request.Header.Set(snipecaller.IdempotentHeader, "true")
	}
	if r.Key != "" {
		request.Header.Set(snipecaller.KeyHeader, r.Key)
	}
	return p.Client.Do(request)
}
