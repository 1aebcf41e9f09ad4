package snipeentry

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeowner"
)

// maxDecisionLines bounds the lines a second that a coordinator logs about the decisions for one
// service.
const maxDecisionLines = 10

// lender coordinates services: it grants the permits that instances, this one included, ask it for.
// It grants them even if another instance should coordinate by this instance's own view, since
// views may differ for a while. Exported fields are set before the first call. It is safe for
// concurrent use.
type lender struct {
	// Plain and Upstreams are as in admission. Stopping reports whether a planned stop has begun.
	Plain     func(service string) bool
	Upstreams func(service string) []*snipedirectory.Upstream
	Stopping  func() bool
	Log       *snipelog.Logger
	Meter     *snipemeter.Meter

	lock sync.Mutex // guards the fields below
	// coordinators holds the services for which permits were asked for here.
	coordinators map[string]*snipeadmission.Coordinator
	// live holds the instances that were live at the last call of forget, and directory the
	// upstreams at the last call of refresh.
	live      map[netip.AddrPort]snipeowner.Instance
	directory *snipedirectory.Snapshot
}

// coordinator returns the coordinator of a plain service, and creates it on the first call. It
// returns nil if no plain service has this name, or none of its upstreams is known.
func (l *lender) coordinator(service string) *snipeadmission.Coordinator {
	if !l.Plain(service) || !slices.ContainsFunc(l.Upstreams(service), staying) {
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
	}
	l.coordinators[service] = c
	return c
}

func staying(u *snipedirectory.Upstream) bool { return !u.Leaving }

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

// acquire waits for a permit, for permitWait at most, and then returns errStillWaiting. If ctx ends,
// it returns its error. It takes back a permit that was granted when the caller had given up. An
// instance that is stopping, or does not know the service, returns errNotCoordinating.
func (l *lender) acquire(ctx context.Context, service string, r snipeadmission.Request) (snipeadmission.Permit, error) {
	if l.Stopping() {
		return snipeadmission.Permit{}, errNotCoordinating
	}
	asked := time.Now()
	c := l.coordinator(service)
	if c == nil {
		return snipeadmission.Permit{}, errors.Wrap(errNotCoordinating, "no upstream of "+service+" is known")
	}
	bounded, cancel := context.WithTimeout(ctx, permitWait)
	defer cancel()
	p, err := c.Acquire(bounded, r)
	// After permitTimeout, which passes here only if the process stood still, the caller has given up.
	givenUp := ctx.Err() != nil || time.Since(asked) >= permitTimeout
	if err == nil && givenUp {
		c.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
		err = errStillWaiting
	}
	switch {
	case ctx.Err() != nil:
		return snipeadmission.Permit{}, ctx.Err()
	case err != nil && bounded.Err() != nil && !errors.Is(err, snipeadmission.ErrRefused):
		return snipeadmission.Permit{}, errStillWaiting
	}
	return p, err
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
	maps.DeleteFunc(l.coordinators, func(service string, _ *snipeadmission.Coordinator) bool { return !l.Plain(service) })
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

// decisionLog logs and counts the decisions about one service. It is safe for concurrent use.
type decisionLog struct {
	Service string
	Log     *snipelog.Logger
	Meter   *snipemeter.Meter

	lock sync.Mutex // guards the fields below
	// second is the second that lines are counted in, lines their number, and suppressed the number
	// of lines left out since the last one.
	second            int64
	lines, suppressed int
}

// admit reports whether a line may be logged now, and how many were left out before it.
func (d *decisionLog) admit(now time.Time) (suppressed int, ok bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if s := now.Unix(); s != d.second {
		d.second, d.lines = s, 0
	}
	if d.lines >= maxDecisionLines {
		d.suppressed++
		return 0, false
	}
	d.lines++
	suppressed = d.suppressed
	d.suppressed = 0
	return suppressed, true
}

// record logs and counts a decision. Grants are neither logged nor counted here.
func (d *decisionLog) record(n snipeadmission.Decision) {
	if n.Event == snipeadmission.EventGranted {
		return
	}
	d.count(n)
	suppressed, ok := d.admit(time.Now())
	if !ok {
		return
	}
	fields := snipelog.Fields{
		serviceField: d.Service, "Waiting": n.Waiting, "LoadAgeMilliseconds": loadAge(n.LoadAge), "Suppressed": suppressed,
	}
	switch n.Event {
	case snipeadmission.EventRefused:
		fields["ExpectedMilliseconds"] = n.ExpectedWait.Milliseconds()
		fields["Holder"], fields["Priority"], fields["Workspace"] = n.Request.Instance, n.Request.Priority, n.Request.Workspace
		if n.Refusal != nil {
			fields["Reason"], fields["RetryMilliseconds"] = n.Refusal.Reason.String(), n.Refusal.RetryAfter.Milliseconds()
		}
		d.Log.Log(snipelog.PermitRefused, fields)
	case snipeadmission.EventExpired:
		fields["Holder"], fields["Upstream"] = n.Request.Instance, n.Permit.Upstream
		d.Log.Log(snipelog.PermitExpired, fields)
	case snipeadmission.EventPaused:
		fields["Upstream"], fields["PauseMilliseconds"] = n.Permit.Upstream, n.Pause.Milliseconds()
		d.Log.Log(snipelog.UpstreamPaused, fields)
	}
}

// count counts a decision in the metrics.
func (d *decisionLog) count(n snipeadmission.Decision) {
	switch n.Event {
	case snipeadmission.EventRefused:
		d.Meter.Count("snipepitch_admission_refused_total{service=" + strconv.Quote(d.Service) + "}")
	case snipeadmission.EventExpired:
		d.Meter.Count("snipepitch_admission_expired_total{service=" + strconv.Quote(d.Service) + "}")
	}
}

// loadAge returns an age in milliseconds, or -1 if there is none.
func loadAge(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}
