package snipestand

import (
	"encoding/json"
	"net/http"
	"time"
)

// runnerOrder is the body of an order.
type runnerOrder struct {
	Action  string  `json:"op"`
	Model   string  `json:"model"`
	Adapter string  `json:"adapter"`
	Version int64   `json:"version"`
	Expect  *uint64 `json:"precondition"`
	Holder  string  `json:"holder"`
	Fence   uint64  `json:"fence"`
}

// order executes an order, subject to the fault in force.
func (r *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o runnerOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := r.Faults.next(true)
	if f == RunnerLateOrders {
		time.AfterFunc(r.LateOrderDelay, func() { r.execute(o) })
		panic(http.ErrAbortHandler)
	}
	status := r.execute(o)
	if f == RunnerLosesOrders {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// execute executes an order and returns the status of the answer. An order whose expected order
// count differs from the runner's is refused with 409.
func (r *Runner) execute(o runnerOrder) int {
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
		r.accept(o)
		return http.StatusOK
	}
	target := o.Version
	if target == 0 {
		target = max(r.newest[o.Adapter], 1)
	}
	if held && version == target {
		return http.StatusOK
	}
	if r.loading[o.Adapter] == target {
		return http.StatusAccepted
	}
	if len(r.held)+len(r.loading) >= r.Slots {
		r.overcommits++
	}
	r.accept(o)
	r.loading[o.Adapter] = target
	startedAt := r.startedAt
	time.AfterFunc(r.LoadDuration, func() { r.finishLoad(o.Adapter, target, startedAt) })
	return http.StatusAccepted
}

// loadModel executes an order for the base model. The lock is held.
func (r *Runner) loadModel(o runnerOrder) int {
	switch {
	case o.Action != "model_load" || o.Model != r.Model:
		return http.StatusBadRequest
	case !r.modelAbsent:
		return http.StatusOK
	case !r.modelNotOrdered:
		return http.StatusAccepted
	}
	r.accept(o)
	r.modelNotOrdered = false
	startedAt := r.startedAt
	time.AfterFunc(r.LoadDuration, func() {
		r.lock.Lock()
		defer r.lock.Unlock()
		r.modelAbsent = r.modelAbsent && r.startedAt != startedAt
	})
	return http.StatusAccepted
}

// accept counts and records an order. The lock is held.
func (r *Runner) accept(o runnerOrder) {
	r.orders++
	r.accepted = append(r.accepted, AcceptedOrder{Holder: o.Holder, Fence: o.Fence, At: time.Now()})
}

// finishLoad ends the load of an adapter, unless the runner has started again since the load began.
func (r *Runner) finishLoad(adapter string, version, startedAt int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.startedAt != startedAt {
		return
	}
	delete(r.loading, adapter)
	r.held[adapter] = version
}
