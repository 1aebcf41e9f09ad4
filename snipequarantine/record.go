package snipequarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/sniperoute"
)

// quarantineCrashes is how many crashes quarantine a fingerprint.
const quarantineCrashes = 2

// maxCrashes bounds the crashes that a record keeps; the oldest gives way. An
// encoded record stays below the 512 bytes of an announcement.
const maxCrashes = 4

// ErrBadRecord is returned for data that is no record.
var ErrBadRecord = errors.New("not a record of crashes")

// Crash is one crash of an upstream, as a suspect of it knows it.
type Crash struct {
	// ID identifies the crash among those of one fingerprint.
	ID uint64
	// Upstream is a hash of the upstream's name.
	Upstream uint64
	// AgeMilliseconds is the time since the crash, when it was encoded.
	AgeMilliseconds int64
	// Cleared tells that another call must have caused the crash.
	Cleared bool `json:",omitempty"`
}

// Record is what is known of a fingerprint's crashes. Records of several
// instances merge as sets, so that neither the order nor a repetition of the
// news matters.
type Record struct {
	Crashes []Crash
	// ReleaseMilliseconds is the time left until the record is forgotten, when
	// it was encoded.
	ReleaseMilliseconds int64
}

// record is a Record as an instance keeps it.
type record struct {
	crashes []crash
	last    time.Time // when the last news of a crash came
	until   time.Time
}

type crash struct {
	id, upstream uint64
	when         time.Time
	cleared      bool
}

// crashID identifies the crash that ended an attempt at an upstream, the same
// whoever reports it.
func crashID(attempt, upstream string) uint64 { return sniperoute.Hash(attempt, upstream) }

// open returns the number of crashes that are not cleared.
func (r *record) open() int {
	n := 0
	for _, c := range r.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// find returns a crash by its identifier, or nil.
func (r *record) find(id uint64) *crash {
	for i := range r.crashes {
		if r.crashes[i].id == id {
			return &r.crashes[i]
		}
	}
	return nil
}

// at reports whether an upstream has crashed since then.
func (r *record) at(upstream uint64, then time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.upstream == upstream && c.when.After(then) })
}

// add adds a crash, and reports whether it is news.
func (r *record) add(c crash, now time.Time) bool {
	if known := r.find(c.id); known != nil {
		news := c.cleared && !known.cleared
		known.cleared = known.cleared || c.cleared
		return news
	}
	if len(r.crashes) >= maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
	if !c.cleared {
		r.last = now
	}
	return true
}

// extend keeps the record at least until then.
func (r *record) extend(until time.Time) {
	if until.After(r.until) {
		r.until = until
	}
}

// clear clears all crashes.
func (r *record) clear() {
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
}

// encode returns the record to pass on.
func (r *record) encode(now time.Time) []byte {
	out := Record{ReleaseMilliseconds: r.until.Sub(now).Milliseconds()}
	for _, c := range r.crashes {
		out.Crashes = append(out.Crashes, Crash{c.id, c.upstream, now.Sub(c.when).Milliseconds(), c.cleared})
	}
	data, err := json.Marshal(out)
	if err != nil {
		// A struct of numbers always encodes.
		panic(err)
	}
	return data
}

// DecodeRecord reads and checks an encoded record.
func DecodeRecord(data []byte, hold time.Duration) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrapf(ErrBadRecord, "decode: %v", err)
	}
	if len(r.Crashes) > maxCrashes {
		return Record{}, errors.Wrapf(ErrBadRecord, "%d crashes", len(r.Crashes))
	}
	if r.ReleaseMilliseconds < 0 || r.ReleaseMilliseconds > hold.Milliseconds() {
		return Record{}, errors.Wrapf(ErrBadRecord, "release in %d ms", r.ReleaseMilliseconds)
	}
	return r, nil
}
