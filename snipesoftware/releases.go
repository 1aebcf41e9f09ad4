package snipesoftware

import (
	"slices"
	"sync"
	"time"
)

// Releases tells at which versions streams of a service may begin, and at which one they began if
// there is only one. Exported fields are set before the first call. It is safe for concurrent use.
type Releases struct {
	// Clock is a monotonic clock that includes the time for which the machine is suspended.
	Clock func() time.Duration

	lock     sync.Mutex // guards the fields below
	services map[string]*serviceReleases
	// changed is closed when a row is applied; nil if nobody waits.
	changed chan struct{}
}

// serviceReleases is what is known of one service.
type serviceReleases struct {
	row Row
	// position is the version of the row in the store; 0 if there is none.
	position uint64
	// unreadable is set if the row in the store cannot be decoded, so that it is to be written anew.
	unreadable bool
	// usableFrom is from when on streams may begin at a version of the row.
	usableFrom map[Version]time.Time
	// Until soleUntil, by the Clock, all streams of the service have begun at sole.
	sole      Version
	soleUntil time.Duration
	// absentSince is since when no upstream of a version of the row was registered.
	absentSince map[Version]time.Time
}

// unknownVersion takes the place of versions that a row may have listed before it became unreadable: while it is announced,
// no other version is the sole one. No upstream registers it.
const unknownVersion Version = "\x00unknown"

// Apply records the row of a service as it was read, or written, at a position of the store. Older
// rows are ignored.
func (r *Releases) Apply(service string, row Row, position uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.apply(service, row, position, false)
}

// ApplyUnreadable records that the row of a service cannot be decoded at a position. What was known of the service stays
// announced, and what is not known may have been.
func (r *Releases) ApplyUnreadable(service string, position uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	row := slices.Clone(r.service(service).row)
	if !row.has(unknownVersion) {
		row = append(row, Release{Version: unknownVersion, Settled: true})
	}
	r.apply(service, row, position, true)
}

// apply records a row. The lock is held.
func (r *Releases) apply(service string, row Row, position uint64, unreadable bool) {
	s := r.service(service)
	if position <= s.position {
		return
	}
	now := time.Now()
	usable := make(map[Version]time.Time, len(row))
	for n, e := range row {
		usable[e.Version] = now.Add(useDelay)
		if n == 0 || e.Settled {
			usable[e.Version] = now
		}
		if old, ok := s.usableFrom[e.Version]; ok && old.Before(usable[e.Version]) {
			usable[e.Version] = old
		}
	}
	s.row, s.position, s.usableFrom, s.unreadable = row, position, usable, unreadable
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// service returns the state of a service and creates it if needed. The lock is held.
func (r *Releases) service(name string) *serviceReleases {
	s := r.services[name]
	if s == nil {
		s = &serviceReleases{absentSince: make(map[Version]time.Time)}
		if r.services == nil {
			r.services = make(map[string]*serviceReleases)
		}
		r.services[name] = s
	}
	return s
}

// Confirm records that the store held the rows that were applied, or older ones, at a time. A copy
// of the rows that was confirmed then contains all announcements that were made before.
func (r *Releases) Confirm(at time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, s := range r.services {
		if len(s.row) != 1 || s.row[0].Version == unknownVersion {
			continue
		}
		if until := r.Clock() + freshness - time.Since(at); until > s.soleUntil || s.sole != s.row[0].Version {
			s.sole, s.soleUntil = s.row[0].Version, until
		}
	}
}

// MayBegin reports whether a stream of a service may begin at a version.
func (r *Releases) MayBegin(service string, v Version) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.services[service]
	if s == nil {
		return false
	}
	from, announced := s.usableFrom[v]
	return announced && !time.Now().Before(from)
}

// Sole returns the version at which all streams of a service have begun so far. It returns false if
// there may be several, or if the rows were not confirmed lately.
func (r *Releases) Sole(service string) (Version, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.services[service]
	if s == nil || r.Clock() >= s.soleUntil {
		return "", false
	}
	return s.sole, true
}

// TellsOrigins reports whether the origins of the streams of a service are told to other instances:
// it has several versions, or the rows were not confirmed for a while.
func (r *Releases) TellsOrigins(service string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.services[service]
	return s == nil || len(s.row) != 1 || s.soleUntil-r.Clock() < freshness-tellAge
}

// Several reports whether several versions of a service are announced.
func (r *Releases) Several(service string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.services[service]
	return s != nil && len(s.row) > 1
}

// anySeveral reports whether several versions of any service are announced.
func (r *Releases) anySeveral() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, s := range r.services {
		if len(s.row) > 1 {
			return true
		}
	}
	return false
}

// Announced returns the versions of a service that are announced, in the order of their
// announcement.
func (r *Releases) Announced(service string) []Version {
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.services[service]
	if s == nil {
		return nil
	}
	all := make([]Version, 0, len(s.row))
	for _, e := range s.row {
		all = append(all, e.Version)
	}
	return all
}

// Await waits until a version of the service is announced or done is closed.
func (r *Releases) Await(done <-chan struct{}, service string) {
	for {
		r.lock.Lock()
		if s := r.services[service]; s != nil && len(s.row) > 0 {
			r.lock.Unlock()
			return
		}
		if r.changed == nil {
			r.changed = make(chan struct{})
		}
		changed := r.changed
		r.lock.Unlock()
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

// RowChange is a change of the row of a service that is due.
type RowChange struct {
	Service string
	// Position is the version that the row has now; 0 if there is none.
	Position uint64
	Row      Row
	// Added holds the versions that the change announces, Dropped those that it takes back.
	Added, Dropped []Version
}

// Due returns the changes of rows that are due, given the versions of each service's registered
// upstreams, those with most upstreams first. Complete is set if the registry was read lately, so that
// a version that is missing there has no upstream.
func (r *Releases) Due(registered map[string][]Version, complete bool) []RowChange {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	var due []RowChange
	for service, versions := range registered {
		if c, ok := r.service(service).due(now, versions, complete); ok {
			c.Service = service
			due = append(due, c)
		}
	}
	return due
}

// due returns the change of the row that is due, or false if none is.
func (s *serviceReleases) due(now time.Time, registered []Version, complete bool) (RowChange, bool) {
	c := RowChange{Position: s.position}
	settles := false
	for _, e := range s.row {
		if s.expired(now, e.Version, slices.Contains(registered, e.Version), complete) {
			c.Dropped = append(c.Dropped, e.Version)
			continue
		}
		if !e.Settled && !now.Before(s.usableFrom[e.Version]) {
			e.Settled, settles = true, true
		}
		c.Row = append(c.Row, e)
	}
	for _, v := range registered {
		if !s.row.has(v) && len(c.Row) < maxReleases {
			c.Row = append(c.Row, Release{Version: v, Settled: len(c.Row) == 0})
			c.Added = append(c.Added, v)
		}
	}
	return c, len(c.Row) > 0 && (s.unreadable || settles || len(c.Added) > 0 || len(c.Dropped) > 0)
}

// expired reports whether a version is to be dropped: no upstream of it was registered for
// releaseRetention, in which the registry was always known.
func (s *serviceReleases) expired(now time.Time, v Version, registered, complete bool) bool {
	if registered || !complete {
		delete(s.absentSince, v)
		return false
	}
	since, ok := s.absentSince[v]
	if !ok {
		s.absentSince[v] = now
		return false
	}
	return now.Sub(since) >= releaseRetention
}
