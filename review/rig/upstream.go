package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	attemptID      = "X-Snipepitch-Attempt-Id"
	seal           = "X-Snipepitch-Server-Seal"
	expectInstance = "X-Snipepitch-Expect-Instance"
	notExecuted    = "X-Snipepitch-Not-Executed"
	serverLoad     = "X-Snipepitch-Server-Load"
)

// upstream is a sound runner of a plain service: it runs what it is sent and signs its answer.
type upstream struct {
	w             *world
	id, service   string
	address, zone string
	// answer, if not nil, answers in place of the sound answer, and reports whether it did.
	answer func(u *upstream, rw http.ResponseWriter, r *http.Request) bool
	// work is how long a request runs.
	work time.Duration
	born int64

	lock sync.Mutex // guards the fields below
	seq  int
	ran  []arrival
}

// arrival is a request that a runner ran.
type arrival struct {
	id, method, target string
	at                 time.Time
}

// addUpstream starts a runner, which registers itself.
func (w *world) addUpstream(u *upstream) error {
	u.w, u.born, u.zone = w, time.Now().UnixMilli(), zoneName
	var err error
	if u.address == "" {
		if u.address, err = w.serve(u); err != nil {
			return err
		}
	}
	if err := u.beat(); err != nil {
		return err
	}
	go func() {
		for w.ctx.Err() == nil {
			time.Sleep(heartbeat)
			_ = u.beat()
		}
	}()
	return nil
}

// beat writes the runner's entry.
func (u *upstream) beat() error {
	u.lock.Lock()
	u.seq++
	entry := map[string]any{
		"service": u.service, "addr": u.address, "zone": u.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "seq": u.seq, "born": u.born, "models": []any{},
	}
	u.lock.Unlock()
	return u.w.store.Put("servers", u.id, entry)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(attemptID, r.Header.Get(attemptID))
	rw.Header().Set("X-Snipepitch-Instance-Id", u.id)
	if want := r.Header.Get(expectInstance); want != "" && want != u.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set(serverLoad, "0,0,6")
	if u.answer != nil && u.answer(u, rw, r) {
		return
	}
	u.run(r)
	time.Sleep(u.work)
	rw.Header().Set(seal, u.id+".1")
	_, _ = fmt.Fprintf(rw, "ran at %s\n", u.id)
}

// run records that a request runs.
func (u *upstream) run(r *http.Request) {
	id := r.Header.Get(attemptID)
	if id == "" || strings.HasSuffix(r.RequestURI, "/healthz") {
		return
	}
	u.lock.Lock()
	u.ran = append(u.ran, arrival{id, r.Method, r.RequestURI, time.Now()})
	u.lock.Unlock()
	u.w.record("runner %s runs %s: %s %s (Host %s)", u.id, id, r.Method, r.RequestURI, r.Host)
}

// runs returns what the runner ran.
func (u *upstream) runs() []arrival {
	u.lock.Lock()
	defer u.lock.Unlock()
	return append([]arrival(nil), u.ran...)
}
