// Package snipereplay replays a trace against a running system and checks every
// answer against the trace's stated outcome: the right adapter and version,
// complete, the caller's own, once.
//
// The replay is a caller as the brief describes one: it goes through a list of
// entry addresses as a balancer would, and repeats a call that was not run on
// another instance, within the call's deadline. A call that is not idempotent
// is repeated only with its request key or when it was not run.
package snipereplay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipecaller"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipestream"
	"snipepitch.example/snipepitch/snipetrace"
)

// Result is what became of one record.
type Result struct {
	Record snipetrace.Record
	// Answered tells that a whole, right answer arrived.
	Answered bool
	// Refused is the code of the final failure; empty when answered.
	Refused string
	// Breach says which promise was broken; empty when none was.
	Breach string
	// Duration is the time to the final answer, FirstChunk to the first chunk.
	Duration   time.Duration
	FirstChunk time.Duration
	// Tries is how often the call was sent.
	Tries int
	// Ran is how often a service says that it executed the call.
	Ran int
}

// Replay replays a trace. Exported fields are set before Run.
type Replay struct {
	// Entries are the addresses of the instances.
	Entries []netip.AddrPort
	// Keys are the teams' keys.
	Keys map[string]string
	// Client sends the calls.
	Client *http.Client

	next atomic.Uint64
}

// Run replays all records and returns their results in the same order.
func (p *Replay) Run(ctx context.Context, records []snipetrace.Record) []Result {
	results := make([]Result, len(records))
	start := time.Now()
	var all sync.WaitGroup
	for n, r := range records {
		all.Go(func() {
			sleepUntil(ctx, start.Add(r.At.Value()))
			results[n] = p.one(ctx, r)
		})
	}
	all.Wait()
	return results
}

func sleepUntil(ctx context.Context, at time.Time) {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// tryPause is the pause between two tries of a call.
const tryPause = 100 * time.Millisecond

func (p *Replay) one(ctx context.Context, r snipetrace.Record) Result {
	result := Result{Record: r}
	start := time.Now()
	bounded, cancel := context.WithTimeout(ctx, r.Timeout.Value())
	defer cancel()
	for bounded.Err() == nil {
		result.Tries++
		again := p.try(bounded, &result, start)
		if !again {
			break
		}
		sleepUntil(bounded, time.Now().Add(tryPause))
	}
	result.Duration = time.Since(start)
	if r.Code != "" && result.Refused != r.Code && result.Breach == "" {
		result.Breach = "expected " + r.Code + ", got " + result.Refused
	}
	return result
}

// try sends the call once and reports whether it may be sent again.
func (p *Replay) try(ctx context.Context, result *Result, start time.Time) bool {
	response, err := p.send(ctx, result.Record)
	if err != nil {
		result.Refused = "Connection"
		return result.Record.Service == ""
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return p.refused(result, response.Body)
	}
	result.FirstChunk = time.Since(start)
	text, err := readAnswer(result.Record, response)
	if err != nil {
		result.Refused = failureCode(err)
		return result.Record.Service == ""
	}
	result.Refused = ""
	result.Answered = true
	result.check(text, response.Header.Get(snipecaller.AdapterHeader))
	return false
}

func failureCode(err error) string {
	var f *snipeerror.CallError
	if errors.As(err, &f) {
		return f.Code()
	}
	return "Broken"
}

func (p *Replay) refused(result *Result, body io.Reader) bool {
	data, err := io.ReadAll(io.LimitReader(body, snipestream.MaxEvent))
	if err != nil {
		result.Refused = "Broken"
		return result.Record.Service == ""
	}
	f, err := snipeerror.Decode(data)
	if err != nil {
		result.Refused = "Unreadable"
		result.Breach = "refusal without a failure body: " + string(data)
		return false
	}
	result.Refused = f.Code()
	if result.Record.Code != "" || f.Status() < http.StatusInternalServerError && f.Status() != http.StatusTooManyRequests {
		return false
	}
	return f.Outcome == snipeerror.NotRun || result.Record.Service == ""
}

func (p *Replay) send(ctx context.Context, r snipetrace.Record) (*http.Response, error) {
	entry := p.Entries[p.next.Add(1)%uint64(len(p.Entries))]
	path, body := "/services/"+r.Service+"/order", []byte(r.Prompt)
	if r.Service == "" {
		path = "/v1/completions"
		body, _ = json.Marshal(map[string]any{
			"model": r.Model, "prompt": r.Prompt, "max_tokens": r.MaxTokens, "stream": r.Stream,
		})
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+p.Keys[r.Team])
	request.Header.Set(snipecaller.ClassHeader, r.Class.String())
	request.Header.Set(snipecaller.TimeoutHeader, r.Timeout.Value().String())
	if r.Key != "" {
		request.Header.Set(snipecaller.KeyHeader, r.Key)
	}
	return p.Client.Do(request)
}

// readAnswer returns the text of a complete answer.
func readAnswer(r snipetrace.Record, response *http.Response) (string, error) {
	if !r.Stream || r.Service != "" {
		data, err := io.ReadAll(response.Body)
		if err != nil || r.Service != "" {
			return string(data), err
		}
		return gjson.GetBytes(data, "choices.0.text").String(), nil
	}
	var text strings.Builder
	reader := snipestream.NewReader(response.Body)
	for {
		e, err := reader.Read()
		if err != nil {
			return "", err
		}
		if e.Name == "error" {
			f, err := snipeerror.Decode(e.Data)
			if err != nil {
				return "", err
			}
			return "", f
		}
		if string(e.Data) == "[DONE]" {
			return text.String(), nil
		}
		text.WriteString(gjson.GetBytes(e.Data, "choices.0.text").String())
	}
}

// check compares an answer with the stated outcome.
func (r *Result) check(text, adapter string) {
	c := r.Record
	if c.Service != "" {
		r.Ran = int(gjson.Get(text, "Runs").Int())
		if gjson.Get(text, "Body").String() != c.Prompt || gjson.Get(text, "Key").String() != c.Key {
			r.Breach = "answer of another caller: " + text
		}
		if r.Ran > 1 {
			r.Breach = "executed more than once"
		}
		return
	}
	if c.Code != "" {
		r.Breach = "answered, but must be refused with " + c.Code
		return
	}
	want := strings.Join(snipestand.Answer(c.Path, c.Prompt, c.MaxTokens), "")
	if text != want {
		r.Breach = "wrong answer: " + text
	}
	if adapter != c.Model {
		r.Breach = "answered as " + adapter
	}
}
