package snipequarantine

import (
	"cmp"
	"time"
)

// The functions below keep the Registry's maps. The lock is held in each.

func (r *Registry) setup(now time.Time) {
	if r.active != nil {
		return
	}
	r.active = map[Fingerprint]map[string]*attempt{}
	r.records = map[Fingerprint]*record{}
	// A new instance may be the coordinator of attempts it has not heard of.
	r.changed = now
}

// running returns the attempts of a fingerprint that may still run; those
// whose upstream has crashed do not.
func (r *Registry) running(f Fingerprint, now time.Time) []*attempt {
	var all []*attempt
	for id, a := range r.active[f] {
		switch {
		case !now.Before(a.until):
			r.remove(f, id)
		case !a.counted:
			all = append(all, a)
		}
	}
	return all
}

// sweep forgets attempts and records whose time is over.
func (r *Registry) sweep(now time.Time) {
	for f := range r.active {
		r.running(f, now)
	}
	for f := range r.records {
		r.recordOf(f, now)
	}
}

func (r *Registry) start(a Attempt, now time.Time) *attempt {
	all := r.active[a.Fingerprint]
	if all == nil {
		all = map[string]*attempt{}
		r.active[a.Fingerprint] = all
	}
	if _, ok := all[a.ID]; !ok {
		r.attempts++
	}
	s := &attempt{Attempt: a, until: now.Add(a.Left + r.Linger)}
	all[a.ID] = s
	return s
}

func (r *Registry) remove(f Fingerprint, id string) {
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

// recordOf returns the record of a fingerprint unless it is released.
func (r *Registry) recordOf(f Fingerprint, now time.Time) *record {
	known, ok := r.records[f]
	if !ok {
		return nil
	}
	if !now.Before(known.until) {
		delete(r.records, f)
		return nil
	}
	return known
}

// newRecord adds an empty record, in place of the one released first when
// there are too many.
func (r *Registry) newRecord(f Fingerprint) *record {
	if len(r.records) >= maxRecords {
		var first Fingerprint
		var until time.Time
		for g, known := range r.records {
			if until.IsZero() || known.until.Before(until) {
				first, until = g, known.until
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
