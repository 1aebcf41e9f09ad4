// Package snipeadmission shares the slots of a few upstreams among many instances.
//
// One instance, the coordinator of a service, runs a Coordinator. The other instances ask it for a
// permit for each request, send the request to the upstream that the permit names, and release the
// permit with the result. An instance that reaches no coordinator paces its requests by a Pacer.
//
// Upstreams that must not refuse requests are lent strictly: only by the instance that has the right to, which first asks
// all instances what they hold (see term.go). There each instance gets its permits through a Keeper.
//
// The package does no I/O and keeps no state that must last: a Coordinator that starts again learns
// what runs at the upstreams from the load reports in the results, or from the accounts of the instances.
package snipeadmission

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused is the error of a request that is not admitted. It has not run. The error is a
// *RefusedError.
var ErrRefused = errors.New("not admitted")

// RefusedError is the refusal of a request.
type RefusedError struct {
	// RetryAfter is the time after which a request is expected to be served.
	RetryAfter time.Duration
	// Reason tells why the request was refused.
	Reason Reason
}

func (e *RefusedError) Error() string {
	return ErrRefused.Error() + ": " + e.Reason.String() + ", retry after " + e.RetryAfter.String()
}

// Unwrap makes errors.Is find ErrRefused.
func (e *RefusedError) Unwrap() error { return ErrRefused }

// Reason is the reason of a refusal.
type Reason int

// Reasons of refusals.
const (
	// ReasonDeadline means that the expected wait is longer than the deadline leaves.
	ReasonDeadline Reason = iota
	// ReasonLate means that the target cannot be met and that the capacity left over for late
	// requests does not reach the request before its deadline.
	ReasonLate
	// ReasonNoUpstream means that no upstream is known or that all are paused until after the
	// deadline.
	ReasonNoUpstream
	// ReasonFull means that MaxWaiting requests wait.
	ReasonFull
	// ReasonBusy means that no permit is free and the request does not wait.
	ReasonBusy
	// ReasonTooLarge means that an upstream has had no memory for a request of this size.
	ReasonTooLarge
	// ReasonNotAsked means that the request does not wait, and that calls for permits are too slow to try several
	// coordinators.
	ReasonNotAsked
	// ReasonNoCoordinator means that no coordinator answers and that this instance holds no permit that comes free
	// in time.
	ReasonNoCoordinator
	// ReasonTooLate means that the permit came too late for the request to be served before its deadline.
	ReasonTooLate
)

// String returns the reason as it stands in logs.
func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "expected wait exceeds the deadline"
	case ReasonLate:
		return "target missed and no capacity left over"
	case ReasonNoUpstream:
		return "no upstream available"
	case ReasonFull:
		return "queue full"
	case ReasonBusy:
		return "no permit free"
	case ReasonTooLarge:
		return "larger than the memory of the upstreams"
	case ReasonNotAsked:
		return "calls for permits are slow"
	case ReasonNoCoordinator:
		return "no coordinator and no permit of this instance free in time"
	case ReasonTooLate:
		return "the permit came too late for the deadline"
	}
	return "unknown"
}

// Upstream is an upstream as the catalog and its last load report describe it. An upstream that
// starts again has another ID.
type Upstream struct {
	ID    string
	Slots int
}

// Request is a request that asks for a permit.
type Request struct {
	// Instance is the name of the instance that will hold the permit.
	Instance  string
	Workspace string
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Tokens is the work that the workspace is charged; values that are not positive and finite
	// count as 1.
	Tokens float64
	// Arrived is when the request first arrived; the zero time means now. A request that asks again,
	// because an upstream refused it or an earlier Acquire ended, states it and keeps its place.
	Arrived time.Time
	// Target is when the answer is due, and Deadline when the request ends. Zero times mean that
	// there is none.
	Target   time.Time
	Deadline time.Time
	// Excluded holds the IDs of upstreams that have just refused this request. Each is avoided for
	// the time in which its queue empties.
	Excluded []string
	// Demand is the rate of requests at the instance, a second, by which the permits that may be used again are
	// divided.
	Demand float64
	// MaxWait is how long the request may wait in one call to another instance; 0 means the usual time.
	MaxWait time.Duration
	// NoWait has the request refused, with ReasonBusy, in place of waiting.
	NoWait bool
}

