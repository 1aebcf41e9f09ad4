package snipestand

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Arrival is a request that has reached a runner, with the signals in its answer.
type Arrival struct {
	ID string
	At time.Time
	// Start identifies the start of the runner that the request reached.
	Start int64
	// Limit is the number of requests per second that the runner accepts; valid if Limited.
	Limit   float64
	Limited bool
	// Leaving reports that the answer announces that the runner is leaving.
	Leaving bool
	// Backoff is the backoff that the answer, a refusal, asks for; zero if the runner does not refuse.
	Backoff time.Duration
}

// Arrivals returns the requests that have reached the runner, in the order of their arrival.
func (r *Runner) Arrivals() []Arrival {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.arrivals)
}

// AnnounceLimit makes the runner's answers announce the number of requests per second that the runner
// accepts from all instances together.
func (r *Runner) AnnounceLimit(perSecond float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.limit, r.limited = perSecond, true
}

// AnnounceNoLimit makes the runner's answers announce no limit any more.
func (r *Runner) AnnounceNoLimit() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.limited = false
}

// AnnounceLeaving makes the runner's answers announce that the runner is leaving. Its registry entry
// does not change.
func (r *Runner) AnnounceLeaving() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.announcesLeaving = true
}

// SetBackoff makes the runner refuse all requests and ask for a backoff; zero ends the refusals.
func (r *Runner) SetBackoff(backoff time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.backoff = backoff
}

// signal records a request and adds the runner's signals to the header of the answer. It reports
// whether the runner refuses the request.
func (r *Runner) signal(h http.Header, q *http.Request) (refused bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.arrivals = append(r.arrivals, Arrival{
		ID: q.Header.Get("X-Snipepitch-Attempt-Id"), At: time.Now(), Start: r.startedAt, Limit: r.limit, Limited: r.limited, Leaving: r.announcesLeaving, Backoff: r.backoff,
	})
	if r.announcesLeaving {
		h.Set("Server-Leaving", "1")
	}
	if r.limited {
		h.Set("Server-Limit", strconv.FormatFloat(r.limit, 'f', -1, 64))
	}
	if r.backoff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.backoff.Seconds(), 'f', -1, 64))
		h.Set("X-Snipepitch-Not-Executed", "1")
	}
	return r.backoff > 0
}
