package snipestand

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// entryLifetime is how long the registry entry of a crashed runner stays, as the platform removes
// entries that are no longer renewed.
const entryLifetime = 3 * time.Second

// crashes emulates requests that crash the runner.
type crashes struct {
	// records holds a record for each text that crashes the runner if the body of a request that it
	// begins to run contains it.
	records map[string]*CrashRecord
	// parts holds a record for each part of a prompt that crashes the runner when it begins to write an answer
	// on it. The last part of a prompt crashes none.
	parts map[string]*CrashRecord
	// stop ends the process of the runner.
	stop func()
	// starts counts the starts after the first one. down is set between a crash and the next start.
	starts int
	down   bool
	// endedEntries holds when each start ended whose registry entry has not been removed yet.
	endedEntries map[string]time.Time
}

// CrashRecord holds what a runner has observed of the requests that contain one text.
type CrashRecord struct {
	// Arrivals are the requests, in the order of their arrival.
	Arrivals []CrashArrival
	// Crashes are the times at which one of them crashed the runner.
	Crashes []time.Time
}

// CrashArrival is the arrival of a request, with its identifier.
type CrashArrival struct {
	ID string
	At time.Time
}

// CrashOn makes requests with a text in their bodies crash the runner. A crash calls stop, which ends
// the runner's process; StartAgain must follow.
func (r *Runner) CrashOn(text string, stop func()) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.crashes.records == nil {
		r.crashes.records = make(map[string]*CrashRecord)
	}
	r.crashes.records[text], r.crashes.stop = &CrashRecord{}, stop
}

// CrashesOn returns a copy of the record of a text.
func (r *Runner) CrashesOn(text string) CrashRecord { return r.copyRecord(r.crashes.records, text) }

func (r *Runner) copyRecord(records map[string]*CrashRecord, key string) CrashRecord {
	r.lock.Lock()
	defer r.lock.Unlock()
	record := records[key]
	if record == nil {
		return CrashRecord{}
	}
	return CrashRecord{slices.Clone(record.Arrivals), slices.Clone(record.Crashes)}
}

// CrashOnPart makes requests with a part of a prompt crash the runner when it begins to write an answer. A crash
// calls stop, as with CrashOn.
func (r *Runner) CrashOnPart(part string, stop func()) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.crashes.parts == nil {
		r.crashes.parts = make(map[string]*CrashRecord)
	}
	r.crashes.parts[part], r.crashes.stop = &CrashRecord{}, stop
}

// CrashesOnPart returns a copy of the record of a part.
func (r *Runner) CrashesOnPart(part string) CrashRecord { return r.copyRecord(r.crashes.parts, part) }

// partRecord returns the record of the part of a request's prompt that crashes the runner, or nil. The lock is
// held.
func (r *Runner) partRecord(q *http.Request) *CrashRecord {
	if len(r.crashes.parts) == 0 {
		return nil
	}
	parts := strings.Split(q.Header.Get("X-Snipepitch-Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		if record := r.crashes.parts[id]; record != nil {
			return record
		}
	}
	return nil
}

// crashOnWriting is crashIfFatal for a request that the runner begins to answer.
func (r *Runner) crashOnWriting(q *http.Request) bool {
	r.lock.Lock()
	record := r.partRecord(q)
	return r.crash(record)
}

// id returns the identifier of the runner's current start. The lock is held.
func (r *Runner) id() string {
	if r.crashes.starts == 0 {
		return r.ID
	}
	return fmt.Sprint(r.ID, "-", r.crashes.starts)
}

// CurrentID returns the identifier of the runner's current start.
func (r *Runner) CurrentID() string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.id()
}

// crashRecord returns the record of the text that a body contains, or nil. The lock is held.
func (r *Runner) crashRecord(body []byte) *CrashRecord {
	for text, record := range r.crashes.records {
		if bytes.Contains(body, []byte(text)) {
			return record
		}
	}
	return nil
}

// recordCrashArrival records the arrival of a request that crashes the runner if it is run.
func (r *Runner) recordCrashArrival(q *http.Request, body []byte) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, record := range []*CrashRecord{r.crashRecord(body), r.partRecord(q)} {
		if record != nil {
			record.Arrivals = append(record.Arrivals, CrashArrival{q.Header.Get("X-Snipepitch-Attempt-Id"), time.Now()})
		}
	}
}

// crashIfFatal ends the runner's process, together with all requests that it runs, if the body of a
// request that begins to run crashes it. It reports whether the request must not be answered.
func (r *Runner) crashIfFatal(body []byte) bool {
	r.lock.Lock()
	record := r.crashRecord(body)
	return r.crash(record)
}

// crash ends the runner's process because of a request with the record, if that is not nil, and reports whether the
// request must not be answered. The lock is held, and released.
func (r *Runner) crash(record *CrashRecord) bool {
	if record == nil || r.crashes.down {
		r.lock.Unlock()
		return record != nil
	}
	now := time.Now()
	record.Crashes = append(record.Crashes, now)
	stop := r.beginCrash(now)
	r.lock.Unlock()
	stop()
	return true
}

// beginCrash records that the runner is down, and returns the function that ends its process. The lock is
// held.
func (r *Runner) beginCrash(now time.Time) (stop func()) {
	r.crashes.down = true
	if r.crashes.endedEntries == nil {
		r.crashes.endedEntries = make(map[string]time.Time)
	}
	r.crashes.endedEntries[r.id()] = now
	return r.crashes.stop
}

// beginUnexplainedCrash records that the runner is down, and reports whether it was not before.
func (r *Runner) beginUnexplainedCrash() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.crashes.down {
		return false
	}
	r.beginCrash(time.Now())
	return true
}

// OnCrash sets the function that ends the runner's process in a crash; StartAgain must follow.
func (r *Runner) OnCrash(stop func()) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.crashes.stop = stop
}

// StartAgain emulates the start after a crash: the runner has a new identifier and no adapters, and
// announces neither a limit nor that it is leaving.
func (r *Runner) StartAgain() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.startedAt = max(time.Now().UnixMilli(), r.startedAt+1)
	r.crashes.starts++
	r.crashes.down, r.orders, r.limited, r.announcesLeaving = false, 0, false, false
	clear(r.held)
	clear(r.loading)
}

// removeEndedEntries removes the registry entries of starts that ended more than entryLifetime ago,
// and reports whether the runner is down.
func (r *Runner) removeEndedEntries(s *RowStore) (down bool, err error) {
	r.lock.Lock()
	down = r.crashes.down
	var ended []string
	for id, at := range r.crashes.endedEntries {
		if time.Since(at) >= entryLifetime {
			ended = append(ended, id)
			delete(r.crashes.endedEntries, id)
		}
	}
	r.lock.Unlock()
	for _, id := range ended {
		if err := s.Put("servers", id, nil); err != nil {
			return down, err
		}
	}
	return down, nil
}
