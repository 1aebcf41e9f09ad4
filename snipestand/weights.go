package snipestand

import (
	"net/http"
	"sync"
	"time"
)

// Weights is the weight store: loads take Duration each at full speed, and
// longer when more than Concurrent run at once or the rate is above
// PerSecond. Exported fields are set before the first request.
type Weights struct {
	PerSecond  float64
	Concurrent int
	Duration   time.Duration

	lock    sync.Mutex // guards the fields below
	running int
	next    time.Time
	total   int
}

// ServeHTTP answers GET /weights/PATH once the adapter's weights are sent.
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

func (s *Weights) end() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running--
}
