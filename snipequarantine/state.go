package snipequarantine

import (
	"cmp"
	"time"
)

// The functions below maintain the maps of a Registry. The lock is held in each.

// initialize creates the maps at the first use.
func (r *Registry) initialize(now time.Time) {
	if r.active != nil {
		return
	}
	r.active = map[Fingerprint]map[string]*attempt{}
	r.records = map[Fingerprint]*record{}
	// A new instance may be the coordinator of attempts that are not registered with it
	// yet; suspects wait for SettleTime.
	r.membersChanged = now
}

// running returns the attempts of a fingerprint that may still run, without those whose
// upstream has crashed. It removes expired attempts.
func (r *Registry) running(f Fingerprint, now time.Time) []*attempt {
	var all []*attempt
	for id, a := range r.active[f] {
		switch {
		case !now.Before(a.expires):
			r.removeAttempt(f, id)
		case !a.counted:
			all = append(all, a)
		}
	}
	return all
}

// sweep removes expired attempts and records.
func (r *Registry) sweep(now time.Time) {
	for f := range r.active {
		r.running(f, now)
	}
	for f := range r.records {
		r.recordOf(f, now)
	}
}

// addAttempt adds an attempt, or replaces the one with its ID, and returns it. The
// attempt expires Linger after its call's deadline.
func (r *Registry) addAttempt(a Attempt, now time.Time) *attempt {
	all := r.active[a.Fingerprint]
	if all == nil {
		all = map[string]*attempt{}
		r.active[a.Fingerprint] = all
	}
	if _, ok := all[a.ID]; !ok {
		r.attempts++
	}
	s := &attempt{Attempt: a, expires: now.Add(a.Left + r.Linger)}
	all[a.ID] = s
	return s
}

func (r *Registry) removeAttempt(f Fingerprint, id string) {
	all := r.active[f]
	if _, ok := all[id]; !ok {
		return
	}
	r.attempts--
	delete(all, id)
	if len(all) == 0 {
		delete(r.active, f)
	}
}

// recordOf returns the record of a fingerprint, or nil if there is none. It removes an
// expired record.
func (r *Registry) recordOf(f Fingerprint, now time.Time) *record {
	known, ok := r.records[f]
	if !ok {
		return nil
	}
	if !now.Before(known.expires) {
		delete(r.records, f)
		return nil
	}
	return known
}

// newRecord adds an empty record. If there are too many records, it replaces the one
// that would be released first.
func (r *Registry) newRecord(f Fingerprint) *record {
	if len(r.records) >= maxRecords {
		var first Fingerprint
		var until time.Time
		for g, known := range r.records {
			if until.IsZero() || known.expires.Before(until) {
				first, until = g, known.expires
			}
		}
		delete(r.records, first)
	}
	known := &record{}
	r.records[f] = known
	return known
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Domain, b.Domain))
}
