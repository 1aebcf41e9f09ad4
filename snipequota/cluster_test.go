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

// bounds are those of a deployment that counts tokens over eight seconds.
var bounds = snipequota.Bounds{Span: 8 * time.Second, Overrun: 0.1, Slack: 110_000}

// latency is the time that a message takes from one instance to another.
const latency = time.Millisecond

var errUnreachable = errors.New("no answer")

// cluster is a deployment whose instances count the requests of one workspace.
type cluster struct {
	t    *testing.T
	rand *rand.Rand

	lock      sync.Mutex // guards the fields below
	current   *snipecatalog.Workspace
	instances []*instance
	// calls counts the calls to an issuer.
	calls int
	began time.Time
	sent  []request
	ran   []request
}

// request is a request and when it arrived or ran.
type request struct {
	at    time.Duration
	units float64
}

// instance is one instance of a cluster.
type instance struct {
	account *snipequota.Account
	issuer  *snipequota.Issuer
	stop    context.CancelFunc
	// partition is the network partition of the instance. A frozen instance answers no call.
	partition int
	frozen    bool
	// down is when the instance stopped; zero while it runs. It counts as live for detectionDelay
	// after that, until its row has expired.
	down time.Time
	// weight is the relative rate of requests at the instance.
	weight float64
}

// detectionDelay is how long a stopped instance still counts as live.
const detectionDelay = 4 * time.Second

func newCluster(t *testing.T, seed uint64, size int, quota snipecatalog.Quota) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), began: time.Now(),
		current: &snipecatalog.Workspace{Name: "w", Quota: quota},
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	for n := range size {
		// Callers are spread by a hash, so some instances get several times as many as others.
		c.instances = append(c.instances, &instance{weight: c.rand.ExpFloat64()})
		c.start(n)
	}
	return c
}

// start starts an instance without any state.
func (c *cluster) start(n int) {
	d := c.instances[n]
	d.issuer = &snipequota.Issuer{
		Quota:     func(string) snipecatalog.Quota { return c.workspace().Quota },
		Instances: func() []string { return c.live() }, Bounds: bounds,
	}
	d.account = &snipequota.Account{
		Ask: func(ctx context.Context, asks []snipequota.Ask) ([]snipequota.Grant, error) {
			return c.ask(ctx, n, asks)
		},
		Limited: func() bool { return true }, Instances: func() int { return len(c.live()) },
		Bounds: bounds, Log: snipelog.Discard(),
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	d.stop, d.down = cancel, time.Time{}
	account := d.account
	go func() { _ = account.Run(ctx) }()
}

// kill stops an instance.
func (c *cluster) kill(n int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances[n].stop()
	c.instances[n].down = time.Now()
}

// restart starts an instance again, without its previous state.
func (c *cluster) restart(n int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.start(n)
}

// stopAll stops all instances.
func (c *cluster) stopAll() {
	for n := range c.instances {
		c.update(n, func(d *instance) { d.stop() })
	}
	time.Sleep(time.Second)
}

func (c *cluster) workspace() *snipecatalog.Workspace {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.current
}

// setQuota changes the quota for all instances.
func (c *cluster) setQuota(q snipecatalog.Quota) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.current = &snipecatalog.Workspace{Name: "w", Quota: q}
}

// live returns the names of the live instances by their rows, which all instances see alike and
// with a delay.
func (c *cluster) live() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	var all []string
	for n, d := range c.instances {
		if d.down.IsZero() || time.Since(d.down) < detectionDelay {
			all = append(all, fmt.Sprint(n))
		}
	}
	return all
}

// ask sends the asks of an instance to the first live instance.
func (c *cluster) ask(ctx context.Context, n int, asks []snipequota.Ask) ([]snipequota.Grant, error) {
	var first int
	if _, err := fmt.Sscan(c.live()[0], &first); err != nil {
		return nil, err
	}
	c.lock.Lock()
	from, to := c.instances[n], c.instances[first]
	issuer := to.issuer
	reached := from == to || from.partition == to.partition && !from.frozen && !to.frozen
	down := !to.down.IsZero()
	c.calls++
	c.lock.Unlock()
	switch {
	case down:
		time.Sleep(latency)
		return nil, errUnreachable
	case !reached:
		<-ctx.Done()
		return nil, ctx.Err()
	case from == to:
		return issuer.Issue(fmt.Sprint(n), asks), nil
	}
	time.Sleep(latency)
	grants := issuer.Issue(fmt.Sprint(n), asks)
	time.Sleep(latency)
	return grants, nil
}

