package snipeowner_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeplatform"
)

const orderGap = 3 * time.Second

// table is a store in memory that numbers the versions of all rows by one counter.
type table struct {
	lock    sync.Mutex
	rows    map[snipeplatform.Key]snipeplatform.Row
	version uint64
}

func (t *table) list(partition string) []snipeplatform.Row {
	t.lock.Lock()
	defer t.lock.Unlock()
	var rows []snipeplatform.Row
	for _, r := range t.rows {
		if r.Partition == partition {
			rows = append(rows, r)
		}
	}
	return rows
}

// listSince returns the rows that have changed after a version, and the newest version.
func (t *table) listSince(partition string, version uint64) ([]snipeplatform.Row, uint64) {
	rows := slices.DeleteFunc(t.list(partition), func(r snipeplatform.Row) bool { return r.Version <= version })
	t.lock.Lock()
	defer t.lock.Unlock()
	return rows, t.version
}

// maxEntries is the maximum number of conditions and writes that the table accepts in one
// transaction.
const maxEntries = 100

func (t *table) write(operation string, changes []snipeplatform.Change) (uint64, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	entries := len(changes)
	for _, c := range changes {
		if c.Data != nil {
			entries++
		}
	}
	if entries > maxEntries {
		return 0, snipeplatform.ErrUnavailable
	}
	for _, c := range changes {
		if t.rows[c.Key].Version != c.Expect {
			return 0, snipeplatform.ErrConflict
		}
	}
	t.version++
	for _, c := range changes {
		if c.Data != nil {
			t.rows[c.Key] = snipeplatform.Row{Key: c.Key, Version: t.version, Operation: operation, Data: c.Data}
		}
	}
	return t.version, nil
}

// writes returns how many transactions have taken effect.
func (t *table) writes() uint64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.version
}

// link is the connection of one instance to the table.
type link struct {
	table *table
	lock  sync.Mutex
	// stale makes each read return the rows of the read before it, which are in previousRows.
	stale        bool
	previousRows []snipeplatform.Row
	// cut makes all calls fail without effect. lossRate is the fraction of writes that take
	// effect late and get no reply.
	cut      bool
	lossRate float64
	// repliesLost makes writes take effect at once and get no reply.
	repliesLost bool
	rand        *rand.Rand
	// failFast makes calls on a cut link, and lost writes, fail within 2 ms, not after callTimeout.
	failFast bool
	// readAt is when the rows were last read.
	readAt time.Time
	// refusedUntil is until when writes are refused.
	refusedUntil time.Time
}

// refuseWrites makes writes fail for a duration.
func (l *link) refuseWrites(d time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.refusedUntil = time.Now().Add(d)
}

func (l *link) refusesWrites() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return time.Now().Before(l.refusedUntil)
}

// age returns the age of the rows that were last read.
func (l *link) age() time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	return time.Since(l.readAt)
}

// drawFaults returns whether the link is cut, whether the next write is lost, and how late a lost
// write takes effect.
func (l *link) drawFaults() (cut, lost bool, late time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.cut, l.rand.Float64() < l.lossRate, time.Duration(l.rand.IntN(6000)) * time.Millisecond
}

const callTimeout = 1200 * time.Millisecond

func (l *link) list(_ context.Context, partition string, _ uint64) ([]snipeplatform.Row, uint64, error) {
	if cut, _, _ := l.drawFaults(); cut {
		time.Sleep(l.failureDelay())
		return nil, 0, snipeplatform.ErrUnknown
	}
	// A slow read returns the rows as of some moment during the read.
	time.Sleep(l.delay())
	rows := l.table.list(partition)
	time.Sleep(l.delay())
	return l.visibleRows(rows), 0, nil
}

// visibleRows returns the rows that a read returns: those of the read before on a stale link.
func (l *link) visibleRows(rows []snipeplatform.Row) []snipeplatform.Row {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.readAt = time.Now()
	if l.stale {
		rows, l.previousRows = l.previousRows, rows
	}
	return rows
}

// makeStale makes each read return the rows of the read before it.
func (l *link) makeStale() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.stale = true
}

func (l *link) write(_ context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	if l.refusesWrites() {
		time.Sleep(2 * time.Millisecond)
		return 0, snipeplatform.ErrUnavailable
	}
	cut, lost, late := l.drawFaults()
	if cut || lost {
		if lost && !cut {
			time.AfterFunc(late, func() { _, _ = l.table.write(operation, changes) })
		}
		time.Sleep(l.failureDelay())
		return 0, snipeplatform.ErrUnknown
	}
	time.Sleep(9 * time.Millisecond)
	version, err := l.table.write(operation, changes)
	if l.losesReplies() {
		time.Sleep(callTimeout)
		return 0, snipeplatform.ErrUnknown
	}
	return version, err
}

func (l *link) losesReplies() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.repliesLost
}

