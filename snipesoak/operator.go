package snipesoak

import (
	"context"
	"fmt"
	random "math/rand/v2"
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// applyTime is the instances' ApplyTime setting: how soon a confirmed declaration is in force.
	applyTime = snipeentry.DefaultMaxStaleness
	// rollbackTime is how long after an instance has served by a version it may still answer by an older one,
	// disturbedRollbackTime the same around disturbances of the instance.
	rollbackTime, disturbedRollbackTime = 250 * time.Millisecond, 2 * time.Second
	// minDeclareGap and maxDeclareGap bound the time between two versions of the operators' catalog.
	minDeclareGap, maxDeclareGap = 150 * time.Millisecond, 600 * time.Millisecond
	// maxGrants bounds the grants that are declared at the same time. Callers draw from recentGrants, some of which
	// have been taken away.
	maxGrants, recentGrants = 6, 9
	// A caller uses a grant in all requests but one in ungrantedOneIn.
	ungrantedOneIn = 3
	// engineWork and slowLoad are the time that engines of some seeds work before the first event, and the time of a load.
	engineWork, slowLoad = 150 * time.Millisecond, 300 * time.Millisecond
)

// grant is what operators add to the catalog and take away again: a key of the callers' workspace, a workspace with a key, or a
// route.
type grant struct {
	key       string // the callers' own for a route
	workspace string // empty for a key of the callers' workspace, and for a route
	prefix    string // of a route; empty otherwise
	kind      requestKind
	version   int
	// confirmed is when the store had taken the version; removing and removed are when the store was told of the
	// version without the grant and had taken it. They are zero until then.
	confirmed, removing, removed time.Time
}

// use is an attempt of a caller that uses a grant.
type use struct {
	id       string
	grant    *grant
	instance string
	start    int // of the instance
	sent     time.Time
	// status is that of an answer, ended when it had been read; zero without one.
	status int
	ended  time.Time
	whole  bool
}

func (s *Soak) changesGrants() bool { return rangeOf(s.Seed).grants }

// setWork sets the time of the work and the loads of an engine.
func (s *Soak) setWork(r *runner) {
	if !s.changesGrants() || r.Model == "" {
		return
	}
	if s.Seed%2 == 1 {
		r.SetWork(engineWork)
	}
	if s.Seed%4 >= 2 {
		r.LoadDuration = slowLoad
	}
}

// changeGrants adds grants and takes them away until ctx ends.
func (s *Soak) changeGrants(ctx context.Context) {
	r := random.New(random.NewPCG(s.Seed, 78)) //nolint:gosec // the same changes for the same seed
	var live []*grant
	gap := func() time.Duration {
		return minDeclareGap + time.Duration(r.Int64N(int64(maxDeclareGap-minDeclareGap)))
	}
	for n := 0; snipetime.Sleep(ctx, gap()); n++ {
		if len(live) == maxGrants || len(live) > 1 && r.IntN(3) == 0 {
			k := r.IntN(len(live))
			s.takeAway(live[k])
			live = append(live[:k], live[k+1:]...)
			continue
		}
		g := newGrant(r, n)
		s.add(g)
		live = append(live, g)
	}
}

func newGrant(r *random.Rand, n int) *grant {
	g := &grant{kind: requestKinds[r.IntN(len(requestKinds))], key: key}
	switch r.IntN(3) {
	case 0:
		g.key = fmt.Sprint("key-", n)
	case 1:
		g.key, g.workspace = fmt.Sprint("key-", n), fmt.Sprint("workspace-", n)
	default:
		g.prefix = fmt.Sprint("/added-", n, "/")
		g.kind.prefix = g.prefix
	}
	return g
}

// add declares a grant.
func (s *Soak) add(g *grant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.grants = append(s.grants, g)
	if err := s.declare(); err != nil {
		panic(err) // the store is a part of this process
	}
	g.version, g.confirmed = s.version, time.Now()
}

// takeAway declares that a grant is no more.
func (s *Soak) takeAway(g *grant) {
	s.lock.Lock()
	defer s.lock.Unlock()
	g.removing = time.Now()
	if err := s.declare(); err != nil {
		panic(err) // as in add
	}
	g.removed = time.Now()
}

// declareGrants adds the grants that have not been taken away to a catalog. The lock is held.
func (s *Soak) declareGrants(d *snipestand.Declared) {
	for _, g := range s.grants {
		switch {
		case !g.removing.IsZero():
		case g.prefix != "":
			kind := snipestand.RouteIdempotent
			switch {
			case g.kind.stream:
				kind = snipestand.RouteStream
			case g.kind.once:
				kind = snipestand.RouteNonIdempotent
			}
			d.Routes = append(d.Routes, declaredRoute(g.prefix, kind, g.kind.service(), g.kind.resumable))
		case g.workspace != "":
			d.Workspaces = append(d.Workspaces, snipestand.DeclaredWorkspace{Name: g.workspace, Keys: []string{g.key}})
		default:
			d.Workspaces[0].Keys = append(d.Workspaces[0].Keys, g.key)
		}
	}
}