// takeFunc is a method of counting. It reports whether a request may run at an instance.
type takeFunc func(n int, units float64) bool

// take uses the accounts of this package.
func (c *cluster) take(n int, units float64) bool {
	c.lock.Lock()
	account := c.instances[n].account
	c.lock.Unlock()
	_, ok := account.Take(c.t.Context(), c.workspace(), units)
	return ok
}

// update changes an instance under the lock.
func (c *cluster) update(n int, f func(d *instance)) {
	c.lock.Lock()
	defer c.lock.Unlock()
	f(c.instances[n])
}

// send sends requests of the given sizes for d, at a rate in units per second, to the running
// instances in proportion to their weights.
func (c *cluster) send(take takeFunc, d time.Duration, rate float64, size func() float64) {
	var pending sync.WaitGroup
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		units := size()
		time.Sleep(time.Duration(c.rand.ExpFloat64() * units / rate * float64(time.Second)))
		n := c.pickInstance()
		if n < 0 {
			continue
		}
		c.record(&c.sent, units)
		pending.Go(func() {
			if take(n, units) {
				c.record(&c.ran, units)
			}
		})
	}
	pending.Wait()
}

func (c *cluster) record(to *[]request, units float64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	*to = append(*to, request{time.Since(c.began), units})
}

// pickInstance returns the instance for the next request, or -1 if none runs.
func (c *cluster) pickInstance() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	sum := 0.0
	for _, d := range c.instances {
		if d.down.IsZero() && !d.frozen {
			sum += d.weight
		}
	}
	at := c.rand.Float64() * sum
	for n, d := range c.instances {
		if !d.down.IsZero() || d.frozen {
			continue
		}
		if at -= d.weight; at < 0 {
			return n
		}
	}
	return -1
}

// maxUnits returns the maximum of the units that ran within a window, counting only requests after
// the given time.
func (c *cluster) maxUnits(after time.Duration) float64 {
	sum, maxUse, first := 0.0, 0.0, 0
	for _, e := range c.ran {
		if e.at < after {
			first++
			continue
		}
		sum += e.units
		for e.at-c.ran[first].at > bounds.Span {
			sum -= c.ran[first].units
			first++
		}
		maxUse = max(maxUse, sum)
	}
	return maxUse
}

// callCount returns the number of calls to an issuer.
func (c *cluster) callCount() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.calls
}

// callRate returns the number of calls per second.
func (c *cluster) callRate() float64 { return float64(c.callCount()) / time.Since(c.began).Seconds() }

// allowed returns how many units may run within a window.
func allowed(q snipecatalog.Quota) float64 {
	return q.PerSecond*bounds.Span.Seconds() + q.Burst + bounds.Over(q)
}

// refusedEarly returns the fraction of the units that a single bucket for all instances would have
// let run but that did not run.
func (c *cluster) refusedEarly(q snipecatalog.Quota) float64 {
	level, at, ideal := q.Burst, time.Duration(0), 0.0
	for _, e := range c.sent {
		level = min(level+q.PerSecond*(e.at-at).Seconds(), q.Burst)
		at = e.at
		if level >= min(e.units, q.Burst) {
			level -= e.units
			ideal += e.units
		}
	}
	ran := 0.0
	for _, e := range c.ran {
		ran += e.units
	}
	return max(ideal-ran, 0) / ideal
}

// sizes returns a generator of request sizes with the given mean: most sizes are below it, a few
// are several times as large.
func (c *cluster) sizes(mean float64) func() float64 {
	return func() float64 {
		c.lock.Lock()
		defer c.lock.Unlock()
		return mean * (0.3 + 0.7*c.rand.ExpFloat64())
	}
}
