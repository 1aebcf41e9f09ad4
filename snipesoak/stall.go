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
	// stallCheckInterval is the time between two checks of the clock.
	stallCheckInterval = 100 * time.Millisecond
	// minStall is the delay of a check from which on it counts as a stall: the soak's own
	// process got no processor time.
	minStall = 400 * time.Millisecond
)

// stallMonitor measures for how long the soak's own process was stalled. The store and the
// upstreams run in this process, so they cannot serve any instance while it gets no processor
// time, and a failure in that time is not the instances' fault.
type stallMonitor struct {
	// Out takes a line for each stall.
	Out io.Writer

	lock    sync.Mutex // guards the fields below
	total   time.Duration
	longest time.Duration
}

// run checks the clock at intervals until ctx ends.
func (p *stallMonitor) run(ctx context.Context) {
	for last := time.Now(); snipetime.Sleep(ctx, stallCheckInterval); {
		now := time.Now()
		p.record(now, now.Sub(last)-stallCheckInterval)
		last = now
	}
}

// record counts the delay of a check at now as a stall if it reaches minStall.
func (p *stallMonitor) record(now time.Time, late time.Duration) {
	if late < minStall {
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.total += late
	p.longest = max(p.longest, late)
	// An error from writing the line does not affect the run.
	_, _ = fmt.Fprintf(p.Out, "the soak itself stood still for %s until %s\n", late.Round(time.Millisecond), now.Format(time.TimeOnly))
}

// String returns the total and the longest stall so far.
func (p *stallMonitor) String() string {
	p.lock.Lock()
	defer p.lock.Unlock()
	return fmt.Sprintf("the soak itself stood still for %s in all, %s at once", p.total.Round(time.Millisecond), p.longest.Round(time.Millisecond))
}
