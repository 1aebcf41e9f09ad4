package snipestand

import "sync"

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
