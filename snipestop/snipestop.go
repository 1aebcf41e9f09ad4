// Package snipestop carries out a planned stop for the requests of an instance.
//
// Requests that cannot be answered before the end of the stop are not passed on but refused, and all that are in flight at
// its end are ended a little earlier than the process, so that their callers get a final answer. How long a request takes is
// estimated from others (Durations).
package snipestop

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// sweepInterval is the time between two looks at the requests that wait during a stop.
	sweepInterval = 20 * time.Millisecond
	// margin is the time that a request needs beside what the longest one took lately: the answer is
	// delivered, and the next one may take longer.
	margin = 250 * time.Millisecond
)

// ErrStopped is the cause of the end of a request's context in a planned stop.
var ErrStopped = errors.New("the instance stops")

// Stop is a planned stop. Requests that cannot be answered before its end are not sent to upstreams any more but refused, and
// those in flight at its end get a final answer. The zero value is a stop that has not begun. It is safe for concurrent use.
type Stop struct {
	lock  sync.Mutex // guards the fields below
	begun bool
	end   time.Time
	calls map[*Watch]struct{}
}

// Begin begins the stop. Requests are ended at the given time.
func (s *Stop) Begin(end time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.begun, s.end = true, end
}

// Begun reports whether the stop has begun.
func (s *Stop) Begun() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.begun
}

// Run ends the requests that cannot be answered before the end of the stop, which has begun, and all others at its end. It
// returns after that, or when ctx ends.
func (s *Stop) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for now := time.Now(); ; now = time.Now() {
		s.sweep(now)
		if !now.Before(s.endTime()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Stop) endTime() time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.end
}

// sweep ends the requests that wait and cannot be answered in time, and all of them after the end of the stop.
func (s *Stop) sweep(now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for w := range s.calls {
		if !now.Before(s.end) || w.waitsInVain(now, s.end) {
			w.stop()
		}
	}
}

// Enter adds a request.
func (s *Stop) Enter(w *Watch) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.calls == nil {
		s.calls = make(map[*Watch]struct{})
	}
	s.calls[w] = struct{}{}
	if s.begun && !time.Now().Before(s.end) {
		w.stop()
	}
}

// Leave removes a request, which has ended.
func (s *Stop) Leave(w *Watch) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.calls, w)
}

// TooLate reports whether a request cannot be answered before the end of the stop if it is sent to an upstream now.
func (s *Stop) TooLate(w *Watch) bool {
	s.lock.Lock()
	begun, end := s.begun, s.end
	s.lock.Unlock()
	return begun && w.endsAfter(time.Now(), end)
}
