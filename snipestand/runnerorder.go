package snipestand

import (
	"encoding/json"
	"net/http"
	"time"
)

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
