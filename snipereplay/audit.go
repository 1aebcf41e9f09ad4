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
// or is not whole: nothing can be said about executions then.
var ErrAudit = errors.New("cannot audit")

// Audit is what upstreams have recorded.
type Audit struct {
	requests map[string]int
	calls    map[string]int
}

// identity is what tells one call to a service from all others.
func identity(key, body string) string {
	if key != "" {
		return "key " + key
	}
	return "body " + body
}

// ReadAudit asks all upstreams what they have executed.
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
				a.calls[identity(e.Key, e.Body)]++
			}
		}
	}
	return a, nil
}

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

// Check adds the breaches that the record of executions shows.
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
	if n := a.calls[identity("", r.Record.Prompt)]; r.Record.Crashes && n > snipetrace.MaxCrashes {
		r.breach("crashed " + strconv.Itoa(n) + " engines")
	}
	if r.Record.Service == "" {
		last := r.Tries[max(len(r.Tries)-1, 0):]
		if r.Answered && (len(last) == 0 || a.requests[last[0].Request] == 0) {
			r.breach("answered, but no engine executed it")
		}
		return
	}
	a.checkCount(r, r.Record)
}

// checkCount judges how often a call to a service was executed.
func (a *Audit) checkCount(r *Result, c snipetrace.Record) {
	n := a.calls[identity(c.Key, c.Prompt)]
	switch {
	case n > 1 && !c.Idempotent:
		r.breach("executed " + strconv.Itoa(n) + " times")
	case n == 0 && r.Answered:
		r.breach("answered, but was never executed")
	case n > 0 && neverRan(r.Tries):
		r.breach("every try was said to be not run, but it was executed")
	}
}

// neverRan reports that no try may have been executed, as the caller was told.
func neverRan(tries []Try) bool {
	for _, t := range tries {
		if t.Outcome == MayHaveRun || t.Outcome == Done {
			return false
		}
	}
	return true
}
