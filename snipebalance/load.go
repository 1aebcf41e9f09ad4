package snipebalance

import (
	"time"
)

// StatedLoad is the load that an upstream states in an answer: the requests that it runs, those
// that wait in its queue, how many it can run at once, and its pace.
type StatedLoad struct {
	Running, Waiting, Slots int
	// Pace is how long work takes there at this moment, as a multiple of the usual time; zero if it
	// is not stated.
	Pace float64
}

// LoadReport is the reported load of an upstream, the work that it consists of as far as it is known,
// and the age of the report.
type LoadReport struct {
	ID   string
	Load float64
	Age  time.Duration
	Work Work
}

// SetLoad records the load of an upstream, as the upstream itself or a Board reports it now. It
// replaces the previous report. The load includes this instance's requests in flight.
func (b *Balancer) SetLoad(id string, load float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.setLoad(id, load, time.Now())
}

func (b *Balancer) setLoad(id string, load float64, at time.Time) {
	b.state(id).weight.report(load, at)
}

// SetStated records the load that an upstream states now. It replaces the load of the previous
// report (see SetLoad).
func (b *Balancer) SetStated(id string, l StatedLoad) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.setLoad(id, float64(l.Running+l.Waiting), now)
	s := b.state(id)
	s.stated, s.statedAt = l, now
	s.requests.report(float64(l.Running+l.Waiting), now)
	s.pace.recordStated(l.Pace, now)
}

// Stated returns the load that an upstream last stated to this instance and its age, or false if it
// has stated none.
func (b *Balancer) Stated(id string) (l StatedLoad, age time.Duration, ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.states[id]
	if s == nil || s.statedAt.IsZero() {
		return StatedLoad{}, 0, false
	}
	return s.stated, time.Since(s.statedAt), true
}

// LoadReports returns the last report of each upstream whose reported load is above zero, if the
// report is younger than reportLifetime, and of each whose stated pace is younger than paceLifetime.
func (b *Balancer) LoadReports() []LoadReport {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var all []LoadReport
	for id, s := range b.states {
		w := &s.weight
		age := now.Sub(w.reportedAt)
		if w.reported > 0 && age < reportLifetime || now.Sub(s.pace.statedAt) < paceLifetime && !w.reportedAt.IsZero() {
			all = append(all, LoadReport{ID: id, Load: w.reported, Age: age, Work: s.reportedWork()})
		}
	}
	return all
}

// MergeLoads records the load reports of another instance, which lists every upstream with a load
// above zero. A load that this instance has recorded more recently is kept. The load of an upstream
// that is not listed is set to zero if it was recorded more than minClearAge ago.
func (b *Balancer) MergeLoads(all []LoadReport) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	named := make(map[string]bool, len(all))
	for _, t := range all {
		named[t.ID] = true
		if at := now.Add(-t.Age); at.After(b.state(t.ID).weight.reportedAt) {
			b.setLoad(t.ID, t.Load, at)
			b.setWork(t.ID, t.Work.orLoad(t.Load), at)
		}
	}
	for id, s := range b.states {
		// The other instance reports no load for the upstream, but not since when. A load that was
		// recorded here more recently than minClearAge is therefore kept.
		if !named[id] && s.weight.reported > 0 && now.Sub(s.weight.reportedAt) > minClearAge {
			b.setLoad(id, 0, now)
			b.setWork(id, Work{}, now)
		}
	}
}
