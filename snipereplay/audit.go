package snipereplay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetrace"
)

// ErrAudit is returned when an upstream's record of executions cannot be read
// or is incomplete, so that executions cannot be checked.
var ErrAudit = errors.New("cannot audit")

// Audit holds the executions that the upstreams have recorded.
type Audit struct {
	// requests counts executions by request identifier, calls by callIdentity.
	requests map[string]int
	calls    map[string]int
}

// callIdentity returns a string that identifies a call: its request key, or its
// body if it has no key.
func callIdentity(key, body string) string {
	if key != "" {
		return "key " + key
	}
	return "body " + body
}

// ReadAudit reads the records of executions of all upstreams. Its errors wrap
// ErrAudit.
func ReadAudit(ctx context.Context, client *http.Client, upstreams []netip.AddrPort) (*Audit, error) {
	a := &Audit{requests: map[string]int{}, calls: map[string]int{}}
	for _, u := range upstreams {
		list, err := readExecuted(ctx, client, u)
		if err != nil {
			return nil, errors.Wrapf(ErrAudit, "upstream %s: %v", u, err)
		}
		if list.Dropped > 0 {
			return nil, errors.Wrapf(ErrAudit, "upstream %s dropped %d executions", u, list.Dropped)
		}
		for _, e := range list.Executions {
			a.requests[e.Request]++
			if e.Body != "" {
				a.calls[callIdentity(e.Key, e.Body)]++
			}
		}
	}
	return a, nil
}

// readExecuted reads one upstream's record of executions.
func readExecuted(ctx context.Context, client *http.Client, u netip.AddrPort) (*snipestand.ExecutedList, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.String()+"/Executed", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	list := &snipestand.ExecutedList{}
	return list, json.NewDecoder(response.Body).Decode(list)
}

// Check adds to the results the breaches that the records of executions show.
func (a *Audit) Check(results []Result) {
	for n := range results {
		a.check(&results[n])
	}
}

func (a *Audit) check(r *Result) {
	for _, t := range r.Tries {
		if t.Outcome == NotRun && a.requests[t.Request] > 0 {
			r.breach("refused with " + t.Code + " as not run, but was executed")
		}
	}
	if n := a.calls[callIdentity("", r.Record.Prompt)]; r.Record.Crashes && n > snipetrace.MaxCrashes {
		r.breach("crashed " + strconv.Itoa(n) + " engines")
	}
	if r.Record.Service == "" {
		last := r.Tries[max(len(r.Tries)-1, 0):]
		if r.Answered && (len(last) == 0 || a.requests[last[0].Request] == 0) {
			r.breach("answered, but no engine executed it")
		}
		return
	}
	a.checkExecutions(r, r.Record)
}

// checkExecutions checks how often a call to a service was executed.
func (a *Audit) checkExecutions(r *Result, c snipetrace.Record) {
	n := a.calls[callIdentity(c.Key, c.Prompt)]
	switch {
	case n > 1 && !c.Idempotent:
		r.breach("executed " + strconv.Itoa(n) + " times")
	case n == 0 && r.Answered:
		r.breach("answered, but was never executed")
	case n > 0 && noneMayHaveRun(r.Tries):
		r.breach("every try was said to be not run, but it was executed")
	}
}

// noneMayHaveRun reports whether, by the outcomes that the caller observed, no try can
// have been executed.
func noneMayHaveRun(tries []Try) bool {
	for _, t := range tries {
		if t.Outcome == MayHaveRun || t.Outcome == Done {
			return false
		}
	}
	return true
}
