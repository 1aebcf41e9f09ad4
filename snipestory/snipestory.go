// Package snipestory tells what became of one request from the log lines of any number
// of instances, and the cause that they point to.
//
// Design. Lines are read once, in any order and from any number of files. Kept are the
// lines of the request itself and those that tell of a change of what an instance
// believes (read.go); lines of other requests are dropped as they are read, so that
// memory grows with the changes and not with the traffic. Tell puts the lines that
// concern the request in the order of their times and derives a Cause (cause.go).
//
// Invariants:
//
//   - A cause names the lines that speak for it; without any it is Unknown.
//   - Clocks of instances may differ: lines of different instances are compared with a
//     tolerance of clockSlack.
package snipestory

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// before is how long before a request arrived changes may still explain it: an
	// eviction is known everywhere after two seconds, an outage is told once.
	before = 10 * time.Second
	// clockSlack is by how much the times of day of two instances may differ.
	clockSlack = 300 * time.Millisecond
	// after is how long after its end changes may still explain it: the end of an upstream
	// is known when its entry lapses.
	after = crashSlack + clockSlack
)

// ErrNoRequest says that no line has the request's identifier.
var ErrNoRequest = errors.New("no line of this request")

// Story is what is known of one request.
type Story struct {
	// ID is the request's identifier.
	ID string
	// Lines are those of the request and those that concern it, the earliest first.
	Lines []Line
	// End is the line of the request's end; nil when it is missing.
	End *Line
	// Cause is why it ended so.
	Cause Cause
	// Evidence are the lines that speak for the cause.
	Evidence []Line
}

// Tell returns the story of a request.
func (l *Log) Tell() (*Story, error) {
	if len(l.own) == 0 {
		return nil, errors.Wrap(ErrNoRequest, l.id)
	}
	own := slices.Clone(l.own)
	slices.SortStableFunc(own, byTime)
	s := &Story{ID: l.id}
	for _, line := range own {
		if isEnd(line.Event) {
			s.End = &line
		}
	}
	from, to := span(own, s.End)
	concerned := concerns(own)
	s.Lines = own
	for _, change := range l.changes {
		if change.Time.Before(from) || change.Time.After(to) || !concerned.by(change) {
			continue
		}
		s.Lines = append(s.Lines, change)
	}
	slices.SortStableFunc(s.Lines, byTime)
	s.Cause, s.Evidence = explain(s)
	return s, nil
}

func byTime(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }

// span returns the time in which changes may explain a request.
func span(own []Line, end *Line) (from, to time.Time) {
	from, to = own[0].Time, own[len(own)-1].Time
	if end != nil && end.begun().Before(from) {
		from = end.begun()
	}
	return from.Add(-before), to.Add(after)
}

// concern is what a request had to do with.
type concern struct {
	instances, upstreams map[string]bool
	adapter              string
}

func concerns(own []Line) concern {
	c := concern{instances: make(map[string]bool), upstreams: make(map[string]bool)}
	for _, l := range own {
		c.instances[l.Instance] = true
		for _, id := range l.Tried {
			c.upstreams[id] = true
		}
		if l.Adapter != "" {
			c.adapter = l.Adapter
		}
	}
	return c
}

// by reports whether a change concerns the request: one of an upstream that it went to,
// of its adapter anywhere, or of its own instance as a whole.
func (c concern) by(change Line) bool {
	adapter := change.Adapter == "" || change.Adapter == c.adapter
	switch target := change.target(); {
	case target == "":
		return c.instances[change.Instance] && adapter
	case c.upstreams[target]:
		return adapter
	default:
		return change.Adapter != "" && change.Adapter == c.adapter
	}
}
