package snipeowner_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// TestOwnersWithoutFaults: all engines have an owner soon after the start, and keep
// it.
func TestOwnersWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 1, 9, 12)
		defer p.end()
		p.watch(5 * time.Second)
		must.Eq(t, 12, p.owned())
		p.watch(10 * time.Second)
		must.Eq(t, 12, p.owned())
	})
}

// TestStrongOwn: where enough instances have at least twice the power of the others they
// own all engines; where there are too few of them the others do their part.
func TestStrongOwn(t *testing.T) {
	tests := map[string]struct {
		strong   int
		weakOwns bool
	}{"Enough": {6, false}, "TooFew": {3, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPowerPlay(t, 8, 9, 30, func(n int) float64 {
					if n < tt.strong {
						return 0.8
					}
					return 0.2
				})
				defer p.end()
				p.watch(8 * time.Second)
				must.Eq(t, 30, p.owned())
				weak := 0
				for _, h := range p.holders[tt.strong:] {
					for _, e := range p.engines {
						if _, ok := h.Fence(e); ok {
							weak++
						}
					}
				}
				must.Eq(t, tt.weakOwns, weak > 0)
			})
		})
	}
}

// TestViews: every instance knows the same owners of engines, itself not among the others, and
// the same order of duties; a step that shows no change keeps what was known.
func TestViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 4, 3, 12)
		defer p.end()
		p.watch(8 * time.Second)
		for n, h := range p.holders {
			v := h.View()
			must.MapLen(t, 12, v.Owners)
			must.Len(t, 2, v.Others)
			must.False(t, slices.Contains(v.Others, peerAddress(n)))
			must.True(t, slices.Equal(p.holders[0].View().Ranked, v.Ranked))
			must.MapLen(t, len(v.Ranked), v.Live)
		}
		before := p.holders[0].View()
		p.watch(3 * time.Second)
		after := p.holders[0].View()
		must.Greater(t, 0, after.Read.Sub(before.Read))
		must.True(t, maps.Equal(before.Owners, after.Owners))
		p.stops[1]()
		p.watch(8 * time.Second)
		v := p.holders[0].View()
		must.MapLen(t, 12, v.Owners)
		must.True(t, slices.Equal([]netip.AddrPort{peerAddress(2)}, v.Others))
		must.Len(t, 2, v.Ranked)
	})
}

// TestOwnersAtSize: beyond some hundred engines the owners do not grow with them, as long as
// each has room to take over those of lost ones.
func TestOwnersAtSize(t *testing.T) {
	tests := map[string]struct{ engines, least, most int }{
		"Few": {12, 6, 9}, "Today": {84, 10, 12}, "Planned": {600, 30, 45}, "Thousands": {3000, 45, 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCrowd(t, 70, tt.engines)
				for range 12 {
					w.step(t)
				}
				must.Between(t, tt.least, w.owners(), tt.most)
				must.Eq(t, tt.engines, w.ordered())
			})
		})
	}
}

// TestManyEngines: an instance that is to own more engines than fit into one transaction
// of the table takes them one part after the other, gives them up so, and owns no more
// than it can hold all conditions of.
func TestManyEngines(t *testing.T) {
	tests := map[string]struct{ engines, owned int }{"Few": {40, 40}, "Many": {70, 70}, "TooMany": {120, 97}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(t, 9, 2, tt.engines)
				defer p.end()
				p.links[1].set(true, 0)
				p.stops[1]()
				p.watch(20 * time.Second)
				must.Eq(t, tt.owned, p.owned())
				p.start(1)
				p.watch(5 * time.Second)
				p.holders[0].Leave()
				p.watch(20 * time.Second)
				must.Eq(t, tt.owned, p.owned())
			})
		})
	}
}

// TestCopyBehind: rows that are read from a copy which does not yet show what this
// instance has written take nothing away from it.
func TestCopyBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 5, 2, 4)
		defer p.end()
		for _, l := range p.links {
			l.fallBehind()
		}
		p.watch(5 * time.Second)
		must.Eq(t, 4, p.owned())
		for range 100 {
			p.watch(100 * time.Millisecond)
			must.Eq(t, 4, p.owned())
		}
	})
}

