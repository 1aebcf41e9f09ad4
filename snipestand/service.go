package snipestand

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a plain service that records which request keys it has executed.
type Service struct {
	// Name is put into answers.
	Name string
	// Delay is the time an answer takes.
	Delay time.Duration
	// Executed records each execution.
	Executed Executed

	lock sync.Mutex // guards runs
	runs map[string]int
}

// serviceAnswer is the body of an answer.
type serviceAnswer struct {
	Upstream string
	Key      string
	Runs     int
	Body     string
}

// Handler returns the service's routes. GET /Runs returns how often each
// request key was executed.
func (s *Service) Handler() http.Handler {
	s.runs = map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /Runs", func(w http.ResponseWriter, _ *http.Request) {
		s.lock.Lock()
		defer s.lock.Unlock()
		writeJSON(w, s.runs)
	})
	mux.Handle("GET /Executed", &s.Executed)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	e := Execution{Request: r.Header.Get("X-Request-Id"), Key: key, Body: string(body)}
	if err := s.Executed.Add(e); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.lock.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.lock.Unlock()
	time.Sleep(s.Delay)
	writeJSON(w, serviceAnswer{Upstream: s.Name, Key: key, Runs: n, Body: string(body)})
}
