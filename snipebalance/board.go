package snipebalance

import (
	"sync"
	"time"
)

// boardLifetime is how long the report of an instance counts. Instances report each change, and
// repeat their reports a few times within this time while they have requests in flight.
const boardLifetime = 1500 * time.Millisecond

// Board sums the loads that all instances report for a set of upstreams, so that each instance
// can be sent the total. One of many instances receives too few answers of an upstream to derive
// its load from them. The zero value is ready to use; it is safe for concurrent use.
type Board struct {
	lock    sync.Mutex                   // guards reports
	reports map[string]map[string]report // by upstream, then by instance
}

// report is the weight of one instance's requests in flight at an upstream.
type report struct {
	load float64
	work Work
	at   time.Time
}

// Total is the load of an upstream, summed over all instances, and the work that it consists of; the
// latter is the zero value if no instance has reported it.
type Total struct {
	Load float64
	Work Work
}

// Report records the weight of an instance's requests in flight at an upstream. It replaces the
// previous report of the instance.
func (b *Board) Report(upstream, instance string, load float64) {
	b.ReportWork(upstream, instance, load, Work{})
}

// ReportWork records the weight of an instance's requests in flight at an upstream and the work that
// it consists of. It replaces the previous report of the instance.
func (b *Board) ReportWork(upstream, instance string, load float64, w Work) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.reports == nil {
		b.reports = make(map[string]map[string]report)
	}
	if b.reports[upstream] == nil {
		b.reports[upstream] = make(map[string]report)
	}
	b.reports[upstream][instance] = report{load, w, time.Now()}
}

// Loads returns the total load of each upstream for which there are reports, and drops the reports
// that are older than boardLifetime.
func (b *Board) Loads() map[string]float64 {
	totals := b.Totals()
	loads := make(map[string]float64, len(totals))
	for upstream, t := range totals {
		loads[upstream] = t.Load
	}
	return loads
}

// Totals returns the sums of the reports for each upstream for which there are any, and drops the
// reports that are older than boardLifetime.
func (b *Board) Totals() map[string]Total {
	b.lock.Lock()
	defer b.lock.Unlock()
	totals := make(map[string]Total, len(b.reports))
	for upstream, all := range b.reports {
		var sum Total
		unknown := 0.0 // load of the reports without its parts
		for instance, r := range all {
			if time.Since(r.at) > boardLifetime {
				delete(all, instance)
				continue
			}
			sum.Load += r.load
			sum.Work = sum.Work.add(r.work)
			if r.work.Requests == 0 {
				unknown += r.load
			}
		}
		if sum.Work.Requests > 0 {
			sum.Work.Requests += unknown
		}
		if len(all) == 0 {
			delete(b.reports, upstream)
		}
		// An upstream whose last report has expired is returned once more, with no load.
		totals[upstream] = sum
	}
	return totals
}
