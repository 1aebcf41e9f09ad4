// Package snipeadapter gets adapters onto engines and knows where they are.
//
// Two parts. A Residency is what one instance believes that the engines hold, from
// the directory, from owners' replies and from refusals. A Desk gives the orders
// for the engines that this instance owns (package snipeowner); other instances
// ask it by Twirp.
//
// Engines guard their adapters themselves: they refuse a request for one that they
// do not hold, without running it, and unload one only when no request uses it. So
// calls go to engines directly, and a belief that is wrong costs a refusal, never a
// wrong answer.
//
// Invariants of the Desk:
//
//   - Each order states the number of orders that the engine has taken so far, so
//     that one that comes late, after others, does nothing.
//   - Loads that may have been taken count as adapters that the engine holds.
//   - A load states the adapter's version, so that repeating it asks whether it is
//     complete and never begins another load.
//   - No order leaves without the right to order at that moment.
//   - What was known of an engine is known of one start of it. An order of before a
//     restart that the engine takes afterwards, because its count is met again, finds
//     a place.
package snipeadapter

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// Errors of the Desk.
var (
	// ErrNotOwner: this instance may not order the engine now.
	ErrNotOwner = errors.New("no right to order the engine")
	// ErrUnknownEngine: the engine is not in this instance's directory.
	ErrUnknownEngine = errors.New("unknown engine")
	// ErrNoModel: the engine does not hold the adapter's base model.
	ErrNoModel = errors.New("the engine does not hold the model")
	// ErrRefused: the engine refused the order.
	ErrRefused = errors.New("order refused")
	// ErrUnreached: nothing was sent to the engine, which takes no connection.
	ErrUnreached = errors.New("engine unreached")
	// ErrStartedAgain: the engine has started again and is not what it was.
	ErrStartedAgain = errors.New("engine started again")
	// ErrNoAnswer: the order may have been taken.
	ErrNoAnswer = errors.New("no answer to the order")
)

// Action is what an order does.
type Action uint8

// The actions.
const (
	Load Action = iota
	Unload
)

// String returns the action's name.
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
	// Version is the adapter's version, which the engine loads whichever one it
	// holds; 0 for a base model.
	Version int64
	// Expect is the number of orders that the engine must have taken so far.
	Expect uint64
	// Holder and Fence name who gives it.
	Holder string
	Fence  uint64
}

// Reply is what an engine said to an order.
type Reply uint8

// The replies.
const (
	// Unanswered: the order may have been taken, or may be taken later.
	Unanswered Reply = iota
	// Taken: the engine carries the order out.
	Taken
	// Holds: what was ordered is so already.
	Holds
	// Conflict: another order is under way, or their number differs.
	Conflict
	// Outdated: the engine has seen a higher fencing number.
	Outdated
	// Refused: the engine will not carry it out.
	Refused
	// Elsewhere: another upstream has the address.
	Elsewhere
)

// String returns the reply's name.
func (r Reply) String() string {
	return [...]string{"Unanswered", "Taken", "Holds", "Conflict", "Outdated", "Refused", "Elsewhere"}[r]
}

// Report is what an engine says of itself. It is a fraction of a second old.
type Report struct {
	// Start is when the engine started, in milliseconds; 0 when it does not say.
	Start int64
	// Orders is the number of orders taken since then.
	Orders uint64
	// Models are the base models that it holds, Resident their adapters.
	Models   []string
	Resident []snipedirectory.Resident
	// Coming are adapters on their way.
	Coming []snipedirectory.Resident
}

// Engine is how the Desk speaks to engines.
type Engine struct {
	Order  func(ctx context.Context, u *snipedirectory.Upstream, o Order) (Reply, error)
	Report func(ctx context.Context, u *snipedirectory.Upstream) (Report, error)
}

// Fence returns the fencing number for an order to the engine at an address now.
type Fence = func(engine netip.AddrPort) (uint64, bool)

const (
	// trust is how long a reply of an owner stands against a directory entry that
	// does not show it: entries are written about every 1.2 s, and read later.
	trust = 4 * time.Second
)
