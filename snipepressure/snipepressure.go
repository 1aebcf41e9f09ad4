// Package snipepressure bounds the memory that an instance holds for the requests of its callers.
//
// Design. A Budget counts bytes over all requests and by workspace. A request opens an Account with
// what it needs at least, lets it grow before it holds more, and closes it at its end. Growth within
// the bound costs a few atomic additions and takes no lock. Above the high mark, a lock is taken:
// answers whose readers take nothing are ended, and new requests may be refused.
//
// Marks, in parts of the bound:
//
//   - Up to 3/4, the high mark, nothing is refused or ended.
//   - Above it, answers are no longer read ahead of their readers, and those that were unread for
//     HighGrace are ended. Without this, the answers of slow readers would take all that is freed,
//     and no new request would be admitted.
//   - Above 7/8, the share mark, a new request is refused if its workspace holds more than an equal
//     part. The rest is for workspaces that hold less, and for what cannot be done otherwise.
//   - What does not fit into the bound is refused. Nothing is ended for a new request that is refused: it
//     has not run, and its caller is told when to come back, but an answer that is ended has run.
//
// Invariants:
//
//   - The sum of all accounts never exceeds the bound.
//   - Only an answer whose write is blocked and of which nothing was read for HighGrace is ended. The
//     answer is one of the workspace that holds most among those that have such an answer, and among its
//     answers the one that has been unread for longest.
//   - An account that is refused holds nothing.
//   - A Budget whose Bound is zero, and a nil Budget, count nothing and refuse nothing.
package snipepressure

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrFull is wrapped by the errors of Open.
var ErrFull = errors.New("the instance holds as many bytes as it may")

const (
	// HighGrace is how long an answer has been unread when it is ended above the high mark. Upstreams cut
	// off an answer that is unread for some seconds, so waiting longer would not save it.
	HighGrace = time.Second
	// highMark and shareMark are fractions of the bound.
	highMark  = 0.75
	shareMark = 0.875
	// scanInterval bounds how often blocked answers are searched in vain.
	scanInterval = 20 * time.Millisecond
)

// Level is how much of the bound is used.
type Level int

// The levels in rising order.
const (
	Free Level = iota
	High
	Full
)

// Decision is the ending of an answer with its inputs.
type Decision struct {
	// Held and Bound are the bytes of all requests and their bound, Workspace is the workspace that
	// pays, and WorkspaceHeld what it holds.
	Held, Bound   int64
	Workspace     string
	WorkspaceHeld int64
	// Released is what the ended request held, and Unread how long its caller had read nothing.
	Released int64
	Unread   time.Duration
	// Expired is set if the answer was ended because it was unread for MaxUnread, not for its bytes.
	Expired bool
}