// drawGrant returns a grant that was confirmed lately, or nil for a request without one.
func (s *Soak) drawGrant(r *random.Rand) *grant {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.grants) == 0 || r.IntN(ungrantedOneIn) == 0 {
		return nil
	}
	return s.grants[len(s.grants)-1-r.IntN(min(len(s.grants), recentGrants))]
}

// beginUse records an attempt that uses a grant; nil without one.
func (s *Soak) beginUse(i *instance, g *grant, id string) *use {
	if g == nil {
		return nil
	}
	u := &use{id: id, grant: g, instance: i.name, start: i.currentStart(), sent: time.Now()}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.uses = append(s.uses, u)
	return u
}

// endUse records the answer to it.
func (s *Soak) endUse(u *use, status int, whole bool) {
	if u == nil {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	u.status, u.ended, u.whole = status, time.Now(), whole
}

// denied reports whether an answer states that the configuration does not allow the request.
func denied(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// allowedUntil reports whether the grant was declared all the time from the confirmation up to a moment.
func (g *grant) allowedUntil(at time.Time) bool { return g.removing.IsZero() || at.Before(g.removing) }

// GrantCounts counts the grants that were declared, the uses of those that were declared all the time and how many of them were
// denied, and how many of these later than applyTime at instances that were disturbed.
type GrantCounts struct {
	Declared, Used, Denied, Excused int
}

// auditGrants checks that what a confirmed version allows is not denied later than applyTime after the confirmation, nor
// rollbackTime after the instance has served by this version or a newer one; and that nothing runs for what was taken away
// longer than applyTime ago. The first and the last are not asked of instances that were disturbed, or while the store was.
func (s *Soak) auditGrants() {
	s.auditRemoved()
	served := s.servedVersions()
	s.Grants.Declared = len(s.grants)
	for _, u := range s.uses {
		if u.ended.IsZero() || !u.grant.allowedUntil(u.ended) {
			continue
		}
		s.Grants.Used++
		if !denied(u.status) {
			continue
		}
		s.Grants.Denied++
		disturbed := s.disturbedWithin(u.instance, u.sent, u.ended)
		if age := u.sent.Sub(u.grant.confirmed); age > applyTime {
			if disturbed || s.disturbedWithin(storeName, u.sent, u.ended) {
				s.Grants.Excused++
			} else {
				s.breach("declarations are in force in time", "%s: %d at %s, version %d, %v after its confirmation",
					u.id, u.status, u.instance, u.grant.version, age)
			}
		}
		slack := rollbackTime
		if disturbed {
			slack = disturbedRollbackTime
		}
		for _, v := range served[u.process()] {
			if d := u.sent.Sub(v.ended); v.grant.version >= u.grant.version && d > slack {
				s.breach("declarations do not go back", "%s: %d at %s, version %d, %v after %s was served by version %d",
					u.id, u.status, u.instance, u.grant.version, d, v.id, v.grant.version)
				break
			}
		}
	}
}

// process names the start of the instance that was asked.
func (u *use) process() string { return fmt.Sprint(u.instance, " ", u.start) }

// servedVersions returns the uses that were served, by instance and start.
func (s *Soak) servedVersions() map[string][]*use {
	served := make(map[string][]*use)
	for _, u := range s.uses {
		if u.status == http.StatusOK && u.whole {
			served[u.process()] = append(served[u.process()], u)
		}
	}
	return served
}

// auditRemoved checks the runs of what was taken away.
func (s *Soak) auditRemoved() {
	uses := make(map[string]*use)
	for _, u := range s.uses {
		uses[u.id] = u
	}
	for _, r := range s.runners {
		for _, run := range r.Runs() {
			u, known := uses[run.Request]
			if !known || u.grant.removed.IsZero() {
				continue
			}
			// Requests on a route that is dropped go on, those with a key that is taken away do not.
			from := u.sent
			if u.grant.prefix == "" {
				from = run.Begun
			}
			age := from.Sub(u.grant.removed)
			if age <= applyTime || s.disturbedWithin(u.instance, u.sent, run.Begun) ||
				s.disturbedWithin(storeName, u.sent, run.Begun) || s.disturbedWithin(r.ID, u.sent, run.Begun) {
				continue
			}
			s.breach("nothing runs for what was taken away", "%s ran at %s, %v after the end of %+v", u.id, r.ID, age, *u.grant)
		}
	}
}

// disturbedWithin is disturbed for a span of time.
func (s *Soak) disturbedWithin(name string, from, to time.Time) bool {
	for _, d := range s.disturbances[name] {
		if to.After(d.begin) && from.Before(d.end.Add(disturbanceGrace)) {
			return true
		}
	}
	return false
}
