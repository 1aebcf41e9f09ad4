package snipestand

import (
	"cmp"
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

// Runner emulates an upstream of the co-operative platform: a model engine, or a plain service if
// Model is empty. It registers itself in the platform's store.
type Runner struct {
	// ID identifies the runner; Restart keeps it. Service names the service that the runner serves,
	// and Address is the address at which it is reached.
	ID      string
	Service string
	Address string
	Zone    string
	// Software is the version of the runner's software, which each event of a stream states; "v1", which no
	// event states, if it is empty.
	Software string
	// Model is the base model that the runner holds, Slots the number of adapters that it can hold.
	Model string
	Slots int
	// LoadDuration is the time that a load of an adapter or of the base model takes. EventInterval is the time
	// between two events of an answer, Events the number of events of an answer.
	LoadDuration  time.Duration
	EventInterval time.Duration
	Events        int
	// Load is the load that the runner states with each answer; three figures if it is empty. A runner with
	// HidesLoad states none.
	Load      string
	HidesLoad bool
	// Faults holds the faults of the next requests and orders; several runners may share it. Nil
	// for none.
	Faults *RunnerFaults
	// LateOrderDelay is the delay of the execution of an order under RunnerLateOrders.
	LateOrderDelay time.Duration

	lock         sync.Mutex       // guards the fields below
	work         time.Duration    // for a request, before its answer begins
	held         map[string]int64 // versions of the adapters that it holds
	loading      map[string]int64 // versions of the adapters that it is loading
	newest       map[string]int64 // newest versions of adapters
	orders       uint64           // accepted orders since the last start
	draining     bool
	invalidEntry bool
	startedAt    int64 // in milliseconds since 1970
	// modelAbsent reports that the runner does not hold its base model, modelNotOrdered that it is
	// not loading it either.
	modelAbsent, modelNotOrdered bool
	runCounts                    map[string]int // by identifier of the request
	runs                         []Run
	// tokens counts the tokens of the requests that ran, workspaces these requests, both by
	// workspace. keyCount counts the requests that carried a caller's key.
	tokens      map[string]int
	workspaces  map[string]int
	keyCount    int
	accepted    []AcceptedOrder
	overcommits int // orders to load that exceeded Slots
	arrivals    []Arrival
	limit       float64
	limited     bool
	// announcesLeaving reports that answers announce that the runner is leaving.
	announcesLeaving bool
	// backoff is the pause that refusals ask for; zero if the runner does not refuse.
	backoff time.Duration
	places  plainPlaces
	brittle brittleness
	crashes crashes
	// copies are the answers that are sent twice, copied is the number of those that were.
	copies AnswerCopies
	copied int
}

// RunCounts returns the number of times that each request ran, by the identifier of the request.
func (r *Runner) RunCounts() map[string]int {
	r.lock.Lock()
	defer r.lock.Unlock()
	all := make(map[string]int, len(r.runCounts))
	for id, n := range r.runCounts {
		all[id] = n
	}
	return all
}

// Workspaces returns the number of requests that ran by workspace, and the number of those that
// carried the key of their caller.
func (r *Runner) Workspaces() (runs map[string]int, keys int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return maps.Clone(r.workspaces), r.keyCount
}

// Tokens returns the number of tokens of the requests that ran, by workspace.
func (r *Runner) Tokens() map[string]int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return maps.Clone(r.tokens)
}

// statedTokens returns the number of tokens that a request states, of its prompt and its output together.
func statedTokens(q *http.Request) int {
	tokens := 0
	for _, n := range strings.Split(q.Header.Get("X-Snipepitch-Token-Usage"), ",") {
		size, err := strconv.Atoi(n)
		if err != nil {
			continue // the caller did not state the size
		}
		tokens += size
	}
	return tokens
}

// recordRun records that a request runs.
func (r *Runner) recordRun(q *http.Request) {
	tokens := statedTokens(q)
	workspace := q.Header.Get("X-Snipepitch-Tenant")
	r.lock.Lock()
	defer r.lock.Unlock()
	r.runCounts[q.Header.Get("X-Snipepitch-Attempt-Id")]++
	if r.tokens == nil {
		r.tokens, r.workspaces = make(map[string]int), make(map[string]int)
	}
	r.tokens[workspace] += tokens
	r.workspaces[workspace]++
	if len(q.Header.Values("Authorization")) > 0 {
		r.keyCount++
	}
}

// Held returns the adapters that the runner holds, each as NAME@VERSION.
func (r *Runner) Held() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.adapterNames()
}

// AcceptedOrder is an order that a runner has accepted. An order that requires nothing to be done, such
// as a load of an adapter that is held or being loaded, is answered but not counted as accepted.
type AcceptedOrder struct {
	Holder string
	Fence  uint64
	At     time.Time
}

// AcceptedOrders returns the orders that the runner has accepted. Overcommits is the number of orders to
// load that exceeded the slots.
func (r *Runner) AcceptedOrders() (orders []AcceptedOrder, overcommits int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.accepted), r.overcommits
}

// Drain makes the runner's registry entry state, from the next heartbeat on, that the runner is
// draining.
func (r *Runner) Drain() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.draining = true
}

