package snipesoak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipetime"
)

const (
	// pulseEvery is the time between two looks at the soak's own clock.
	pulseEvery = 100 * time.Millisecond
	// standstill is how much later than due a look tells that the soak itself got no processor.
	standstill = 400 * time.Millisecond
)

// pulse tells for how long the soak itself stood still. Its store and its upstreams live in its
// process: while that gets no processor no instance can be served by them, whatever it does.
type pulse struct {
	// Out takes a line for each time.
	Out io.Writer

	lock    sync.Mutex // guards the fields below
	all     time.Duration
	longest time.Duration
}

// run looks at the clock until ctx ends.
func (p *pulse) run(ctx context.Context) {
	for last := time.Now(); snipetime.Sleep(ctx, pulseEvery); {
		now := time.Now()
		p.note(now, now.Sub(last)-pulseEvery)
		last = now
	}
}

// note notes by how much later than due a look came.
func (p *pulse) note(now time.Time, late time.Duration) {
	if late < standstill {
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.all += late
	p.longest = max(p.longest, late)
	// A line that cannot be written changes nothing for the run.
	_, _ = fmt.Fprintf(p.Out, "the soak itself stood still for %s until %s\n", late.Round(time.Millisecond), now.Format(time.TimeOnly))
}

// String tells for how long the soak stood still so far.
func (p *pulse) String() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return fmt.Sprintf("the soak itself stood still for %s in all, %s at once", p.all.Round(time.Millisecond), p.longest.Round(time.Millisecond))
}