// TestOwnerDies: the engines of an instance that died have another owner after the
// lease.
func TestOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 2, 3, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.links[0].set(true, 0)
		p.stops[0]()
		p.watch(6 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestOwnerLeaves: a planned stop frees the engines at once.
func TestOwnerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 3, 3, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.holders[1].Leave()
		p.watch(4 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestLeftWritesNoMore: an instance that has given all up and said that it leaves writes
// nothing more while its last requests end.
func TestLeftWritesNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 3, 1, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.holders[0].Leave()
		p.watch(2 * time.Second)
		writes := p.table.writes()
		p.watch(6 * time.Second)
		must.Eq(t, writes, p.table.writes())
	})
}

// TestOwnerLeavesUnanswered: the next owner may order as soon as it reads that an engine
// was given up, so the former one must not, whether it learns of its own write or not.
func TestOwnerLeavesUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 3, 2, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.links[1].silence()
		p.holders[1].Leave()
		p.watch(4 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestNoTurnsOverStart: an instance that gave engines up and starts again leaves the
// gap between its former orders and the next ones, though it does not know of them.
func TestNoTurnsOverStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 6, 2, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.holders[0].Leave()
		p.watch(600 * time.Millisecond)
		p.start(0)
		p.holders[1].Leave()
		p.watch(6 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestOwnerStartsAgain: an instance that starts again orders its own engines
// without waiting for its former lease.
func TestOwnerStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 4, 1, 3)
		defer p.end()
		p.watch(5 * time.Second)
		p.start(0)
		p.watch(1500 * time.Millisecond)
		must.Eq(t, 3, p.owned())
	})
}

// TestStartBeforeDirectory answers the pattern of all instances starting again at once, each of
// which knows the owners a moment before it knows the engines: it orders its engines again as
// soon as it knows them, not a renewal later.
func TestStartBeforeDirectory(t *testing.T) {
	const unread, soon = 100 * time.Millisecond, 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 12, 3, 6)
		defer p.end()
		p.watch(5 * time.Second)
		must.Eq(t, 6, p.owned())
		p.unread.Store(int64(unread))
		for n := range p.holders {
			p.start(n)
		}
		p.watch(unread + soon)
		must.Eq(t, 6, p.owned())
	})
}

// TestStartBesideDirectory answers the pattern of engines that come to be known while the first
// step's write is under way: they are ordered again as soon.
func TestStartBesideDirectory(t *testing.T) {
	// A reading of the rows takes up to 600 ms here.
	const soon = 700 * time.Millisecond
	for unread := time.Duration(0); unread < 40*time.Millisecond; unread += 2 * time.Millisecond {
		t.Run(unread.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(t, 12, 3, 6)
				defer p.end()
				p.watch(5 * time.Second)
				must.Eq(t, 6, p.owned())
				p.unread.Store(int64(unread))
				for n := range p.holders {
					p.start(n)
				}
				p.watch(unread + soon)
				must.Eq(t, 6, p.owned())
			})
		})
	}
}

// TestStartOutranked answers the pattern of all instances starting again at once, where those
// that owned the engines rank behind others by now: they order their engines again at once, and
// leave none to be taken over after a lease.
func TestStartOutranked(t *testing.T) {
	// A reading of the rows takes up to 600 ms here; a lease takes 2.7 s.
	const soon = 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 13, 24, 6)
		defer p.end()
		p.watch(5 * time.Second)
		must.Eq(t, 6, p.owned())
		p.power = func(n int) float64 {
			if p.holders[n].Owns() {
				return 0.2
			}
			return 0.8
		}
		for n := range p.holders {
			p.start(n)
		}
		p.watch(soon)
		must.Eq(t, 6, p.owned())
		p.watch(10 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestStartRefused answers the pattern of all instances starting again while the store refuses
// writes: it guards against a whole renewal between the end of that and the first order.
func TestStartRefused(t *testing.T) {
	// A reading of the rows takes up to 600 ms here, a renewal comes each second.
	const refused, soon = 1100 * time.Millisecond, 850 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 12, 3, 6)
		defer p.end()
		p.watch(5 * time.Second)
		must.Eq(t, 6, p.owned())
		for n := range p.holders {
			p.start(n)
			p.links[n].refuseWrites(refused)
		}
		p.watch(refused + soon)
		must.Eq(t, 6, p.owned())
	})
}