// Restart emulates a restart of the runner under the same identifier: it holds no adapters and
// no base model, drops the loads in progress, counts its orders from zero, and announces neither a
// limit nor that it is leaving. Draining, backoff, newest versions and the records of requests and
// orders stay.
func (r *Runner) Restart() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.startedAt = max(time.Now().UnixMilli(), r.startedAt+1)
	r.orders, r.modelAbsent, r.modelNotOrdered, r.limited, r.announcesLeaving = 0, true, true, false, false
	clear(r.held)
	clear(r.loading)
}

// SetWork sets how long the runner works on a request before it begins to answer.
func (r *Runner) SetWork(d time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.work = d
}

// SetInvalidEntry makes the runner's registry entry invalid, or valid again.
func (r *Runner) SetInvalidEntry(on bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.invalidEntry = on
}

// SetNewestVersion sets the newest version of an adapter, which the runner loads if an order names none.
func (r *Runner) SetNewestVersion(adapter string, version int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.newest == nil {
		r.newest = make(map[string]int64)
	}
	r.newest[adapter] = version
}

// SendHeartbeat sends one heartbeat: it writes the runner's registry entry to a store. A runner that
// has crashed sends none until it has started again.
func (r *Runner) SendHeartbeat(s *RowStore) error {
	if down, err := r.removeEndedEntries(s); down || err != nil {
		return err
	}
	r.lock.Lock()
	state, slots := "ready", 8
	if n := cap(r.places.slots); n > 0 {
		slots = n
	}
	if r.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.Service, "addr": r.Address, "zone": r.Zone, "slots": slots, "state": state, "models": r.models(),
		"version": r.softwareVersion(), "seq": r.orders, "coldLeftMs": 0, "born": r.startedAt,
	}
	if r.invalidEntry {
		entry["slots"] = "many"
	}
	id := r.id()
	r.lock.Unlock()
	return s.Put("servers", id, entry)
}

// softwareVersion returns the version of the runner's software. The lock is held.
func (r *Runner) softwareVersion() string { return cmp.Or(r.Software, "v1") }

// CurrentSoftware returns the version of the software of the runner's current start, and whether the runner
// serves and does not leave.
func (r *Runner) CurrentSoftware() (version string, serves bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.Software, !r.draining && !r.crashes.down
}

// Replace emulates the replacement of the runner by one with other software: it has a new identifier and no
// adapters, and does not leave. The entry of the runner that it replaces is removed later.
func (r *Runner) Replace(software string) {
	r.lock.Lock()
	if r.crashes.endedEntries == nil {
		r.crashes.endedEntries = make(map[string]time.Time)
	}
	r.crashes.endedEntries[r.id()] = time.Now()
	r.Software, r.draining = software, false
	r.lock.Unlock()
	r.StartAgain()
}

// adapterNames returns the adapters that the runner holds, each as NAME@VERSION. The lock is held.
func (r *Runner) adapterNames() []string {
	all := []string{}
	for a, v := range r.held {
		all = append(all, fmt.Sprintf("%s@%d", a, v))
	}
	slices.Sort(all)
	return all
}

// models returns the base model with its adapters in the form of registry entries and reports. The
// lock is held.
func (r *Runner) models() []map[string]any {
	if r.Model == "" || r.modelAbsent {
		return []map[string]any{}
	}
	return []map[string]any{{"name": r.Model, "version": 1, "adapters": r.adapterNames()}}
}

// Handler returns the handler of the runner's calls. It must be called once, before the first
// request: it discards held adapters and the counts of runs. The handler answers 421 to a request
// that names another identifier than that of the runner's current start.
func (r *Runner) Handler() http.Handler {
	r.lock.Lock()
	r.held, r.loading, r.runCounts = map[string]int64{}, map[string]int64{}, map[string]int{}
	r.startedAt = time.Now().UnixMilli()
	r.lock.Unlock()
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.sendCopy(q)
		answer := &copyingWriter{ResponseWriter: w}
		r.handle(answer, q)
		r.keepCopy(answer, q)
	})
}

// handle answers a call.
func (r *Runner) handle(w http.ResponseWriter, q *http.Request) {
	id := r.CurrentID()
	if want := q.Header.Get("X-Snipepitch-Expect-Instance"); want != "" && want != id {
		w.Header().Set("X-Snipepitch-Instance-Id", id)
		r.echoAttemptID(w, q)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// An http.ServeMux would clean paths, and services must receive them unchanged.
	switch q.URL.Path {
	case "/api/order":
		r.order(w, q)
	case "/api/report":
		r.report(w, q)
	default:
		r.serve(w, q)
	}
}

// echoAttemptID copies the attempt's identifier to the answer.
func (r *Runner) echoAttemptID(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Snipepitch-Attempt-Id", q.Header.Get("X-Snipepitch-Attempt-Id"))
}

// report answers with the adapters that the runner holds and loads, and with the number of its
// orders.
func (r *Runner) report(w http.ResponseWriter, _ *http.Request) {
	r.lock.Lock()
	defer r.lock.Unlock()
	coming := []string{}
	for a, v := range r.loading {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", r.Model, a, v))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"models": r.models(), "seq": r.orders, "coming": coming, "born": r.startedAt})
}
