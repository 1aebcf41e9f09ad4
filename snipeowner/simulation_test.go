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

// table is a store whose rows all count by one version.
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

// listSince returns the rows that have changed after a version, and the newest one.
func (t *table) listSince(partition string, version uint64) ([]snipeplatform.Row, uint64) {
	rows := slices.DeleteFunc(t.list(partition), func(r snipeplatform.Row) bool { return r.Version <= version })
	t.lock.Lock()
	defer t.lock.Unlock()
	return rows, t.version
}

// maxEntries is how many conditions and writes the table takes at once.
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

// writes returns how many transactions were made.
func (t *table) writes() uint64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.version
}

// link is one instance's way to the table.
type link struct {
	table *table
	lock  sync.Mutex
	// behind tells that reads show the rows as of the read before.
	behind bool
	shown  []snipeplatform.Row
	// cut calls get no answer; lost ones are made late and get none.
	cut  bool
	lost float64
	// mute writes are made at once and get no answer.
	mute bool
	rand *rand.Rand
	// quick tells that cut calls are refused at once.
	quick bool
	// readAt is when the rows were last read.
	readAt time.Time
	// opens is until when writes are refused.
	opens time.Time
}

// refuseWrites makes writes be refused for a while.
func (l *link) refuseWrites(d time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.opens = time.Now().Add(d)
}

func (l *link) refusesWrites() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return time.Now().Before(l.opens)
}

// age returns how old the rows are that were read last.
func (l *link) age() time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	return time.Since(l.readAt)
}

func (l *link) state() (cut, lost bool, late time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.cut, l.rand.Float64() < l.lost, time.Duration(l.rand.IntN(6000)) * time.Millisecond
}

const callTimeout = 1200 * time.Millisecond

func (l *link) list(_ context.Context, partition string, _ uint64) ([]snipeplatform.Row, uint64, error) {
	if cut, _, _ := l.state(); cut {
		time.Sleep(l.refusal())
		return nil, 0, snipeplatform.ErrUnknown
	}
	// A slow read shows the rows as of some moment while it was under way.
	time.Sleep(l.delay())
	rows := l.table.list(partition)
	time.Sleep(l.delay())
	return l.show(rows), 0, nil
}

// show returns the rows that a read gets: those of the read before for a link that
// is behind.
func (l *link) show(rows []snipeplatform.Row) []snipeplatform.Row {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.readAt = time.Now()
	if l.behind {
		rows, l.shown = l.shown, rows
	}
	return rows
}

// fallBehind makes reads show the rows as of the read before.
func (l *link) fallBehind() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.behind = true
}

func (l *link) write(_ context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	if l.refusesWrites() {
		time.Sleep(2 * time.Millisecond)
		return 0, snipeplatform.ErrUnavailable
	}
	cut, lost, late := l.state()
	if cut || lost {
		if lost && !cut {
			time.AfterFunc(late, func() { _, _ = l.table.write(operation, changes) })
		}
		time.Sleep(l.refusal())
		return 0, snipeplatform.ErrUnknown
	}
	time.Sleep(9 * time.Millisecond)
	version, err := l.table.write(operation, changes)
	if l.muted() {
		time.Sleep(callTimeout)
		return 0, snipeplatform.ErrUnknown
	}
	return version, err
}

func (l *link) muted() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.mute
}

// refusal is how long a cut call takes to fail.
func (l *link) refusal() time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.quick {
		return 2 * time.Millisecond
	}
	return callTimeout
}

// refuse makes cut calls fail at once, or after a while.
func (l *link) refuse(quick bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.quick = quick
}

// silence makes writes get no answer.
func (l *link) silence() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.mute = true
}

func (l *link) delay() time.Duration {
	l.lock.Lock()
	defer l.lock.Unlock()
	return time.Duration(2+l.rand.IntN(300)*l.rand.IntN(2)) * time.Millisecond
}

func (l *link) set(cut bool, lost float64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.cut, l.lost = cut, lost
}

// play is a deployment whose orders are watched.
type play struct {
	t       *testing.T
	table   *table
	engines []netip.AddrPort
	links   []*link
	holders []*snipeowner.Holder
	stops   []context.CancelFunc
	last    map[netip.AddrPort]order
	// before is the last order of each instance to each engine.
	before  map[turn]time.Time
	running sync.WaitGroup
	starts  int
	// unread is for how long after its start an instance knows no engines.
	unread atomic.Int64
	// relays tells that instances make writes for those that get no answer.
	relays atomic.Bool
	// power returns an instance's power.
	power func(n int) float64

	lock sync.Mutex // guards the fields below
	// current are the holders, for the questions of one to another.
	current map[netip.AddrPort]*snipeowner.Holder
	// away are the instances that answer no questions.
	away map[netip.AddrPort]bool
}

// promise asks one instance in the name of another one.
func (p *play) promise(ctx context.Context, peer netip.AddrPort, q snipeowner.Question) error {
	p.lock.Lock()
	h, away := p.current[peer], p.away[peer]
	p.lock.Unlock()
	if away {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(3 * time.Millisecond)
	granted := h.Grant(q)
	time.Sleep(3 * time.Millisecond)
	if !granted {
		return snipeowner.ErrNoPromise
	}
	return nil
}

// writer returns how an instance writes: by its own way to the table, and where that does not
// answer by another instance's that it reaches.
func (p *play) writer(n int, l *link) func(context.Context, string, []snipeplatform.Change) (uint64, error) {
	return func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
		version, err := l.write(ctx, operation, changes)
		if err == nil || errors.Is(err, snipeplatform.ErrConflict) || !p.relays.Load() || p.isAway(n) {
			return version, err
		}
		p.lock.Lock()
		other := (n + 1) % len(p.links)
		p.lock.Unlock()
		if p.isAway(other) {
			return version, err
		}
		time.Sleep(3 * time.Millisecond)
		p.lock.Lock()
		way := p.links[other]
		p.lock.Unlock()
		return way.write(ctx, operation, changes)
	}
}

