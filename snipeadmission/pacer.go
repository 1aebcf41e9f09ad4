package snipeadmission

import "context"

// Pacer spaces the requests of an instance on its own, without a coordinator. Exported fields are
// set before the first call. It is safe for concurrent use.
type Pacer struct {
	// Upstreams returns the upstreams of the service. It is called with the lock held and must not
	// call the Pacer.
	Upstreams func() []Upstream
	// Instances returns the number of live instances, among which the capacity is shared at first.
	Instances func() int
	// Random returns a number in [0, 1); nil means math/rand/v2.Float64.
	Random func() float64
	// OnDecision, if set, is called for each decision, without the lock.
	OnDecision func(Decision)
}

// Acquire waits for the next send slot of an upstream and returns its ID. It returns a *RefusedError
// at once if the wait would exceed the deadline, and the error of ctx if that ends first. Each
// Acquire without an error needs a Release.
func (p *Pacer) Acquire(ctx context.Context, r Request) (upstream string, err error) {
	return "", &RefusedError{Reason: ReasonNoUpstream}
}

// Release records what became of a request that Acquire admitted.
func (p *Pacer) Release(upstream string, r Result) {}

// Stats returns the counters. A Pacer has no permits; PermitsOut counts requests without a Release.
func (p *Pacer) Stats() Stats { return Stats{} }
