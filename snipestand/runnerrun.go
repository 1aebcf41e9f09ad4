package snipestand

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Run is one run of a request at a runner.
type Run struct {
	// Request is the identifier of the attempt.
	Request string
	// After is the event after which the run goes on with a stream; zero if it begins one or is no stream.
	After int
	// Begun and Ended are when the runner worked on the request; Ended is zero while it does.
	Begun, Ended time.Time
}

// Runs returns all runs of requests, in the order of their beginning.
func (r *Runner) Runs() []Run {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.runs)
}

// beginRun records that the run of a request begins, and returns a function to call when it ends.
func (r *Runner) beginRun(q *http.Request) (end func()) {
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0 if there is none
	r.lock.Lock()
	defer r.lock.Unlock()
	n := len(r.runs)
	r.runs = append(r.runs, Run{Request: q.Header.Get("X-Snipepitch-Attempt-Id"), After: after, Begun: time.Now()})
	return func() {
		r.lock.Lock()
		defer r.lock.Unlock()
		r.runs[n].Ended = time.Now()
	}
}