// silence makes an instance answer no questions.
func (p *play) silence(n int, away bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.away[peerAddress(n)] = away
}

func (p *play) isAway(n int) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.away[peerAddress(n)]
}

// partition cuts an instance off from all others and from the table, until it is joined.
func (p *play) partition(n int) {
	p.silence(n, true)
	p.links[n].set(true, 0)
}

// join gives an instance its ways back, if it has lost them: first that to the others.
func (p *play) join(n int) {
	p.silence(n, false)
	p.links[n].set(false, 0)
}

func peerAddress(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:70", n+1))
}

// cutAll sets the ways of all instances to the table.
func (p *play) cutAll(cut bool) {
	for _, l := range p.links {
		l.set(cut, 0)
	}
}

// turn names an instance's orders to an engine.
type turn struct {
	engine netip.AddrPort
	holder int
}

type order struct {
	at     time.Time
	holder int
	fence  uint64
}

func newPlay(t *testing.T, seed uint64, instances, engines int) *play {
	return newPowerPlay(t, seed, instances, engines, func(int) float64 { return 0 })
}

func newPowerPlay(t *testing.T, seed uint64, instances, engines int, power func(n int) float64) *play {
	p := &play{
		power: power, t: t, table: &table{rows: map[snipeplatform.Key]snipeplatform.Row{}}, last: map[netip.AddrPort]order{}, before: map[turn]time.Time{},
		current: map[netip.AddrPort]*snipeowner.Holder{}, away: map[netip.AddrPort]bool{},
	}
	for n := range engines {
		p.engines = append(p.engines, netip.MustParseAddrPort(fmt.Sprintf("10.9.0.%d:80", n+1)))
	}
	for n := range instances {
		l := &link{table: p.table, rand: rand.New(rand.NewPCG(seed, uint64(n)))}
		p.lock.Lock()
		p.links = append(p.links, l)
		p.lock.Unlock()
		p.holders = append(p.holders, nil)
		p.stops = append(p.stops, nil)
		p.start(n)
	}
	return p
}

// start starts an instance, anew if it ran before.
func (p *play) start(n int) {
	if p.stops[n] != nil {
		// What the former process has under way gets no answer.
		old := p.links[n]
		p.starts++
		p.lock.Lock()
		p.links[n] = &link{table: old.table, rand: rand.New(rand.NewPCG(uint64(p.starts), uint64(n)))}
		p.lock.Unlock()
		old.set(true, 0)
		p.stops[n]()
		// A start does not heal a partition.
		p.links[n].set(p.isAway(n), 0)
	}
	link := p.links[n]
	began := time.Now()
	operations := 0
	h := &snipeowner.Holder{
		Table: snipeowner.Table{List: link.list, Write: p.writer(n, link)},
		Self: snipeowner.Instance{
			Power: p.power(n),
			Name:  fmt.Sprint("i", n), Incarnation: fmt.Sprint(n, began.UnixNano()),
			Peer: peerAddress(n),
		},
		Promise: p.promise, RowsAge: link.age,
		Engines: func() []netip.AddrPort {
			if time.Since(began) < time.Duration(p.unread.Load()) {
				return nil
			}
			return p.engines
		}, OrderGap: orderGap,
		Clock: func() time.Duration { return time.Since(began) + time.Hour },
		Operation: func() string {
			operations++
			return fmt.Sprint(n, began.UnixNano(), operations)
		},
		Log: snipelog.Discard(),
	}
	ctx, cancel := context.WithCancel(p.t.Context())
	p.holders[n], p.stops[n] = h, cancel
	p.lock.Lock()
	p.current[h.Self.Peer] = h
	p.lock.Unlock()
	p.running.Go(func() { _ = h.Run(ctx) })
	p.running.Go(func() { _ = h.RunProlong(ctx) })
}

// end ends all instances and what they have under way.
func (p *play) end() {
	for _, stop := range p.stops {
		stop()
	}
	p.running.Wait()
	time.Sleep(10 * time.Second)
}

// watch looks who may order each engine, every 20 ms for a while.
func (p *play) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range p.engines {
			p.look(e)
		}
	}
}

func (p *play) look(e netip.AddrPort) {
	now := time.Now()
	owners := 0
	for n, h := range p.holders {
		fence, ok := h.Fence(e)
		if !ok {
			continue
		}
		owners++
		last, known := p.last[e]
		if known && last.holder != n {
			must.Greater(p.t, last.fence, fence, must.Sprintf("fence of %s", e))
			must.Positive(p.t, now.Sub(last.at), must.Sprintf("%s: %d after %d", e, n, last.holder))
			if before, had := p.before[turn{e, n}]; had {
				must.GreaterEq(p.t, orderGap, now.Sub(before), must.Sprintf("%s: %d again after %d", e, n, last.holder))
			}
		}
		p.last[e], p.before[turn{e, n}] = order{now, n, fence}, now
	}
	must.LessEq(p.t, 1, owners)
}

// owned returns how many engines may be ordered now.
func (p *play) owned() int {
	n := 0
	for _, e := range p.engines {
		for _, h := range p.holders {
			if _, ok := h.Fence(e); ok {
				n++
			}
		}
	}
	return n
}