// FullError is the refusal of a request with its inputs. It wraps ErrFull.
type FullError struct {
	Held, Bound, WorkspaceHeld, Wanted int64
	// FreedPerSecond is the rate at which bytes were freed lately.
	FreedPerSecond float64
	// RetryAfter is the time in which the wanted bytes are expected to be free.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string { return ErrFull.Error() }

// Unwrap returns ErrFull.
func (e *FullError) Unwrap() error { return ErrFull }

// Budget bounds the bytes of all accounts. Exported fields are set before the first call. It is safe
// for concurrent use.
type Budget struct {
	// Bound is the bytes that all accounts together may hold; zero for no bound.
	Bound int64
	// MaxUnread is how long a blocked answer may be unread before it is ended even while there is
	// room; zero for any time.
	MaxUnread time.Duration
	// WorkspaceSeen is called once for each workspace, when it first opens an account. Nil for none.
	WorkspaceSeen func(workspace string)
	// LevelChanged is called by Sweep when pressure begins and when it has ended. Nil for none.
	LevelChanged func(now Level, held int64)

	held    atomic.Int64
	freed   atomic.Int64
	tallies sync.Map // workspace to *tally

	lock     sync.Mutex // guards the fields below
	blocked  map[*Account]struct{}
	ending   int64 // held by accounts that were ended and are not closed yet
	nextScan time.Time
	// progressAt is when the progress of the blocked accounts was last read.
	progressAt time.Time
	flow       flow
	level      Level // the level that LevelChanged was last called with
}

// tally counts the bytes of one workspace.
type tally struct {
	name string
	held atomic.Int64
	open atomic.Int64 // open accounts
	// ending is what its accounts held that were ended and are not closed yet. It is guarded by the
	// Budget's lock.
	ending int64
}

// Account is the part of one request. The zero value is closed. Methods of a closed account do
// nothing, and its Grow allows everything. Open, Close, Block and Unblock are called by one goroutine
// at a time.
type Account struct {
	// End aborts the request. It is called at most once, between Block and Unblock, while the
	// Budget's lock is held, and must not call the Budget.
	End func(d Decision)
	// Progress returns a figure that grows as the caller reads; nil if there is none, so that
	// only Unblock shows that the caller has read. It is called between Block and Unblock.
	Progress func() uint64

	budget *Budget
	tally  *tally
	held   atomic.Int64
	ended  atomic.Bool

	endingBytes  int64     // what it held when it was ended; guarded by budget.lock
	lastProgress uint64    // guarded by budget.lock
	unreadSince  time.Time // guarded by budget.lock
}

// Active reports whether the Budget has a bound.
func (b *Budget) Active() bool { return b != nil && b.Bound > 0 }

// Held returns the bytes of all accounts.
func (b *Budget) Held() int64 { return b.held.Load() }

// WorkspaceHeld returns the bytes of a workspace's accounts.
func (b *Budget) WorkspaceHeld(workspace string) int64 {
	if t, ok := b.tallies.Load(workspace); ok {
		return t.(*tally).held.Load()
	}
	return 0
}

// HeldBy returns the bytes of the accounts of all workspaces that include reports true for.
func (b *Budget) HeldBy(include func(workspace string) bool) int64 {
	sum := int64(0)
	b.tallies.Range(func(name, t any) bool {
		if include(name.(string)) {
			sum += t.(*tally).held.Load()
		}
		return true
	})
	return sum
}

// Level returns the present level.
func (b *Budget) Level() Level {
	switch held := b.held.Load(); {
	case !b.Active() || held < b.high():
		return Free
	case held < b.Bound:
		return High
	default:
		return Full
	}
}

// high returns the high mark, share the share mark, in bytes.
func (b *Budget) high() int64  { return int64(highMark * float64(b.Bound)) }
func (b *Budget) share() int64 { return int64(shareMark * float64(b.Bound)) }

// tally returns the tally of a workspace.
func (b *Budget) tally(workspace string) *tally {
	if t, ok := b.tallies.Load(workspace); ok {
		return t.(*tally)
	}
	t, found := b.tallies.LoadOrStore(workspace, &tally{name: workspace})
	if !found && b.WorkspaceSeen != nil {
		b.WorkspaceSeen(workspace)
	}
	return t.(*tally)
}

// Open opens an account with the given bytes. It returns a *FullError if they do not fit.
func (b *Budget) Open(a *Account, workspace string, bytes int64) error {
	if !b.Active() {
		return nil
	}
	t := b.tally(workspace)
	if b.held.Load()+bytes > b.share() && t.held.Load()+bytes > b.equalPart() {
		return b.refuse(t, bytes)
	}
	if !b.add(t, bytes, b.Bound) {
		return b.refuse(t, bytes)
	}
	b.makeRoomAbove(b.share())
	t.open.Add(1)
	a.budget, a.tally = b, t
	a.held.Store(bytes)
	return nil
}

// add adds bytes if the sum does not exceed most.
func (b *Budget) add(t *tally, bytes, most int64) bool {
	if b.held.Add(bytes) > most {
		b.held.Add(-bytes)
		return false
	}
	t.held.Add(bytes)
	return true
}

// makeRoomAbove ends unread answers if the sum exceeds a mark.
func (b *Budget) makeRoomAbove(mark int64) {
	if b.held.Load() > mark {
		b.makeRoom(0, mark)
	}
}

// equalPart returns the share mark divided by the number of workspaces with open accounts.
func (b *Budget) equalPart() int64 {
	n := int64(0)
	b.tallies.Range(func(_, t any) bool {
		if t.(*tally).open.Load() > 0 {
			n++
		}
		return true
	})
	return b.share() / max(n, 1)
}

// Refusal returns the refusal of a request that could not grow.
func (a *Account) Refusal(bytes int64) *FullError { return a.budget.refuse(a.tally, bytes) }

// refuse returns the refusal of a request.
func (b *Budget) refuse(t *tally, bytes int64) *FullError {
	held := b.held.Load()
	b.lock.Lock()
	now := time.Now()
	rate := b.flow.rate(now, b.freed.Load())
	wait := b.flow.book(now, bytes)
	b.lock.Unlock()
	return &FullError{
		Held: held, Bound: b.Bound, WorkspaceHeld: t.held.Load(), Wanted: bytes, FreedPerSecond: rate, RetryAfter: wait,
	}
}

// GrowBody adds bytes of a request that was not sent to an upstream yet, and reports whether they fit into
// the bound. If they do not, the request is refused, and nothing is ended for it.
func (a *Account) GrowBody(bytes int64) bool {
	fits := a.add(bytes, 1)
	if fits && a.budget != nil {
		a.budget.makeRoomAbove(a.budget.share())
	}
	return fits
}

// Grow adds bytes of an answer to the account and reports whether they fit into the bound. If they do
// not, answers that were unread for HighGrace may have been ended, so that a later call may succeed.
func (a *Account) Grow(bytes int64) bool { return a.growTo(bytes, shareMark, 1) }

// GrowAhead adds bytes that are read ahead of the caller, and reports whether they fit below the high
// mark. If they do not, answers that were unread for HighGrace may have been ended.
func (a *Account) GrowAhead(bytes int64) bool { return a.growTo(bytes, highMark, highMark) }

// growTo adds bytes of an answer if the sum does not exceed the fraction most of the bound. It ends unread
// answers if the sum exceeds the fraction mark, or would.
func (a *Account) growTo(bytes int64, mark, most float64) bool {
	fits := a.add(bytes, most)
	b := a.budget
	if b == nil || a.ended.Load() {
		return fits
	}
	at := int64(mark * float64(b.Bound))
	if !fits {
		b.makeRoom(bytes, at)
		return false
	}
	b.makeRoomAbove(at)
	return true
}

// add adds bytes if the sum does not exceed the fraction most of the bound, and the request was not ended.
func (a *Account) add(bytes int64, most float64) bool {
	b := a.budget
	if b == nil {
		return true
	}
	if a.ended.Load() || !b.add(a.tally, bytes, int64(most*float64(b.Bound))) {
		return false
	}
	a.held.Add(bytes)
	return true
}

// Release removes bytes from the account.
func (a *Account) Release(bytes int64) {
	if a.budget == nil || bytes == 0 {
		return
	}
	a.held.Add(-bytes)
	a.tally.held.Add(-bytes)
	a.budget.freed.Add(bytes)
	a.budget.held.Add(-bytes)
}

// Close releases all that the account holds and closes it. The account is not blocked.
func (a *Account) Close() {
	b := a.budget
	if b == nil {
		return
	}
	if a.ended.Load() {
		b.lock.Lock()
		b.ending -= a.endingBytes
		a.tally.ending -= a.endingBytes
		b.lock.Unlock()
	}
	a.Release(a.held.Load())
	a.tally.open.Add(-1)
	a.budget = nil
}

// Ended reports whether the request was ended.
func (a *Account) Ended() bool { return a.ended.Load() }

// Active reports whether the account is open.
func (a *Account) Active() bool { return a.budget != nil }
