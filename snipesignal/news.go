package snipesignal

import "time"

const (
	// tellEvery is the time between two times that others are told of a limit that goes on, so
	// that those that were not reached, or have just started, learn of it.
	tellEvery = 5 * time.Second
	// tellers is how many of those that share a limit do so; the others only if these did not.
	tellers = 3
	// pastLife is for how long the end of a limit is told: again by whoever heard of it, and to
	// those that ask.
	pastLife = 12 * time.Second
)

// Statement is what an upstream was heard to say, as instances tell each other.
type Statement struct {
	Upstream string
	State
	// Age is how long ago it said so.
	Age time.Duration
}

// news is what others were told of an upstream.
type news struct {
	// heard tells that something was heard from the upstream itself since then, ended that the end
	// of a limit was.
	heard bool
	ended bool
	// told is what they were last told, by whomever, and toldAt when that was.
	told   State
	toldAt time.Time
}

// due reports whether others are to be told a state.
func (n *news) due(e *entry, now time.Time) bool {
	since := now.Sub(n.toldAt)
	switch {
	case n.heard && !e.same(n.told):
		return true
	case n.ended:
		return since >= tellEvery && now.Sub(e.saidAt) < pastLife
	case !n.heard || !e.Limited:
		return false
	case e.turn.part.Rank < tellers:
		return since >= tellEvery
	default:
		return since >= 2*tellEvery
	}
}

// News returns what this instance has heard of upstreams itself and others are to be told now. It
// counts as told by that.
func (b *Book) News() []Statement {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var all []Statement
	for id, e := range b.known {
		if !e.news.due(e, now) {
			continue
		}
		e.news.heard, e.news.told, e.news.toldAt = false, e.State, now
		all = append(all, Statement{id, e.State, now.Sub(e.saidAt)})
	}
	return all
}

// Statements returns the limits that stand, those that have lately ended, and who leaves.
func (b *Book) Statements() []Statement {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var all []Statement
	for id, e := range b.known {
		age := now.Sub(e.saidAt)
		if e.Limited || e.Leaving || !e.saidAt.IsZero() && age < pastLife {
			all = append(all, Statement{id, e.State, age})
		}
	}
	return all
}

// Learn takes what another instance tells. What is known here that is newer stands.
func (b *Book) Learn(all []Statement) {
	for _, s := range all {
		change, changed := b.learn(s)
		b.tell(change, changed)
	}
}

func (b *Book) learn(s Statement) (Change, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	saidAt := now.Add(-max(s.Age, 0))
	e := b.known[s.Upstream]
	if e == nil && !s.Limited && !s.Leaving {
		return Change{}, false
	}
	e = b.entry(s.Upstream)
	if saidAt.After(e.saidAt) {
		b.say(s.Upstream, e, s.Limit, s.Limited, saidAt, now)
		e.news.ended = false
	}
	e.Leaving = e.Leaving || s.Leaving
	// Whoever has heard it has told the others.
	e.news.told, e.news.toldAt = s.State, now
	return e.change(s.Upstream, Instance)
}
