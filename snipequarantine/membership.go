package snipequarantine

import (
	"context"
	"time"
)

// Step takes the members as they are now: it moves attempts in flight to new
// coordinators and looks after those whose entry instance is gone.
func (g *Guard) Step(ctx context.Context) {
	members := g.Members()
	for _, a := range g.Registry.SetMembers(members) {
		go g.verifyOrphan(a)
	}
	for _, a := range g.moved(members) {
		g.move(ctx, a, Coordinators(a.Fingerprint, members)[0].ID)
	}
}

// move registers an attempt in flight with its new coordinator, and then has
// the former one forget it.
func (g *Guard) move(ctx context.Context, a asked, lead string) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if lead == g.Registry.Self {
		g.Registry.Begin(a.Attempt)
	} else if _, err := g.Begin(bounded, lead, a.Attempt); err != nil {
		// The next step tries again.
		return
	}
	former := a.coordinator
	g.lock.Lock()
	_, ok := g.inFlight[a.ID]
	if ok {
		a.coordinator = lead
		g.inFlight[a.ID] = a
	}
	g.lock.Unlock()
	if !ok {
		// It has ended meanwhile, and only the former coordinator knows.
		g.tellOne(lead, a.Attempt, Refused)
		return
	}
	g.tellOne(former, a.Attempt, Refused)
}

// moved returns the attempts in flight whose first coordinator is another one
// than the one that has let them start.
func (g *Guard) moved(members []Member) []asked {
	g.lock.Lock()
	defer g.lock.Unlock()
	var all []asked
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

// Loop takes the members again and again until ctx ends.
func (g *Guard) Loop(ctx context.Context) error {
	t := time.NewTicker(step)
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
