package snipequarantine

import (
	"context"
	"time"
)

// Step applies the current member list. It moves attempts in flight to their new
// coordinators, and verifies the upstreams of attempts whose entry instance is gone.
func (g *Guard) Step(ctx context.Context) {
	members := g.Members()
	for _, a := range g.Registry.SetMembers(members) {
		go g.verifyOrphan(a)
	}
	for _, a := range g.misplaced(members) {
		g.move(ctx, a, Coordinators(a.Fingerprint, members)[0].ID)
	}
}

// move registers an attempt in flight with its new coordinator, and then removes it
// from the previous one.
func (g *Guard) move(ctx context.Context, a inFlightAttempt, lead string) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if lead == g.Registry.Self {
		g.Registry.Begin(a.Attempt)
	} else if _, err := g.Begin(bounded, lead, a.Attempt); err != nil {
		// The next step retries.
		return
	}
	previous := a.coordinator
	g.lock.Lock()
	_, ok := g.inFlight[a.ID]
	if ok {
		a.coordinator = lead
		g.inFlight[a.ID] = a
	}
	g.lock.Unlock()
	if !ok {
		// The attempt has ended meanwhile, and only the previous coordinator was
		// notified.
		g.reportTo(lead, a.Attempt, Refused)
		return
	}
	g.reportTo(previous, a.Attempt, Refused)
}

// misplaced returns the attempts in flight whose first coordinator is not the one that
// they are registered with, marked as Moved and with the time that is left to them.
func (g *Guard) misplaced(members []Member) []inFlightAttempt {
	g.lock.Lock()
	defer g.lock.Unlock()
	var all []inFlightAttempt
	for _, a := range g.inFlight {
		c := Coordinators(a.Fingerprint, members)
		if len(c) == 0 || c[0].ID == a.coordinator {
			continue
		}
		a.Moved = true
		a.Left = time.Until(a.deadline)
		all = append(all, a)
	}
	return all
}

// Loop calls Step at once and then every stepInterval until ctx ends.
func (g *Guard) Loop(ctx context.Context) error {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		g.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}
