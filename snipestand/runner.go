package snipestand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Runner is an upstream of the co-operative platform: a model engine, or a plain
// service where Model is empty. It registers itself in the platform's store.
type Runner struct {
	// ID names this start, Service what it serves; Address is where others reach it.
	ID      string
	Service string
	Address string
	Zone    string
	// Model is the base model that it holds, Slots how many adapters fit.
	Model string
	Slots int
	// Load is the time of an adapter's load, Event the time between events,
	// Events how many an answer has.
	Load   time.Duration
	Event  time.Duration
	Events int
	// Faults are the faults to come; several runners may share them. Nil for none.
	Faults *RunnerFaults
	// Late is how much later than it was sent an order is carried out that comes late.
	Late time.Duration

	lock     sync.Mutex // guards the fields below
	held     map[string]int64
	coming   map[string]int64
	newest   map[string]int64
	orders   uint64
	leaving  bool
	nonsense bool
	start    int64
	// empty runners hold no base model, bare those that also have none on its way.
	empty, bare bool
	ran         map[string]int
	// tokens are those of the requests that ran by workspace, workspaces the requests; keys
	// counts those that brought a caller's key.
	tokens     map[string]int
	workspaces map[string]int
	keys       int
	taken      []TakenOrder
	overfull   int
}

// RunnerFault is how a runner fails requests.
type RunnerFault uint8

// The faults.
const (
	// RunnerWorks is the usual state.
	RunnerWorks RunnerFault = iota
	// RunnerErrors answers 500, with its receipt.
	RunnerErrors
	// RunnerSheds refuses without running.
	RunnerSheds
	// RunnerResets runs and closes the connection without an answer.
	RunnerResets
	// RunnerTears breaks the answer off in the middle.
	RunnerTears
	// RunnerForeign answers as to another request.
	RunnerForeign
	// RunnerUnsealed answers without a receipt.
	RunnerUnsealed
	// RunnerLosesOrders carries orders out and does not answer them.
	RunnerLosesOrders
	// RunnerLateOrders does not answer orders and carries them out late.
	RunnerLateOrders
)

// RunnerFaults is a number of faults to come.
type RunnerFaults struct {
	lock  sync.Mutex // guards the fields below
	fault RunnerFault
	left  int
}

// Set makes the next n requests, or orders, fail.
func (f *RunnerFaults) Set(fault RunnerFault, n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.fault, f.left = fault, n
}

// next returns the fault of a request or an order.
func (f *RunnerFaults) next(order bool) RunnerFault {
	if f == nil {
		return RunnerWorks
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.left == 0 || order != (f.fault >= RunnerLosesOrders) {
		return RunnerWorks
	}
	f.left--
	return f.fault
}

// Ran returns how often a request was run, by its identifier.
func (r *Runner) Ran() map[string]int {
	r.lock.Lock()
	defer r.lock.Unlock()
	all := make(map[string]int, len(r.ran))
	for id, n := range r.ran {
		all[id] = n
	}
	return all
}

// Workspaces returns how many requests ran by the workspace that they were sent for, and how many
// brought their caller's key along.
func (r *Runner) Workspaces() (runs map[string]int, keys int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return maps.Clone(r.workspaces), r.keys
}

// Tokens returns the tokens of the requests that ran, by workspace.
func (r *Runner) Tokens() map[string]int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return maps.Clone(r.tokens)
}

// count notes that a request runs.
func (r *Runner) count(q *http.Request) {
	tokens := 0
	for _, n := range strings.Split(q.Header.Get("X-Snipepitch-Token-Usage"), ",") {
		size, err := strconv.Atoi(n)
		if err != nil {
			continue // the caller did not state its size
		}
		tokens += size
	}
	workspace := q.Header.Get("X-Snipepitch-Tenant")
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ran[q.Header.Get("X-Snipepitch-Attempt-Id")]++
	if r.tokens == nil {
		r.tokens, r.workspaces = make(map[string]int), make(map[string]int)
	}
	r.tokens[workspace] += tokens
	r.workspaces[workspace]++
	if len(q.Header.Values("Authorization")) > 0 {
		r.keys++
	}
}