// TestOutage answers the pattern of a store that answers nobody for ten seconds: those who own
// engines go on to order them, since nobody else can take them. Where the store answers
// some, or where one who may reach it says nothing, the right ends with the lease.
func TestOutage(t *testing.T) {
	const outage = 10 * time.Second
	twelve := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	tests := map[string]struct {
		instances    int
		cut          []int
		away         []int
		gone         []int // for good, long before
		during, then int
	}{
		"All":       {3, twelve[:3], nil, nil, 6, 6},
		"AllButOne": {3, twelve[1:3], nil, nil, 6, 6},
		"OneIsAway": {3, twelve[:3], twelve[1:2], nil, 0, 6},
		"OneAlone":  {3, twelve[:1], nil, nil, 6, 6},
		"None":      {3, nil, nil, nil, 6, 6},
		"Standby":   {12, twelve, nil, nil, 6, 6},
		"OneIsGone": {3, twelve[:3], nil, twelve[1:2], 6, 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(t, 11, tt.instances, 6)
				defer p.end()
				for _, n := range tt.gone {
					p.partition(n)
				}
				p.watch(12 * time.Second)
				for _, n := range tt.away {
					p.silence(n, true)
				}
				for _, n := range tt.cut {
					p.links[n].set(true, 0)
				}
				p.watch(outage)
				must.LessEq(t, 6, p.owned())
				must.GreaterEq(t, tt.during, p.owned())
				for n := range p.links {
					p.join(n)
				}
				p.watch(6 * time.Second)
				must.Eq(t, tt.then, p.owned())
			})
		})
	}
}

// TestOutageEnds plays outages of the store for all of forty instances, most of which stand
// by and are not all asked. When it is back an owner that went on renews a moment later than
// others read; nobody may order its engines meanwhile. In these seeds of the first sixty one
// on standby took an engine over before its owner had renewed.
func TestOutageEnds(t *testing.T) {
	for _, seed := range []uint64{5, 12, 14, 36, 52} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 7))
				p := newPlay(t, seed, 40, 5)
				defer p.end()
				p.watch(6 * time.Second)
				for range 6 {
					quick := r.IntN(2) == 0
					for _, l := range p.links {
						l.refuse(quick)
					}
					p.cutAll(true)
					p.watch(time.Duration(500+r.IntN(6000)) * time.Millisecond)
					p.cutAll(false)
					p.watch(time.Duration(3000+r.IntN(3000)) * time.Millisecond)
				}
				p.watch(8 * time.Second)
				must.Eq(t, 5, p.owned())
			})
		})
	}
}

// trouble is one of the kinds of faults that TestOneOwner plays.
func (p *play) trouble(n, kind int) {
	switch kind {
	case 0:
		p.links[n].set(true, 0)
	case 1:
		p.join(n)
		p.links[n].set(false, 0.4)
	case 2:
		p.start(n)
	case 3:
		p.holders[n].Leave()
		p.watch(time.Second)
		p.start(n)
	case 4:
		p.cutAll(true)
	case 5:
		p.cutAll(true)
		p.join(n)
	case 6:
		p.partition(n)
	default:
		p.join(n)
	}
}

// TestOneOwner plays random faults: cuts, lost and late writes, restarts, planned
// stops. Whatever happens, two instances never order an engine at once, nor by turns
// within the gap, and fencing numbers grow.
func TestOneOwner(t *testing.T) {
	seeds := []uint64{131, 1144, 1611} // an owner went on while one that had started again took over
	for seed := range uint64(100) {
		seeds = append(seeds, seed)
	}
	testOneOwner(t, seeds, false)
}

// TestOneOwnerRelayed plays the same where instances make each other's writes: a write may be
// made by its sender's way, by another's, by both in any order, or late, and takes effect once.
func TestOneOwnerRelayed(t *testing.T) {
	var seeds []uint64
	for seed := range uint64(60) {
		seeds = append(seeds, 5000+seed)
	}
	testOneOwner(t, seeds, true)
}

func testOneOwner(t *testing.T, seeds []uint64, relays bool) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 99))
				p := newPlay(t, seed, 4, 5)
				p.relays.Store(relays)
				defer p.end()
				p.watch(4 * time.Second)
				for range 25 {
					p.trouble(r.IntN(len(p.holders)), r.IntN(9))
					p.watch(time.Duration(r.IntN(3000)) * time.Millisecond)
				}
				for n := range p.links {
					p.join(n)
				}
				p.watch(15 * time.Second)
				must.Eq(t, 5, p.owned())
			})
		})
	}
}
