package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	plainService, engineService = "plain", "engines"
	modelName, adapterName      = "base", "a1"
	// engineSlots and engineQueue are the requests that an engine runs at once, and those that wait there.
	engineSlots, engineQueue = 64, 192
	// events is the number of events of a stream, eventTime the time between two.
	events, eventTime = 14, 100 * time.Millisecond
	// resumedEvents is the number of events of a stream that may be taken up, whose events name the software, resumedEventTime the time
	// between two: those of ledger-match, at an engine with few requests.
	resumedEvents, resumedEventTime = 10, 27 * time.Millisecond
	// smallAnswer is the size of an answer of a plain runner, unless a large one is asked for.
	smallAnswer = 800
	// plainTime is the time of a request at a plain runner.
	plainTime = 20 * time.Millisecond
)

// Headers of the platform.
const (
	attemptID = "X-Snipepitch-Attempt-Id"
	seal      = "X-Snipepitch-Server-Seal"
	loadState = "X-Snipepitch-Server-Load"
	notRun    = "X-Snipepitch-Not-Executed"
	lastEvent = "Last-Event-Id"
)

// runner is a sound runner: a model engine that holds an adapter, or a plain one whose answers have a given size.
type runner struct {
	id, service, address string
	size                 int
	// software is the version of the runner's software, events the number of events of a stream, pause the time between two.
	software string
	pause    time.Duration
	events   int
	born     int64
	slots    chan struct{}

	lock    sync.Mutex // guards the fields below
	present int        // requests that run or wait
	ran     map[string]int
}

func newRunner(id, service string, size int) (*runner, error) {
	r := &runner{
		id: id, service: service, size: size, software: "v1", pause: eventTime, events: events, born: time.Now().UnixMilli(), slots: make(chan struct{}, engineSlots), ran: make(map[string]int),
	}
	var err error
	r.address, err = serve(r)
	return r, err
}

// newRunners returns n runners of a service.
func newRunners(n int, service string, size int) ([]*runner, error) {
	var all []*runner
	for k := range n {
		r, err := newRunner("i-"+service+strconv.Itoa(k+1), service, size)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

func (r *runner) models() []map[string]any {
	if r.service == plainService {
		return []map[string]any{}
	}
	return []map[string]any{{nameField: modelName, "version": 1, "adapters": []string{adapterName + "@1"}}}
}

// entry returns the runner's entry in the registry.
func (r *runner) entry() map[string]any {
	return map[string]any{
		"service": r.service, "addr": r.address, "zone": "zone-1", "slots": engineSlots, "state": "ready", "models": r.models(),
		"version": r.software, "seq": time.Now().UnixMilli() - r.born, "coldLeftMs": 0, "born": r.born,
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h.Set("X-Snipepitch-Instance-Id", r.id)
	h.Set(attemptID, q.Header.Get(attemptID))
	if want := q.Header.Get("X-Snipepitch-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/api/order": // the engine holds what is ordered
		w.WriteHeader(http.StatusOK)
	case "/api/report":
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "colocated", "models": r.models(), "busy": false, "seq": 0, "waiting": 0, "running": len(r.slots),
			"kvUsed": 0, "kvTotal": 232000, "handles": 0, "born": r.born,
		})
	default:
		r.serve(w, q)
	}
}

// runs returns how often a request ran.
func (r *runner) runs(id string) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.ran[id]
}

// enter takes a place in the queue, and reports false if it is full.
func (r *runner) enter(by int) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if by > 0 && r.present >= engineSlots+engineQueue {
		return false
	}
	r.present += by
	return true
}

// serve runs a request when a slot is free.
func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(attemptID)
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if !r.enter(1) {
		w.Header().Set(notRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.enter(-1)
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	r.lock.Lock()
	r.ran[id]++
	waiting := max(r.present-len(r.slots), 0)
	r.lock.Unlock()
	w.Header().Set(seal, "seal."+r.id+"."+id)
	w.Header().Set(loadState, fmt.Sprintf("%d,%d,%d", len(r.slots), waiting, engineSlots))
	if r.service == plainService {
		time.Sleep(plainTime)
		w.Header().Set("Content-Type", "application/json")
		size := smallAnswer
		if strings.HasSuffix(q.URL.Path, "/large") {
			size = r.size
		}
		_, _ = io.WriteString(w, plainAnswer(id, size)) //nolint:gosec // the callers are stand-ins
		return
	}
	r.stream(w, q, id)
}

func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Snipepitch-Weight-Versions", "1")
	flush := http.NewResponseController(w)
	data := id
	if r.pause == resumedEventTime {
		data = r.software
	}
	begin, err := strconv.Atoi(q.Header.Get(lastEvent))
	if err != nil {
		begin = 0 // a new stream
	}
	for n := begin; n < r.events; n++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.pause):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, data) //nolint:gosec // the callers are stand-ins
		_ = flush.Flush()
	}
}

// plainAnswer returns the whole answer of a plain runner.
func plainAnswer(id string, size int) string { return id + strings.Repeat(".", max(size-len(id), 0)) }

// streamAnswer returns the whole stream of an engine.
func streamAnswer(id string) string {
	var b strings.Builder
	for n := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n+1, id)
	}
	return b.String()
}