// Held returns the adapters that it holds.
func (r *Runner) Held() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.names()
}

// TakenOrder is an order that a runner has taken.
type TakenOrder struct {
	Holder string
	Fence  uint64
	At     time.Time
}

// Taken returns the orders that were taken; overfull is how often more was ordered
// than fits.
func (r *Runner) Taken() (orders []TakenOrder, overfull int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.taken), r.overfull
}

// Leave makes the runner say that it is leaving.
func (r *Runner) Leave() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.leaving = true
}

// StartAgain starts the runner again under its identifier: it holds nothing of before and
// counts its orders anew.
func (r *Runner) StartAgain() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.start = max(time.Now().UnixMilli(), r.start+1)
	r.orders, r.empty, r.bare = 0, true, true
	clear(r.held)
	clear(r.coming)
}

// WriteNonsense makes the runner's entry one that cannot be understood, or proper again.
func (r *Runner) WriteNonsense(on bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.nonsense = on
}

// Announce makes a version of an adapter the newest.
func (r *Runner) Announce(adapter string, version int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.newest == nil {
		r.newest = make(map[string]int64)
	}
	r.newest[adapter] = version
}

// Beat registers the runner at a store once.
func (r *Runner) Beat(s *RowStore) error {
	r.lock.Lock()
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.Service, "addr": r.Address, "zone": r.Zone, "slots": 8, "state": state, "models": r.models(),
		"version": "v1", "seq": r.orders, "coldLeftMs": 0, "born": r.start,
	}
	if r.nonsense {
		entry["slots"] = "many"
	}
	r.lock.Unlock()
	return s.Put("servers", r.ID, entry)
}

// names returns the adapters with their versions. The lock is held.
func (r *Runner) names() []string {
	all := []string{}
	for a, v := range r.held {
		all = append(all, fmt.Sprintf("%s@%d", a, v))
	}
	slices.Sort(all)
	return all
}

// models is the list of models. The lock is held.
func (r *Runner) models() []map[string]any {
	if r.Model == "" || r.empty {
		return []map[string]any{}
	}
	return []map[string]any{{"name": r.Model, "version": 1, "adapters": r.names()}}
}

// Handler returns the handler of the runner's calls.
func (r *Runner) Handler() http.Handler {
	r.lock.Lock()
	r.held, r.coming, r.ran = map[string]int64{}, map[string]int64{}, map[string]int{}
	r.start = time.Now().UnixMilli()
	r.lock.Unlock()
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if want := q.Header.Get("X-Snipepitch-Expect-Instance"); want != "" && want != r.ID {
			w.Header().Set("X-Snipepitch-Instance-Id", r.ID)
			r.echo(w, q)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		// Not by a mux, which would clean paths.
		switch q.URL.Path {
		case "/api/order":
			r.order(w, q)
		case "/api/report":
			r.report(w, q)
		default:
			r.serve(w, q)
		}
	})
}

func (r *Runner) echo(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Snipepitch-Attempt-Id", q.Header.Get("X-Snipepitch-Attempt-Id"))
}

