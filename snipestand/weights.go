package snipestand

import (
	"net/http"
	"sync"
	"time"
)

// Weights emulates the weight store. A load takes Duration at full speed. It takes longer if more
// than Concurrent loads run when it begins, or if loads begin at a higher rate than PerSecond. Exported
// fields must be set before the first request.
type Weights struct {
	PerSecond  float64
	Concurrent int
	Duration   time.Duration

	lock    sync.Mutex // guards the fields below
	running int
	next    time.Time // earliest time at which the rate admits another load
	total   int
}

// ServeHTTP answers GET /weights/PATH after the time that the transfer of the weights takes.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wait := s.begin()
	defer s.end()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-r.Context().Done():
	case <-t.C:
		w.WriteHeader(http.StatusOK)
	}
}

// begin counts a load and returns how long it takes.
func (s *Weights) begin() time.Duration {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	s.running++
	s.total++
	wait := s.Duration
	if s.running > s.Concurrent {
		wait = wait * time.Duration(s.running) / time.Duration(s.Concurrent)
	}
	if s.next.Before(now) {
		s.next = now
	}
	wait += s.next.Sub(now)
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.PerSecond))
	return wait
}

// end counts the end of a load.
func (s *Weights) end() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running--
}
