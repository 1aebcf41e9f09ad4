package snipestand

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serve runs a request, subject to the fault in force.
func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.recordCrashArrival(q, body)
	r.echoAttemptID(w, q)
	r.stateBrittle(w.Header())
	if r.signal(w.Header(), q) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f := r.Faults.next(false)
	if f == RunnerRefuses {
		w.Header().Set("X-Snipepitch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !r.holds(q) {
		w.Header().Set("X-Snipepitch-Instance-Id", r.CurrentID())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	vacate, ok := r.occupy(q.Context(), w.Header(), statedTokens(q))
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer vacate()
	r.recordRun(q)
	defer r.beginRun(q)()
	if r.crashIfFatal(body) {
		panic(http.ErrAbortHandler)
	}
	if !r.workOn(q) {
		panic(http.ErrAbortHandler)
	}
	r.answer(w, q, body, f)
}

// workOn works on a request for the time that was set, and reports false if the caller leaves meanwhile.
func (r *Runner) workOn(q *http.Request) bool {
	r.lock.Lock()
	work := r.work
	r.lock.Unlock()
	if work == 0 {
		return true
	}
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(work):
		return true
	}
}

// holds reports whether the runner holds the adapter or base model that a request names, the
// adapter in the version that the request expects.
func (r *Runner) holds(q *http.Request) bool {
	model, adapter, named := strings.Cut(q.Header.Get("X-Snipepitch-Model"), "/")
	r.lock.Lock()
	defer r.lock.Unlock()
	if !named {
		return model == "" || !r.modelAbsent
	}
	version, held := r.held[adapter]
	want := q.Header.Get("X-Snipepitch-Expect-Version")
	return held && (want == "" || want == strconv.FormatInt(version, 10))
}

// answer answers a request that has run.
func (r *Runner) answer(w http.ResponseWriter, q *http.Request, body []byte, f RunnerFault) {
	h := w.Header()
	h.Set(signatureHeader, r.ID+".1")
	if h.Get("X-Snipepitch-Server-Load") == "" && !r.HidesLoad {
		h.Set("X-Snipepitch-Server-Load", cmp.Or(r.Load, "1,0,8"))
	}
	switch f {
	case RunnerResets:
		panic(http.ErrAbortHandler)
	case RunnerErrors:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case RunnerBusyErrors:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RunnerWrongID:
		h.Set("X-Snipepitch-Attempt-Id", "another")
	case RunnerUnsigned:
		h.Del(signatureHeader)
	case RunnerUnframed, RunnerTruncatesUnframed:
		frameByClose(h)
	}
	if q.Header.Get("X-Snipepitch-Model") != "" {
		r.stream(q.Context(), w, q, f)
		return
	}
	if f == RunnerTruncates {
		h.Set("Content-Length", "100")
		_, _ = io.WriteString(w, "torn")
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", q.Method, q.RequestURI, body) //nolint:gosec // an emulator echoes the request
}

// stream writes the events of an answer, starting after the last event that the request names.
func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, q *http.Request, f RunnerFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	if r.crashOnWriting(q) {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	software, _ := r.CurrentSoftware()
	begin, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0, the start of the answer, if there is none
	for n := begin + 1; n <= r.Events; n++ {
		if n == begin+2 && (f == RunnerTruncates || f == RunnerTruncatesUnframed) {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			if f == RunnerTruncatesUnframed {
				return
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.TrimSpace(fmt.Sprintf("token %d %s", n, software)))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(r.EventInterval):
		case <-ctx.Done():
			return
		}
	}
}

// frameByClose makes net/http frame an answer by the end of the connection.
func frameByClose(h http.Header) { h.Set("Transfer-Encoding", "identity") }