// Permit allows one request at a time to be sent to one upstream. It ends Lifetime after the grant or the
// last renewal.
type Permit struct {
	ID       uint64
	Upstream string
	// Lifetime is how long the permit lasts. That of a permit that is lent strictly counts from the moment at which it
	// was asked for, is not renewed, and covers the time in which the request may be at the upstream.
	Lifetime time.Duration
	// Fence is the fencing number of the term in which the permit was lent strictly; zero if it was not.
	Fence uint64
	// Reusable is set if the holder may use the permit for several requests, one after the other: it has no more
	// than its share by demand.
	Reusable bool
	// ServiceTime is how long a request is expected to take at the upstream, MaxServiceTime how long nearly all
	// requests take at most.
	ServiceTime, MaxServiceTime time.Duration
}

// Outcome is how a request with a permit ended.
type Outcome int

// Outcomes of requests.
const (
	// OutcomeServed means that the upstream answered; only its time counts as an observation.
	OutcomeServed Outcome = iota
	// OutcomeFailed means that the upstream executed the request or may have, and failed.
	OutcomeFailed
	// OutcomeCanceled means that the caller gave up while the request ran.
	OutcomeCanceled
	// OutcomeUnused means that the request was not sent; its charge is taken back.
	OutcomeUnused
	// OutcomeRefused means that the upstream was full and did not execute the request.
	OutcomeRefused
	// OutcomeUnreachable means that no connection to the upstream was made.
	OutcomeUnreachable
	// OutcomeSuspect means that the instance has reason to believe that the upstream is broken.
	OutcomeSuspect
	// OutcomeTooLarge means that the upstream has no memory for the request and did not execute it.
	OutcomeTooLarge
)

// Load is what an upstream states about its occupancy. Pace is 1 for the usual time and higher for
// slower; 0 means not stated. Age is the time since the upstream stated it.
type Load struct {
	Running, Waiting, Slots int
	Pace                    float64
	Age                     time.Duration
}

// Result is what became of a request with a permit.
type Result struct {
	Outcome Outcome
	// Took is the time from sending the request to the end of its answer.
	Took time.Duration
	// RetryAfter is the time that a refusing upstream named; 0 if none.
	RetryAfter time.Duration
	// Load is the upstream's load report, or nil.
	Load *Load
}

// Event is what a Decision is about.
type Event int

// Events of decisions.
const (
	EventGranted Event = iota
	EventRefused
	EventExpired // the permit ended without a renewal or its instance is gone
	EventPaused  // no permit is granted for the upstream until the end of Pause
	EventOpened  // the coordinator knows what is in use and begins to lend strictly
)

// Decision is a decision of a Coordinator or Pacer with its inputs.
type Decision struct {
	Event Event
	// Request is the request that was granted or refused.
	Request Request
	// Permit is the granted or expired permit. For EventPaused it holds only the upstream.
	Permit Permit
	// Refusal is set for EventRefused.
	Refusal *RefusedError
	// Waited is the time since Acquire was called, and ExpectedWait the wait that was expected when
	// the decision was made.
	Waited, ExpectedWait time.Duration
	// Waiting is the length of the queue.
	Waiting int
	// Pause is the time for which no permit is granted for the upstream.
	Pause time.Duration
	// Fence is the fencing number of the term, Adopted the number of permits of earlier terms that go on, and
	// Unknown that of the instances whose permits are not known. They are set for EventOpened, with Waited as
	// the time since the term began.
	Fence            uint64
	Adopted, Unknown int
	// LoadAge is the age of the load report of the upstream, or of the oldest report of all
	// upstreams for a refusal; negative if there is none.
	LoadAge time.Duration
}

// Stats are counters of a Coordinator or Pacer.
type Stats struct {
	// PermitsOut and Waiting are present numbers; the others count from the start.
	PermitsOut, Waiting int
	Granted, Refused    uint64
	// Expired counts permits that ended without a release.
	Expired uint64
	// Withdrawn counts requests whose context ended while they waited.
	Withdrawn uint64
	// Unknown counts releases of permits that are not out, and Ignored load reports that make no
	// sense.
	Unknown, Ignored uint64
}
