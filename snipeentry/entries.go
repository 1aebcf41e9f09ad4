package snipeentry

import "sync"

// maxInvalidEntries bounds the entries that are recorded as invalid. The registry holds at most a
// few thousand entries, and a writer of invalid entries under ever new keys must not use up memory.
const maxInvalidEntries = 4096

// invalidEntries holds the keys of registry entries that cannot be decoded. The zero value is ready
// to use; it is safe for concurrent use.
type invalidEntries struct {
	lock sync.Mutex // guards keys
	keys map[string]bool
}

// Add records an invalid entry and reports whether it is new.
func (w *invalidEntries) Add(key string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.keys[key] || len(w.keys) >= maxInvalidEntries {
		return false
	}
	if w.keys == nil {
		w.keys = make(map[string]bool)
	}
	w.keys[key] = true
	return true
}

// Remove records that an entry is valid and reports whether it was invalid.
func (w *invalidEntries) Remove(key string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	was := w.keys[key]
	delete(w.keys, key)
	return was
}

// Len returns the number of invalid entries.
func (w *invalidEntries) Len() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.keys)
}
