package snipequarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/sniperoute"
)

// quarantineCrashes is the number of uncleared crashes that quarantines a fingerprint.
const quarantineCrashes = 2

// maxCrashes bounds the crashes that a record keeps; a new crash replaces the one that
// was added first.
// An encoded record stays below the 512 bytes of an announcement.
const maxCrashes = 4

// ErrBadRecord is returned for data that is not a valid record.
var ErrBadRecord = errors.New("not a record of crashes")

// Crash is one crash of an upstream in the record of a suspect.
type Crash struct {
	// ID identifies the crash among those of one fingerprint.
	ID uint64
	// Upstream is a hash of the upstream's name.
	Upstream uint64
	// AgeMilliseconds is the time since the crash, as of the encoding.
	AgeMilliseconds int64
	// Cleared means that another call must have caused the crash, because the suspect has
	// since been answered completely while it ran alone.
	Cleared bool `json:",omitempty"`
}

// Record holds the known crashes of a fingerprint. Records of several instances merge
// as sets, so that neither the order nor the repetition of updates matters.
type Record struct {
	Crashes []Crash
	// ReleaseMilliseconds is the time until the record is forgotten, as of the
	// encoding.
	ReleaseMilliseconds int64
}

// record is the form of a Record that an instance keeps in memory.
type record struct {
	crashes   []crash
	lastAdded time.Time // when the latest uncleared crash was added
	expires   time.Time
}

type crash struct {
	id, upstream uint64
	when         time.Time
	cleared      bool
}

// crashID identifies the crash that ended an attempt at an upstream. All instances that
// report the crash derive the same identifier.
func crashID(attempt, upstream string) uint64 { return sniperoute.Hash(attempt, upstream) }

// uncleared returns the number of crashes that are not cleared.
func (r *record) uncleared() int {
	n := 0
	for _, c := range r.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// find returns the crash with the given identifier, or nil.
func (r *record) find(id uint64) *crash {
	for i := range r.crashes {
		if r.crashes[i].id == id {
			return &r.crashes[i]
		}
	}
	return nil
}

// crashedAfter reports whether the record has a crash of an upstream after t.
func (r *record) crashedAfter(upstream uint64, t time.Time) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.upstream == upstream && c.when.After(t) })
}

// add adds a crash, or clears a known one, and reports whether the record has changed.
func (r *record) add(c crash, now time.Time) bool {
	if known := r.find(c.id); known != nil {
		changed := c.cleared && !known.cleared
		known.cleared = known.cleared || c.cleared
		return changed
	}
	if len(r.crashes) >= maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
	if !c.cleared {
		r.lastAdded = now
	}
	return true
}

// extend keeps the record at least until the given time.
func (r *record) extend(until time.Time) {
	if until.After(r.expires) {
		r.expires = until
	}
}

// clear marks all crashes as cleared. The record is kept until it expires.
func (r *record) clear() {
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
}

// encode returns the encoded record for other instances.
func (r *record) encode(now time.Time) []byte {
	out := Record{ReleaseMilliseconds: r.expires.Sub(now).Milliseconds()}
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

// DecodeRecord decodes a record and checks it. The time until its release must not
// exceed hold, the Retention of the registry.
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
