package snipegateway

import (
	"sync"
	"time"
)

const (
	// slowShare is the share of requests whose first piece came sooner than is counted on:
	// what one in five waits for or longer is what a busy engine costs.
	slowShare = 0.8
	// paceStep is by how much one request moves the expected delay: some forty move it by half,
	// which an instance sees in a few seconds.
	paceStep = 0.05
	// leastBusy is from which share of an engine's slots on requests tell of its pace: below,
	// the way there and the prompt itself make most of the time.
	leastBusy = 0.4
	// firstDelay stands for the delay at an engine whose slots are all taken until enough was
	// seen.
	firstDelay = 300 * time.Millisecond
	// firstWait stands for the wait for a load until one was waited for.
	firstWait = 300 * time.Millisecond
	// waitShare is the part of one load's wait that the expected wait takes over.
	waitShare = 0.1
	// reloaded is the time below which a load came from the engine's own memory.
	reloaded = 100 * time.Millisecond
)

// pace is what this instance observes of a service's engines: what their being busy costs a
// request, and what a load costs that would spare it that. Both differ between deployments and
// from one moment to the next. The zero value is ready.
type pace struct {
	lock sync.Mutex // guards the fields below
	// delay is the time to the first piece at an engine whose slots are all taken; it is
	// taken to grow in proportion with the share of them.
	delay time.Duration
	// wait is how long a load is waited for.
	wait time.Duration
}

// first notes the time to a first piece at an engine of which a share of the slots was taken.
func (p *pace) first(d time.Duration, busy float64) {
	if busy < leastBusy {
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.delay == 0 {
		p.delay = firstDelay
	}
	if float64(d)/busy > float64(p.delay) {
		p.delay += time.Duration(paceStep * slowShare * float64(p.delay))
		return
	}
	p.delay -= time.Duration(paceStep * (1 - slowShare) * float64(p.delay))
}

// loaded notes how long a load was waited for.
func (p *pace) loaded(d time.Duration) {
	if d < reloaded {
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.wait == 0 {
		p.wait = firstWait
	}
	p.wait += time.Duration(waitShare * float64(d-p.wait))
}

// crowding returns the share of an engine's slots from which on a load costs less than its
// being busy.
func (p *pace) crowding() float64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	delay, wait := p.delay, p.wait
	if delay == 0 {
		delay = firstDelay
	}
	if wait == 0 {
		wait = firstWait
	}
	return float64(wait) / float64(delay)
}

// paces are those of all services. The zero value is ready.
type paces struct {
	lock sync.Mutex // guards all
	all  map[string]*pace
}

// of returns a service's pace.
func (p *paces) of(service string) *pace {
	p.lock.Lock()
	defer p.lock.Unlock()
	if found := p.all[service]; found != nil {
		return found
	}
	if p.all == nil {
		p.all = make(map[string]*pace)
	}
	made := &pace{}
	p.all[service] = made
	return made
}
