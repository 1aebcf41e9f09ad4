package snipesoak

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestUnansweredJudged guards against a soak that passes over requests that were passed on and got no answer, or that takes those
// that crossed the close of their connection, or met a crash, for breaches.
func TestUnansweredJudged(t *testing.T) {
	begin := time.Now().Add(-1500 * time.Millisecond)
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	lost := []string{"what was passed on is answered"}
	tests := map[string]struct {
		runs int
		err  error
		// by and planned are what was disturbed from the first to the second second; the request is sent at second 1.2.
		by      string
		planned bool
		want    []string
	}{
		"Lost":            {runs: 1, err: io.ErrUnexpectedEOF, by: "one", planned: true, want: lost},
		"LostTwice":       {runs: 2, err: io.ErrUnexpectedEOF, by: "one", planned: true, want: lost},
		"LostUndisturbed": {runs: 1, err: io.EOF, want: lost},
		"LostBesideOther": {runs: 1, err: io.EOF, by: "two", want: lost},
		"Crossed":         {err: io.EOF, by: "one", planned: true},
		"Killed":          {runs: 1, err: io.EOF, by: "one"},
		"CallerLeft":      {runs: 1, err: &url.Error{Op: "Post", Err: context.Canceled}},
		"CallerTimeout":   {runs: 1, err: &url.Error{Op: "Post", Err: context.DeadlineExceeded}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Soak{Out: io.Discard, disturbances: map[string][]disturbance{tt.by: {{begin: at(1), end: at(2), planned: tt.planned}}}}
			s.noteUnanswered(unanswered{id: "x", instance: "one", sent: at(1.2), err: tt.err})
			s.auditUnanswered(map[string]int{"x": tt.runs})
			must.Eq(t, tt.want, promisesOf(s))
		})
	}
}

// TestClosedJudged guards against a soak that passes over connections that a stop has closed with a request, or that takes other
// closes for them.
func TestClosedJudged(t *testing.T) {
	begin := time.Now().Round(time.Millisecond)
	closed := []string{"a stop closes no connection with a request"}
	tests := map[string]struct {
		event    string
		stopping bool
		killed   bool
		want     []string
	}{
		"Closed":      {"RequestUnanswered", true, false, closed},
		"NotStopping": {"RequestUnanswered", false, false, nil},
		"Killed":      {"RequestUnanswered", true, true, nil},
		"OtherEvent":  {"ListenerDrained", true, false, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := disturbance{begin: begin.Add(-time.Second), end: begin.Add(time.Second), planned: !tt.killed}
			s := &Soak{Folder: t.TempDir(), disturbances: map[string][]disturbance{"one": {d}}}
			line, err := json.Marshal(closedLine{Name: tt.event, Listener: "Callers", Stopping: tt.stopping, Time: begin})
			must.NoError(t, err)
			must.NoError(t, os.WriteFile(s.logPath("one"), append([]byte("no line of the log\n"), line...), 0o600))
			s.auditClosed("one")
			must.Eq(t, tt.want, promisesOf(s))
		})
	}
}

// promisesOf returns the promises that were broken.
func promisesOf(s *Soak) []string {
	var all []string
	for _, b := range s.breaches {
		all = append(all, b.Promise)
	}
	return all
}
