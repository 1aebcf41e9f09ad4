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

// Add records an invalid entry and reports whether it was not recorded before. It records nothing
// and returns false if maxInvalidEntries entries are recorded.
func (e *invalidEntries) Add(key string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.keys[key] || len(e.keys) >= maxInvalidEntries {
		return false
	}
	if e.keys == nil {
		e.keys = make(map[string]bool)
	}
	e.keys[key] = true
	return true
}

// Remove drops an entry that is valid again or removed, and reports whether it was recorded as
// invalid.
func (e *invalidEntries) Remove(key string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	was := e.keys[key]
	delete(e.keys, key)
	return was
}

// Len returns the number of entries that are recorded as invalid, at most maxInvalidEntries.
func (e *invalidEntries) Len() int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return len(e.keys)
}
