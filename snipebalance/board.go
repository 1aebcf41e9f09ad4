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
	at   time.Time
}

// Report records the weight of an instance's requests in flight at an upstream. It replaces the
// previous report of the instance.
func (b *Board) Report(upstream, instance string, load float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.reports == nil {
		b.reports = make(map[string]map[string]report)
	}
	if b.reports[upstream] == nil {
		b.reports[upstream] = make(map[string]report)
	}
	b.reports[upstream][instance] = report{load, time.Now()}
}

// Loads returns the total load of each upstream for which there are reports, and drops the reports
// that are older than boardLifetime.
func (b *Board) Loads() map[string]float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	loads := make(map[string]float64, len(b.reports))
	for upstream, all := range b.reports {
		sum := 0.0
		for instance, r := range all {
			if time.Since(r.at) > boardLifetime {
				delete(all, instance)
				continue
			}
			sum += r.load
		}
		if len(all) == 0 {
			delete(b.reports, upstream)
		}
		// An upstream whose last report has expired is returned once more, with no load.
		loads[upstream] = sum
	}
	return loads
}
