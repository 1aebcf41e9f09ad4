package snipeplatform

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Priority ranks the subsystems that share the rate of requests of one instance to the table.
type Priority uint8

// Priorities, from the most to the least urgent. Requests for leases and settings are bounded by
// design and are always admitted. Their results also show when the table is available again.
const (
	Leases Priority = iota
	Settings
	Claims
	Sweeps
)

const (
	// burstTime is the time for which an instance can accumulate unused requests of its share.
	burstTime = 5 * time.Second
	// sweepReserve is the fraction of the full burst that sweeps leave to claims.
	sweepReserve = 0.5
	// downThreshold is the number of consecutive failures from which the table counts as down.
	// probeInterval is the interval at which single requests are then admitted as probes.
	downThreshold = 3
	probeInterval = time.Second
)

// Guard limits the rate of the requests of one instance to the table, and shares that rate among
// its subsystems. Claims and sweeps stay within the share of the instance. While the table is down
// they are refused at once, apart from probes, instead of waiting until they time out. Exported
// fields must be set before the first request. A Guard is safe for concurrent use.
type Guard struct {
	// Table is the table to which admitted requests are sent.
	Table Table
	// Share returns the number of requests per second that this instance may send.
	Share func() float64

	lock     sync.Mutex // guards the fields below
	tokens   float64    // requests of the share that have not been used
	refilled time.Time  // last time when tokens was updated
	failures int        // consecutive failures of requests of all priorities
	probed   time.Time  // last time when a probe was admitted
}

// For returns the table for requests of the given priority. Requests that are not admitted fail
// with ErrUnavailable.
func (g *Guard) For(p Priority) Table {
	return Table{
		Get: func(ctx context.Context, key Key) (Row, error) {
			return guardedRequest(g, p, func() (Row, error) { return g.Table.Get(ctx, key) })
		},
		List: func(ctx context.Context, partition string) ([]Row, error) {
			return guardedRequest(g, p, func() ([]Row, error) { return g.Table.List(ctx, partition) })
		},
		Write: func(ctx context.Context, operation string, changes []Change) error {
			_, err := guardedRequest(g, p, func() (struct{}, error) {
				return struct{}{}, g.Table.Write(ctx, operation, changes)
			})
			return err
		},
	}
}

// guardedRequest sends a request if it is admitted, and records its result.
func guardedRequest[T any](g *Guard, p Priority, request func() (T, error)) (T, error) {
	if err := g.admit(p); err != nil {
		var zero T
		return zero, err
	}
	v, err := request()
	g.recordResult(err)
	return v, err
}

// admit takes a token for a request, or returns an error that wraps ErrUnavailable; it never waits.
// Leases and settings are always admitted, and take a token if there is one.
func (g *Guard) admit(p Priority) error {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	share := g.Share()
	capacity := share * burstTime.Seconds()
	if g.refilled.IsZero() {
		g.tokens = capacity
	}
	g.tokens = min(capacity, g.tokens+share*now.Sub(g.refilled).Seconds())
	g.refilled = now
	if p < Claims {
		g.tokens = max(g.tokens-1, 0)
		return nil
	}
	if g.failures >= downThreshold {
		if now.Sub(g.probed) < probeInterval {
			return errors.Wrapf(ErrUnavailable, "%d failures in a row", g.failures)
		}
		g.probed = now
	}
	required := 1.0
	if p == Sweeps {
		required = max(1, capacity*sweepReserve)
	}
	if g.tokens < required {
		return errors.Wrap(ErrUnavailable, "this instance's share of requests is used up")
	}
	g.tokens--
	return nil
}

// recordResult counts consecutive requests that failed with ErrUnavailable or ErrUnknown. Any other
// result, such as ErrConflict, shows that the table answers and resets the count.
func (g *Guard) recordResult(err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		g.failures++
		return
	}
	g.failures = 0
}
