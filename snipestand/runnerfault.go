package snipestand

import "sync"

// RunnerFault is how a runner fails requests or orders.
type RunnerFault uint8

// The faults of a runner. Those before RunnerLosesOrders affect requests, the others orders.
const (
	// RunnerNoFault means no fault.
	RunnerNoFault RunnerFault = iota
	// RunnerErrors runs the request and answers 500 with the runner's signature.
	RunnerErrors
	// RunnerRefuses refuses the request without running it, and states so.
	RunnerRefuses
	// RunnerResets runs the request and closes the connection without an answer.
	RunnerResets
	// RunnerTruncates closes the connection in the middle of the answer.
	RunnerTruncates
	// RunnerWrongID answers with the identifier of another request.
	RunnerWrongID
	// RunnerUnsigned answers without the runner's signature.
	RunnerUnsigned
	// RunnerUnframed sends whole answers that end with their connection, without a length or chunks.
	RunnerUnframed
	// RunnerTruncatesUnframed does the same, but closes the connection of a stream inside an event.
	RunnerTruncatesUnframed
	// RunnerBusyErrors runs the request and answers 503 with the runner's signature, as a service does whose own
	// work fails for want of room.
	RunnerBusyErrors
	// RunnerLosesOrders executes orders and closes the connection without an answer.
	RunnerLosesOrders
	// RunnerLateOrders closes the connection without an answer and executes the order after the
	// delay Runner.LateOrderDelay.
	RunnerLateOrders
)

// RunnerFaults holds a fault and the number of requests or orders that it still affects. It is safe
// for concurrent use.
type RunnerFaults struct {
	lock  sync.Mutex // guards the fields below
	fault RunnerFault
	left  int
}

// Set makes the next n requests, or orders if the fault affects orders, fail.
func (f *RunnerFaults) Set(fault RunnerFault, n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.fault, f.left = fault, n
}

// next returns the fault that affects the next request, or the next order if order is set, and
// counts it against the number that Set states. It returns RunnerNoFault if f is nil, the number is
// used up, or the fault affects the other kind.
func (f *RunnerFaults) next(order bool) RunnerFault {
	if f == nil {
		return RunnerNoFault
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.left == 0 || order != (f.fault >= RunnerLosesOrders) {
		return RunnerNoFault
	}
	f.left--
	return f.fault
}
