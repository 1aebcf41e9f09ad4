// Package snipeadapter loads adapters onto engines and tracks which engine holds which adapter.
//
// It has two parts. A Residency is one instance's view of the adapters that engines hold. It is
// built from the directory, from replies of engine owners and from refusals. A Controller gives the
// orders to the engines that this instance owns (package snipeowner); other instances call it over
// Twirp.
//
// Engines protect their adapters themselves: an engine refuses a request for an adapter that it
// does not hold, without running the request, and unloads an adapter only when no request uses it.
// Calls therefore go to engines directly, and a wrong entry in a Residency costs a refusal, never a
// wrong answer.
//
// Invariants of the controller:
//
//   - Each order states the number of orders that the engine has accepted so far, so an order that
//     arrives late, after others, has no effect.
//   - An accepted load takes a slot at once. After an order whose outcome is unknown, the engine's
//     state is read again before the next order.
//   - A load states the adapter's version, so repeating it only queries whether the load is
//     complete and never starts another load.
//   - No order is sent without the right to order the engine at that moment.
//   - The recorded state of an engine belongs to one start of that engine. After a restart the
//     order count begins again, so the engine may accept a late order from before the restart whose
//     count matches; a slot is kept free for such an order.
package snipeadapter

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// Errors that the controller returns.
var (
	// ErrNotOwner reports that this instance has no right to order the engine now.
	ErrNotOwner = errors.New("no right to order the engine")
	// ErrUnknownEngine reports that the engine is not in this instance's directory.
	ErrUnknownEngine = errors.New("unknown engine")
	// ErrNoModel reports that the engine does not hold the adapter's base model.
	ErrNoModel = errors.New("the engine does not hold the model")
	// ErrRefused reports that the engine refused the order.
	ErrRefused = errors.New("order refused")
	// ErrUnreached reports that the engine accepts no connection, so nothing was sent to it.
	ErrUnreached = errors.New("engine unreached")
	// ErrRestarted reports that the engine has restarted, so that its directory entry is out of
	// date.
	ErrRestarted = errors.New("engine started again")
	// ErrNoAnswer reports that the order got no answer and may have been accepted.
	ErrNoAnswer = errors.New("no answer to the order")
	// ErrDoubtful reports that the answer to this call or to the call before it may have been a copy of the answer to an
	// earlier one, so that the engine must be read.
	ErrDoubtful = errors.New("answer may be a copy of an earlier one")
)

// Action is the kind of an order.
type Action uint8

// The kinds of orders.
const (
	Load Action = iota
	Unload
)

// String returns the action's name in logs.
func (a Action) String() string {
	if a == Unload {
		return "Unload"
	}
	return "Load"
}

// Order is one order to an engine.
type Order struct {
	Action  Action
	Adapter snipecatalog.Adapter
	// Version is the version to load, whichever version the engine holds; 0 for a base model.
	Version int64
	// Expect is the number of orders that the engine must have accepted so far; otherwise the
	// engine rejects the order with Conflict.
	Expect uint64
	// Holder and Fence are the name and the fencing number of the instance that gives the order.
	Holder string
	Fence  uint64
}

// Reply is an engine's reply to an order.
type Reply uint8

// The replies.
const (
	// Unanswered: the order may have been accepted, or may be accepted later.
	Unanswered Reply = iota
	// Taken: the engine has accepted the order and carries it out.
	Taken
	// Holds: the engine already is in the state that the order asks for.
	Holds
	// Conflict: another order is in progress, or the order count differs from Expect.
	Conflict
	// Outdated: the engine has received a higher fencing number.
	Outdated
	// Refused: the engine does not carry out the order.
	Refused
	// Elsewhere: the address belongs to another upstream.
	Elsewhere
)

// String returns the reply's name in logs.
func (r Reply) String() string {
	return [...]string{"Unanswered", "Taken", "Holds", "Conflict", "Outdated", "Refused", "Elsewhere"}[r]
}

// Report is an engine's report of its own state. It is a fraction of a second old.
type Report struct {
	// Start is when the engine started, in milliseconds; 0 if the engine does not report it.
	Start int64
	// Orders is the number of orders accepted since the start.
	Orders uint64
	// Models are the base models that the engine holds, Resident the adapters that it holds.
	Models   []string
	Resident []snipedirectory.Resident
	// Loading are the adapters that are loading.
	Loading []snipedirectory.Resident
}

// unlistedOrders returns how many accepted orders may have loaded adapters that the report does not
// list. Engines list adapters by base model, so one that holds no base model lists none. It may have
// loaded some: an order for the previous start reaches the next one, which accepts it if its order
// count matches.
func (r *Report) unlistedOrders() int {
	if len(r.Models) > 0 {
		return 0
	}
	return int(min(r.Orders, math.MaxInt32))
}

// Engine holds the functions through which the controller calls engines.
type Engine struct {
	Order  func(ctx context.Context, u *snipedirectory.Upstream, o Order) (Reply, error)
	Report func(ctx context.Context, u *snipedirectory.Upstream) (Report, error)
}

// Fence returns the fencing number for an order to the engine at an address, and whether this
// instance may order that engine now.
type Fence = func(engine netip.AddrPort) (uint64, bool)

const (
	// overrideTTL is how long an owner's reply or a refusal overrides a directory entry that
	// contradicts it, up to the latest read of the directory: entries are written about every
	// 1.2 s, and read later.
	overrideTTL = 4 * time.Second
)
