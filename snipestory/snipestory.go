// Package snipestory reconstructs what happened to one request from the log lines of any number of
// instances, and derives the cause of its outcome.
//
// Design. Lines are read once, in any order and from any number of files. The package keeps the
// lines of the request itself and the lines that report a change of an instance's state (read.go).
// It drops the lines of other requests as it reads them, so that memory grows with the number of
// changes and not with the traffic. Reconstruct sorts the lines that concern the request by time and
// derives a Cause (cause.go).
//
// Invariants:
//
//   - The cause of a request whose end is logged comes with at least the line of the end, except
//     AdapterWait, which comes with the results of loading the adapter and may have none. If the end is not
//     logged, the cause is Unknown.
//   - Clocks of instances may differ. The time range in which changes are kept is therefore
//     extended by clockSlack at its end; its beginning and the narrower windows of cause.go
//     have no such tolerance.
package snipestory

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// windowBefore is the time before the arrival of a request in which changes can explain its
	// outcome: all instances know of an eviction after two seconds, and an outage is logged once.
	windowBefore = 10 * time.Second
	// clockSlack is the assumed maximum difference between the clocks of two instances.
	clockSlack = 300 * time.Millisecond
	// windowAfter is the time after the end of a request in which changes can explain its outcome:
	// the end of an upstream is known only when its entry in the registry expires.
	windowAfter = failureWindow + clockSlack
)

// ErrNoRequest is returned if no line has the identifier of the request.
var ErrNoRequest = errors.New("no line of this request")

// Story is the reconstructed history of one request.
type Story struct {
	// ID is the identifier of the request.
	ID string
	// Lines holds the lines of the request and the changes that concern it, in the order of time.
	Lines []Line
	// Resumed holds the ends of the attempts that resumed the stream of the request, in the order of time.
	Resumed []Line
	// End is the last line that reports an end of the request; nil if there is none.
	End *Line
	// Cause is the cause of the outcome.
	Cause Cause
	// Evidence holds the lines that support the cause.
	Evidence []Line
}

// Reconstruct returns the story of the request from the lines that have been read. It returns
// ErrNoRequest if none of them is a line of the request.
func (l *Log) Reconstruct() (*Story, error) {
	if len(l.requestLines) == 0 {
		return nil, errors.Wrap(ErrNoRequest, l.id)
	}
	requestLines := slices.Clone(l.requestLines)
	slices.SortStableFunc(requestLines, byTime)
	s := &Story{ID: l.id, Resumed: slices.Clone(l.resumed)}
	slices.SortStableFunc(s.Resumed, byTime)
	for _, line := range requestLines {
		if isEnd(line.Event) {
			s.End = &line
		}
	}
	from, to := changeWindow(requestLines, s.End)
	scope := scopeOf(requestLines)
	s.Lines = requestLines
	for _, change := range l.changes {
		if change.Time.Before(from) || change.Time.After(to) || !scope.includes(change) {
			continue
		}
		s.Lines = append(s.Lines, change)
	}
	slices.SortStableFunc(s.Lines, byTime)
	s.Cause, s.Evidence = explain(s)
	return s, nil
}

func byTime(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }

// changeWindow returns the time range in which changes can explain the outcome of a request. The
// lines of the request are sorted by time, and end is nil if its end is not logged.
func changeWindow(requestLines []Line, end *Line) (from, to time.Time) {
	from, to = requestLines[0].Time, requestLines[len(requestLines)-1].Time
	if end != nil && end.arrival().Before(from) {
		from = end.arrival()
	}
	return from.Add(-windowBefore), to.Add(windowAfter)
}

// requestScope is the set of instances and upstreams that a request involved, and its adapter.
type requestScope struct {
	instances, upstreams map[string]bool
	adapter              string
	// service is the request's service, and coordinator the instance that was asked for its permits.
	service, coordinator string
	// fingerprint is the request's fingerprint; empty if it needed none.
	fingerprint string
}

// scopeOf returns the scope of a request from its own lines.
func scopeOf(requestLines []Line) requestScope {
	s := requestScope{instances: make(map[string]bool), upstreams: make(map[string]bool)}
	for _, l := range requestLines {
		s.instances[l.Instance] = true
		for _, id := range l.Tried {
			s.upstreams[id] = true
		}
		if l.Adapter != "" {
			s.adapter = l.Adapter
		}
		if l.Fingerprint != "" {
			s.fingerprint = l.Fingerprint
		}
		if l.Coordinator != "" {
			s.service, s.coordinator = l.Service, l.Coordinator
		}
	}
	return s
}

// includes reports whether a change concerns the request. A change that names an adapter must name
// that of the request. A change of an upstream must, if it names no adapter, be of one that the
// request was sent to. A decision about a fingerprint must be about that of the request. A change without an upstream must be of an instance that handled the
// request, or one of the request's service at the coordinator of that service.
func (s requestScope) includes(change Line) bool {
	adapterMatches := change.Adapter == "" || change.Adapter == s.adapter
	switch target := change.target(); {
	case change.Fingerprint != "":
		return change.Fingerprint == s.fingerprint
	case target == "" && s.coordinator != "" && change.Instance == s.coordinator && change.Service == s.service:
		return true
	case target == "":
		return s.instances[change.Instance] && adapterMatches
	case s.upstreams[target]:
		return adapterMatches
	default:
		return change.Adapter != "" && change.Adapter == s.adapter
	}
}