func (r *Runner) report(w http.ResponseWriter, _ *http.Request) {
	r.lock.Lock()
	defer r.lock.Unlock()
	coming := []string{}
	for a, v := range r.coming {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", r.Model, a, v))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"models": r.models(), "seq": r.orders, "coming": coming, "born": r.start})
}

type runnerOrder struct {
	Action  string  `json:"op"`
	Model   string  `json:"model"`
	Adapter string  `json:"adapter"`
	Version int64   `json:"version"`
	Expect  *uint64 `json:"precondition"`
	Holder  string  `json:"holder"`
	Fence   uint64  `json:"fence"`
}

func (r *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o runnerOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := r.Faults.next(true)
	if f == RunnerLateOrders {
		time.AfterFunc(r.Late, func() { r.carryOut(o) })
		panic(http.ErrAbortHandler)
	}
	status := r.carryOut(o)
	if f == RunnerLosesOrders {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// carryOut carries an order out and returns its status.
func (r *Runner) carryOut(o runnerOrder) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	if o.Expect != nil && *o.Expect != r.orders {
		return http.StatusConflict
	}
	if o.Adapter == "" {
		return r.loadModel(o)
	}
	version, held := r.held[o.Adapter]
	if o.Action == "model_unload" {
		if !held {
			return http.StatusOK
		}
		delete(r.held, o.Adapter)
		r.take(o)
		return http.StatusOK
	}
	target := o.Version
	if target == 0 {
		target = max(r.newest[o.Adapter], 1)
	}
	if held && version == target {
		return http.StatusOK
	}
	if r.coming[o.Adapter] == target {
		return http.StatusAccepted
	}
	if len(r.held)+len(r.coming) >= r.Slots {
		r.overfull++
	}
	r.take(o)
	r.coming[o.Adapter] = target
	start := r.start
	time.AfterFunc(r.Load, func() { r.arrive(o.Adapter, target, start) })
	return http.StatusAccepted
}

// loadModel carries out an order for the base model. The lock is held.
func (r *Runner) loadModel(o runnerOrder) int {
	switch {
	case o.Action != "model_load" || o.Model != r.Model:
		return http.StatusBadRequest
	case !r.empty:
		return http.StatusOK
	case !r.bare:
		return http.StatusAccepted
	}
	r.take(o)
	r.bare = false
	start := r.start
	time.AfterFunc(r.Load, func() {
		r.lock.Lock()
		defer r.lock.Unlock()
		r.empty = r.empty && r.start != start
	})
	return http.StatusAccepted
}

// take notes an order. The lock is held.
func (r *Runner) take(o runnerOrder) {
	r.orders++
	r.taken = append(r.taken, TakenOrder{Holder: o.Holder, Fence: o.Fence, At: time.Now()})
}

// arrive ends a load of one start of the runner.
func (r *Runner) arrive(adapter string, version, start int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.start != start {
		return
	}
	delete(r.coming, adapter)
	r.held[adapter] = version
}

// serve runs a request, as the fault of the moment has it.
func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.echo(w, q)
	f := r.Faults.next(false)
	if f == RunnerSheds {
		w.Header().Set("X-Snipepitch-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !r.holds(q) {
		w.Header().Set("X-Snipepitch-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.count(q)
	r.answer(w, q, body, f)
}

// holds reports whether the runner holds the adapter that a request names, in the
// version that it expects.
func (r *Runner) holds(q *http.Request) bool {
	model, adapter, named := strings.Cut(q.Header.Get("X-Snipepitch-Model"), "/")
	r.lock.Lock()
	defer r.lock.Unlock()
	if !named {
		return model == "" || !r.empty
	}
	version, held := r.held[adapter]
	want := q.Header.Get("X-Snipepitch-Expect-Version")
	return held && (want == "" || want == strconv.FormatInt(version, 10))
}

func (r *Runner) answer(w http.ResponseWriter, q *http.Request, body []byte, f RunnerFault) {
	h := w.Header()
	h.Set("X-Snipepitch-Server-Seal", r.ID+".1")
	h.Set("X-Snipepitch-Server-Load", "1,0,8")
	switch f {
	case RunnerResets:
		panic(http.ErrAbortHandler)
	case RunnerErrors:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case RunnerForeign:
		h.Set("X-Snipepitch-Attempt-Id", "another")
	case RunnerUnsealed:
		h.Del("X-Snipepitch-Server-Seal")
	}
	if q.Header.Get("X-Snipepitch-Model") != "" {
		r.stream(q.Context(), w, q, f)
		return
	}
	if f == RunnerTears {
		h.Set("Content-Length", "100")
		_, _ = io.WriteString(w, "torn")
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", q.Method, q.RequestURI, body) //nolint:gosec // a stand-in echoes what it got
}

// stream writes events, from the one after the last that the request names.
func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, q *http.Request, f RunnerFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	begin, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // none: from the first
	for n := begin + 1; n <= r.Events; n++ {
		if f == RunnerTears && n == begin+2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(r.Event):
		case <-ctx.Done():
			return
		}
	}
}