// failureDelay returns how long a call on a cut link, or a lost write, takes to fail.
func (l *link) failureDelay() time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.failFast {
		return 2 * time.Millisecond
	}
	return callTimeout
}

// setFailFast makes calls on a cut link, and lost writes, fail within 2 ms or after callTimeout.
func (l *link) setFailFast(failFast bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.failFast = failFast
}

// loseReplies makes writes take effect without a reply.
func (l *link) loseReplies() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.repliesLost = true
}

func (l *link) delay() time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	return time.Duration(2+l.rand.IntN(300)*l.rand.IntN(2)) * time.Millisecond
}

func (l *link) setFaults(cut bool, lossRate float64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.cut, l.lossRate = cut, lossRate
}

// simulation is a deployment whose rights to order are checked while it runs.
type simulation struct {
	t         *testing.T
	table     *table
	engines   []netip.AddrPort
	links     []*link
	holders   []*snipeowner.Holder
	stops     []context.CancelFunc
	lastOrder map[netip.AddrPort]order
	// lastOrderBy is the time of the last order of each instance to each engine.
	lastOrderBy map[orderer]time.Time
	running     sync.WaitGroup
	restarts    int
	// directoryDelay is how long the directory is empty after an instance starts, in nanoseconds.
	directoryDelay atomic.Int64
	// relayWrites makes instances relay writes for others; see writer.
	relayWrites atomic.Bool
	// power returns the power of an instance.
	power func(n int) float64

	lock sync.Mutex // guards the fields below
	// holderByPeer maps addresses to the running holders, for requests between instances.
	holderByPeer map[netip.AddrPort]*snipeowner.Holder
	// ended holds the starts of instances that are known to have ended.
	ended map[string]bool
	// unreachable holds the instances that do not answer requests of other instances.
	unreachable map[netip.AddrPort]bool
}

// requestExtension sends a request for a lease extension to an instance.
func (s *simulation) requestExtension(ctx context.Context, peer netip.AddrPort, q snipeowner.ExtensionRequest) error {
	s.lock.Lock()
	h, unreachable := s.holderByPeer[peer], s.unreachable[peer]
	s.lock.Unlock()
	if unreachable {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(3 * time.Millisecond)
	granted := h.GrantExtension(q)
	time.Sleep(3 * time.Millisecond)
	if !granted {
		return snipeowner.ErrExtensionRefused
	}
	return nil
}

// writer returns the write function of an instance. The function writes over the instance's own
// link. If that write fails, other than by a conflict, and relayWrites is set, the function writes
// over the link of the next instance, provided that both instances are reachable.
func (s *simulation) writer(n int, l *link) func(context.Context, string, []snipeplatform.Change) (uint64, error) {
	return func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
		version, err := l.write(ctx, operation, changes)
		if err == nil || errors.Is(err, snipeplatform.ErrConflict) || !s.relayWrites.Load() || s.isUnreachable(n) {
			return version, err
		}
		s.lock.Lock()
		other := (n + 1) % len(s.links)
		s.lock.Unlock()
		if s.isUnreachable(other) {
			return version, err
		}
		time.Sleep(3 * time.Millisecond)
		s.lock.Lock()
		relay := s.links[other]
		s.lock.Unlock()
		return relay.write(ctx, operation, changes)
	}
}

// setUnreachable sets whether an instance answers requests of other instances.
func (s *simulation) setUnreachable(n int, unreachable bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.unreachable[peerAddress(n)] = unreachable
}

func (s *simulation) isUnreachable(n int) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.unreachable[peerAddress(n)]
}

// partition cuts an instance off from all others and from the table until it is reconnected.
func (s *simulation) partition(n int) {
	s.setUnreachable(n, true)
	s.links[n].setFaults(true, 0)
}

// reconnect restores the connections of an instance, first those to the other instances.
func (s *simulation) reconnect(n int) {
	s.setUnreachable(n, false)
	s.links[n].setFaults(false, 0)
}

func peerAddress(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:70", n+1))
}

// cutAll cuts or restores the links of all instances to the table.
func (s *simulation) cutAll(cut bool) {
	for _, l := range s.links {
		l.setFaults(cut, 0)
	}
}

// orderer identifies an engine and an instance that orders it.
type orderer struct {
	engine netip.AddrPort
	holder int
}

type order struct {
	at     time.Time
	holder int
	fence  uint64
}

func newSimulation(t *testing.T, seed uint64, instances, engines int) *simulation {
	return newSimulationWithPower(t, seed, instances, engines, func(int) float64 { return 0 })
}

