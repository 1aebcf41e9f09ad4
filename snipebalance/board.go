package snipebalance

import (
	"sync"
	"time"
)

// reportLife is for how long a report of load counts. Instances report each change, and
// repeat theirs a few times in it while they have requests in flight.
const reportLife = 1500 * time.Millisecond

// Board adds up what instances report of their requests in flight at some upstreams, so
// that each learns of all: one of many instances sees too few answers of an upstream to
// know its load. The zero value is ready; it is safe for concurrent use.
type Board struct {
	lock    sync.Mutex // guards reports
	reports map[string]map[string]report
}

// report is one instance's part of an upstream's load.
type report struct {
	load float64
	at   time.Time
}

// Report notes the weight of an instance's requests in flight at an upstream.
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

// Loads returns the load of each upstream of which there are reports.
func (b *Board) Loads() map[string]float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	loads := make(map[string]float64, len(b.reports))
	for upstream, all := range b.reports {
		sum := 0.0
		for instance, r := range all {
			if time.Since(r.at) > reportLife {
				delete(all, instance)
				continue
			}
			sum += r.load
		}
		if len(all) == 0 {
			delete(b.reports, upstream)
		}
		// An upstream whose last report has lapsed is told once more, as idle.
		loads[upstream] = sum
	}
	return loads
}
