package snipestand

import (
	"encoding/json"
	"fmt"
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
	arrivals   []Arrival
	limit      float64
	limited    bool
	// saysLeaving tells that its answers say that it leaves.
	saysLeaving bool
	// rest is for how long it wants to be left alone.
	rest time.Duration
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
	r.orders, r.empty, r.bare, r.limited, r.saysLeaving = 0, true, true, false, false
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
