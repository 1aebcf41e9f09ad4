package snipeentry

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesignal"
)

// lender coordinates services: it grants the permits that instances, this one included, ask it for.
// It grants them even if another instance should coordinate by this instance's own view, since
// views may differ for a while; strict permits only as the owner (see strictlender.go). Exported fields are set before the first call. It is safe for
// concurrent use.
type lender struct {
	// Plain and Upstreams are as in admission. Stopping reports whether a planned stop has begun.
	Plain     func(service string) bool
	Upstreams func(service string) []*snipedirectory.Upstream
	Stopping  func() bool
	// Brittle is as in admission.
	Brittle *snipesignal.BrittleTracker
	// Right returns this instance's right to lend strictly what an address stands for (see strictKey). Members
	// returns the instances that may hold permits.
	Right   func(address netip.AddrPort) (snipeowner.Right, bool)
	Members func() []snipeadmission.Member
	// CheckOwner finds out whether the owner of an address has ended, so that this instance may take over. Linger returns
	// how long requests for which something is lent may take, as far as this instance knows.
	CheckOwner func(address netip.AddrPort)
	Linger     func(name string) time.Duration
	Log        *snipelog.Logger
	Meter      *snipemeter.Meter

	lock sync.Mutex // guards the fields below
	// coordinators holds the services for which permits were asked for here.
	coordinators map[string]*snipeadmission.Coordinator
	// live holds the instances that were live at the last call of forget, and directory the
	// upstreams at the last call of refresh.
	live      map[netip.AddrPort]snipeowner.Instance
	directory *snipedirectory.Snapshot
}

// lends reports whether permits are lent under a name: of a plain service, or of an engine that is registered.
func (l *lender) lends(name string) bool {
	return l.Plain(name) || strings.HasPrefix(name, enginePrefix) && len(l.Upstreams(name)) > 0
}

// isBrittle reports whether the service of a name is brittle, and how many refusals its upstreams bear.
func (l *lender) isBrittle(name string) (maxRefusals int, ok bool) {
	if l.Brittle == nil {
		return 0, false
	}
	service := name
	if strings.HasPrefix(name, enginePrefix) {
		for _, u := range l.Upstreams(name) {
			service = u.Service
		}
	}
	b, ok := l.Brittle.Get(service)
	return b.MaxRefusals, ok
}

// brittleEnd returns the message that a service is no longer brittle; nil if it is, or never was as far as is known.
func (l *lender) brittleEnd(service string) *snipeproto.BrittleEnd {
	if l.Brittle == nil {
		return nil
	}
	if u, ok := l.Brittle.Update(service); ok && u.Ended {
		_, ended := encodeBrittle([]snipesignal.BrittleUpdate{u})
		return ended[0]
	}
	return nil
}

// coordinator returns the coordinator of a plain service or an engine, and creates it on the first call. It
// returns nil if none has this name, or no upstream is known.
func (l *lender) coordinator(service string) *snipeadmission.Coordinator {
	if !l.lends(service) || len(lendable(l.Upstreams(service))) == 0 {
		return nil
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if c := l.coordinators[service]; c != nil {
		return c
	}
	if l.coordinators == nil {
		l.coordinators = make(map[string]*snipeadmission.Coordinator)
	}
	lines := &decisionLog{Service: service, Log: l.Log, Meter: l.Meter}
	c := &snipeadmission.Coordinator{
		Upstreams:  func() []snipeadmission.Upstream { return lendable(l.Upstreams(service)) },
		OnDecision: lines.record,
		Brittle:    func() (int, bool) { return l.isBrittle(service) },
		Term:       func() (snipeadmission.Term, bool) { return l.term(service) },
		Members:    l.Members,
		Linger:     func() time.Duration { return l.Linger(service) },
	}
	l.coordinators[service] = c
	return c
}

// known returns the coordinator of a service if permits were asked for here, or else nil.
func (l *lender) known(service string) *snipeadmission.Coordinator {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.coordinators[service]
}

// all returns the coordinators of all services.
func (l *lender) all() []*snipeadmission.Coordinator {
	l.lock.Lock()
	defer l.lock.Unlock()
	return slices.Collect(maps.Values(l.coordinators))
}

// acquire waits for a permit, for permitWait at most, and then returns ErrStillWaiting. If ctx ends,
// it returns its error. It takes back a permit that was granted when the caller had given up. An
// instance that is stopping, does not know the service, or has no right to lend strictly where it must returns
// errNotCoordinating.
func (l *lender) acquire(ctx context.Context, service string, r snipeadmission.Request) (snipeadmission.Permit, error) {
	asked := time.Now()
	c, err := l.lending(service)
	if err != nil {
		return snipeadmission.Permit{}, err
	}
	wait := permitWait
	if r.MaxWait > 0 {
		wait = min(r.MaxWait, strictCallTimeout/2)
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	p, err := c.Acquire(bounded, r)
	// After permitTimeout, which passes here only if the process was stopped, the caller has given up.
	givenUp := ctx.Err() != nil || time.Since(asked) >= permitTimeout && p.Fence == 0
	if err == nil && givenUp {
		c.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
		err = snipeadmission.ErrStillWaiting
	}
	switch {
	case ctx.Err() != nil:
		return snipeadmission.Permit{}, ctx.Err()
	case err != nil && bounded.Err() != nil && !errors.Is(err, snipeadmission.ErrRefused):
		return snipeadmission.Permit{}, snipeadmission.ErrStillWaiting
	}
	return p, err
}

// lending returns the coordinator of a service if this instance may lend its slots now.
func (l *lender) lending(service string) (*snipeadmission.Coordinator, error) {
	if _, strict := l.isBrittle(service); l.Stopping() && !strict {
		return nil, errNotCoordinating
	}
	c := l.coordinator(service)
	switch {
	case c == nil:
		return nil, errors.Wrap(errNotCoordinating, "no upstream of "+service+" is known")
	case !c.MayLend():
		l.CheckOwner(l.strictKey(service))
		return nil, errors.Wrap(errNotCoordinating, "no right to lend "+service)
	}
	return c, nil
}

// release ends a permit of a service.
func (l *lender) release(service string, id uint64, r snipeadmission.Result) {
	if c := l.known(service); c != nil {
		c.Release(id, r)
	}
}

// renew prolongs permits of an instance.
func (l *lender) renew(instance, service string, ids []uint64) {
	if c := l.known(service); c != nil {
		c.Renew(instance, ids)
	}
}

// refresh makes a change of the directory of upstreams take effect for the requests that wait.
func (l *lender) refresh(directory *snipedirectory.Snapshot) {
	l.lock.Lock()
	changed := l.directory != directory
	l.directory = directory
	l.lock.Unlock()
	if !changed {
		return
	}
	for _, c := range l.all() {
		c.Refresh()
	}
}

// forget drops the services that are no longer declared, and ends the permits of instances that are
// no longer live.
func (l *lender) forget(live map[netip.AddrPort]snipeowner.Instance) {
	l.lock.Lock()
	maps.DeleteFunc(l.coordinators, func(service string, _ *snipeadmission.Coordinator) bool { return !l.lends(service) })
	before := l.live
	l.live = live
	l.lock.Unlock()
	for peer := range before {
		if _, ok := live[peer]; ok {
			continue
		}
		for _, c := range l.all() {
			c.DropInstance(peer.String())
		}
	}
}

// stats returns the numbers of permits out and of requests that wait, over all services.
func (l *lender) stats() (out, waiting int) {
	for _, c := range l.all() {
		s := c.Stats()
		out += s.PermitsOut
		waiting += s.Waiting
	}
	return out, waiting
}
