package snipequota_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipequota"
)

// Bounds of the tests: those of a deployment that counts tokens over eight seconds.
var bounds = snipequota.Bounds{Span: 8 * time.Second, Overrun: 0.1, Slack: 110_000}

// oneWay is the time from one instance to another.
const oneWay = time.Millisecond

var errCut = errors.New("no answer")

// world is a deployment whose instances count one workspace's requests.
type world struct {
	t    *testing.T
	rand *rand.Rand

	lock  sync.Mutex // guards the fields below
	space *snipecatalog.Workspace
	nodes []*node
	// asked counts messages between instances.
	asked int
	began time.Time
	sent  []event
	ran   []event
}

// event is a request and when it came or ran.
type event struct {
	at    time.Duration
	units float64
}

// node is one instance.
type node struct {
	account *snipequota.Account
	issuer  *snipequota.Issuer
	stop    context.CancelFunc
	// group is the part of the network that it reaches; frozen answers nobody.
	group  int
	frozen bool
	// down since, zero while it runs; others see it by their rows after seenAfter.
	down time.Time
	// weight is its part of the requests.
	weight float64
}

// seenAfter is how long after its end an instance is thought to live.
const seenAfter = 4 * time.Second

func newWorld(t *testing.T, seed uint64, instances int, quota snipecatalog.Quota) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), began: time.Now(),
		space: &snipecatalog.Workspace{Name: "w", Quota: quota},
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	for n := range instances {
		// Callers are spread by a hash: some instances get several times as many as others.
		w.nodes = append(w.nodes, &node{weight: w.rand.ExpFloat64()})
		w.start(n)
	}
	return w
}

// start starts an instance that knows nothing.
func (w *world) start(n int) {
	d := w.nodes[n]
	d.issuer = &snipequota.Issuer{
		Quota:     func(string) snipecatalog.Quota { return w.workspace().Quota },
		Instances: func() []string { return w.live() }, Bounds: bounds,
	}
	d.account = &snipequota.Account{
		Ask: func(ctx context.Context, asks []snipequota.Ask) ([]snipequota.Grant, error) {
			return w.ask(ctx, n, asks)
		},
		Limited: func() bool { return true }, Instances: func() int { return len(w.live()) },
		Bounds: bounds, Log: snipelog.Discard(),
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	d.stop, d.down = cancel, time.Time{}
	account := d.account
	go func() { _ = account.Run(ctx) }()
}

// kill ends an instance.
func (w *world) kill(n int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.nodes[n].stop()
	w.nodes[n].down = time.Now()
}

// again starts an instance anew.
func (w *world) again(n int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.start(n)
}

// end ends all instances.
func (w *world) end() {
	for n := range w.nodes {
		w.change(n, func(d *node) { d.stop() })
	}
	time.Sleep(time.Second)
}

func (w *world) workspace() *snipecatalog.Workspace {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.space
}

// declare changes the quota for all.
func (w *world) declare(q snipecatalog.Quota) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.space = &snipecatalog.Workspace{Name: "w", Quota: q}
}

// live returns who lives by the rows, which all instances see alike, and late.
func (w *world) live() []string {
	w.lock.Lock()
	defer w.lock.Unlock()
	var all []string
	for n, d := range w.nodes {
		if d.down.IsZero() || time.Since(d.down) < seenAfter {
			all = append(all, fmt.Sprint(n))
		}
	}
	return all
}

// ask puts an instance's questions to the first that lives by the rows.
func (w *world) ask(ctx context.Context, n int, asks []snipequota.Ask) ([]snipequota.Grant, error) {
	var first int
	if _, err := fmt.Sscan(w.live()[0], &first); err != nil {
		return nil, err
	}
	w.lock.Lock()
	from, to := w.nodes[n], w.nodes[first]
	issuer := to.issuer
	reached := from == to || from.group == to.group && !from.frozen && !to.frozen
	down := !to.down.IsZero()
	w.asked++
	w.lock.Unlock()
	switch {
	case down:
		time.Sleep(oneWay)
		return nil, errCut
	case !reached:
		<-ctx.Done()
		return nil, ctx.Err()
	case from == to:
		return issuer.Issue(fmt.Sprint(n), asks), nil
	}
	time.Sleep(oneWay)
	grants := issuer.Issue(fmt.Sprint(n), asks)
	time.Sleep(oneWay)
	return grants, nil
}

// taker is a way of counting: it reports whether a request may run at an instance.
type taker func(n int, units float64) bool

// take counts by the way that is built.
func (w *world) take(n int, units float64) bool {
	w.lock.Lock()
	account := w.nodes[n].account
	w.lock.Unlock()
	_, ok := account.Take(w.t.Context(), w.workspace(), units)
	return ok
}

// change changes what becomes of an instance.
func (w *world) change(n int, f func(d *node)) {
	w.lock.Lock()
	defer w.lock.Unlock()
	f(w.nodes[n])
}

// send sends so many units a second in requests of a size for a while, to the instances that run
// by their weights.
func (w *world) send(take taker, d time.Duration, rate float64, size func() float64) {
	var waiting sync.WaitGroup
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		units := size()
		time.Sleep(time.Duration(w.rand.ExpFloat64() * units / rate * float64(time.Second)))
		n := w.pick()
		if n < 0 {
			continue
		}
		w.note(&w.sent, units)
		waiting.Go(func() {
			if take(n, units) {
				w.note(&w.ran, units)
			}
		})
	}
	waiting.Wait()
}

func (w *world) note(to *[]event, units float64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	*to = append(*to, event{time.Since(w.began), units})
}

// pick returns the instance of the next request; -1 where none runs.
func (w *world) pick() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	sum := 0.0
	for _, d := range w.nodes {
		if d.down.IsZero() && !d.frozen {
			sum += d.weight
		}
	}
	at := w.rand.Float64() * sum
	for n, d := range w.nodes {
		if !d.down.IsZero() || d.frozen {
			continue
		}
		if at -= d.weight; at < 0 {
			return n
		}
	}
	return -1
}

// most returns the most units that ran within a window, in those after a time.
func (w *world) most(after time.Duration) float64 {
	sum, most, first := 0.0, 0.0, 0
	for _, e := range w.ran {
		if e.at < after {
			first++
			continue
		}
		sum += e.units
		for e.at-w.ran[first].at > bounds.Span {
			sum -= w.ran[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// questions returns how many questions were asked.
func (w *world) questions() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.asked
}

// messages returns how many questions were asked in a second.
func (w *world) messages() float64 { return float64(w.questions()) / time.Since(w.began).Seconds() }

// allowed is how many units may run within a window.
func allowed(q snipecatalog.Quota) float64 {
	return q.PerSecond*bounds.Span.Seconds() + q.Burst + bounds.Over(q)
}

// early returns the part of the units that one bucket for all would have let run, and that did not.
func (w *world) early(q snipecatalog.Quota) float64 {
	level, at, ideal := q.Burst, time.Duration(0), 0.0
	for _, e := range w.sent {
		level = min(level+q.PerSecond*(e.at-at).Seconds(), q.Burst)
		at = e.at
		if level >= min(e.units, q.Burst) {
			level -= e.units
			ideal += e.units
		}
	}
	ran := 0.0
	for _, e := range w.ran {
		ran += e.units
	}
	return max(ideal-ran, 0) / ideal
}

// sizes returns requests' sizes as those of drafts: some hundred tokens, few of them many.
func (w *world) sizes(mean float64) func() float64 {
	return func() float64 {
		w.lock.Lock()
		defer w.lock.Unlock()
		return mean * (0.3 + 0.7*w.rand.ExpFloat64())
	}
}