func newSimulationWithPower(t *testing.T, seed uint64, instances, engines int, power func(n int) float64) *simulation {
	s := &simulation{
		power: power, t: t, table: &table{rows: map[snipeplatform.Key]snipeplatform.Row{}}, lastOrder: map[netip.AddrPort]order{}, lastOrderBy: map[orderer]time.Time{},
		holderByPeer: map[netip.AddrPort]*snipeowner.Holder{}, unreachable: map[netip.AddrPort]bool{},
	}
	for n := range engines {
		s.engines = append(s.engines, netip.MustParseAddrPort(fmt.Sprintf("10.9.0.%d:80", n+1)))
	}
	for n := range instances {
		l := &link{table: s.table, rand: rand.New(rand.NewPCG(seed, uint64(n)))}
		s.lock.Lock()
		s.links = append(s.links, l)
		s.lock.Unlock()
		s.holders = append(s.holders, nil)
		s.stops = append(s.stops, nil)
		s.start(n)
	}
	return s
}

// start starts or restarts an instance.
func (s *simulation) start(n int) {
	if s.stops[n] != nil {
		// Calls of the previous process that are in progress get no reply.
		old := s.links[n]
		s.restarts++
		s.lock.Lock()
		s.links[n] = &link{table: old.table, rand: rand.New(rand.NewPCG(uint64(s.restarts), uint64(n)))}
		s.lock.Unlock()
		old.setFaults(true, 0)
		s.stops[n]()
		// A restart does not heal a partition.
		s.links[n].setFaults(s.isUnreachable(n), 0)
	}
	link := s.links[n]
	began := time.Now()
	operations := 0
	h := &snipeowner.Holder{
		Table: snipeowner.Table{List: link.list, Write: s.writer(n, link)},
		Self: snipeowner.Instance{
			Power: s.power(n),
			Name:  fmt.Sprint("i", n), Incarnation: fmt.Sprint(n, began.UnixNano()),
			Peer: peerAddress(n),
		},
		RequestExtension: s.requestExtension, RowsAge: link.age,
		Engines: func() []netip.AddrPort {
			if time.Since(began) < time.Duration(s.directoryDelay.Load()) {
				return nil
			}
			return s.engines
		}, OrderGap: orderGap,
		Clock: func() time.Duration { return time.Since(began) + time.Hour },
		Operation: func() string {
			operations++
			return fmt.Sprint(n, began.UnixNano(), operations)
		},
		Ended: s.hasEnded,
		Log:   snipelog.Discard(),
	}
	ctx, cancel := context.WithCancel(s.t.Context())
	s.holders[n], s.stops[n] = h, cancel
	s.lock.Lock()
	s.holderByPeer[h.Self.Peer] = h
	s.lock.Unlock()
	s.running.Go(func() { _ = h.Run(ctx) })
	s.running.Go(func() { _ = h.RunExtendLease(ctx) })
}

// end stops an instance for good and lets all others know at once.
func (s *simulation) end(n int) {
	s.links[n].setFaults(true, 0)
	s.stops[n]()
	s.lock.Lock()
	if s.ended == nil {
		s.ended = make(map[string]bool)
	}
	s.ended[s.holders[n].Self.Incarnation] = true
	s.lock.Unlock()
	for other, h := range s.holders {
		if other != n {
			h.RequestStep()
		}
	}
}

func (s *simulation) hasEnded(i snipeowner.Instance) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.ended[i.Incarnation]
}

// shutDown stops all instances and waits for late writes.
func (s *simulation) shutDown() {
	for _, stop := range s.stops {
		stop()
	}
	s.running.Wait()
	time.Sleep(10 * time.Second)
}

// runAndCheck lets the simulation run for a duration and checks every 20 ms which instances may
// order each engine.
func (s *simulation) runAndCheck(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range s.engines {
			s.checkOwners(e)
		}
	}
}

// checkOwners checks that at most one instance may order an engine, that the fencing number grows
// with a change of the owner, and that a previous owner waits for orderGap.
func (s *simulation) checkOwners(e netip.AddrPort) {
	now := time.Now()
	owners := 0
	for n, h := range s.holders {
		fence, ok := h.Fence(e)
		if !ok {
			continue
		}
		owners++
		last, known := s.lastOrder[e]
		if known && last.holder != n {
			must.Greater(s.t, last.fence, fence, must.Sprintf("fence of %s", e))
			must.Positive(s.t, now.Sub(last.at), must.Sprintf("%s: %d after %d", e, n, last.holder))
			if previous, had := s.lastOrderBy[orderer{e, n}]; had {
				must.GreaterEq(s.t, orderGap, now.Sub(previous), must.Sprintf("%s: %d again after %d", e, n, last.holder))
			}
		}
		s.lastOrder[e], s.lastOrderBy[orderer{e, n}] = order{now, n, fence}, now
	}
	must.LessEq(s.t, 1, owners)
}

// orderable returns how many engines some instance may order now.
func (s *simulation) orderable() int {
	n := 0
	for _, e := range s.engines {
		for _, h := range s.holders {
			if _, ok := h.Fence(e); ok {
				n++
			}
		}
	}
	return n
}
