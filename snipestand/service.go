package snipestand

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// Service emulates a plain service. It counts the executions of each request key.
type Service struct {
	// Name is the name that answers carry.
	Name string
	// Delay is the time that an answer takes.
	Delay time.Duration
	// Executed records each request that the service has begun to execute.
	Executed Executed

	lock sync.Mutex     // guards runs
	runs map[string]int // executions by request key
}

// serviceAnswer is the body of an answer.
type serviceAnswer struct {
	Upstream string
	Key      string
	Runs     int
	Body     string
}

// Handler returns the routes of the service. GET /Runs answers with the number of executions of
// each request key.
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

// serve executes a request.
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
