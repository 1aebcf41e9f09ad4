package snipeentry

import "sync"

// maxInvalidEntries bounds the entries that are remembered as wrong: the registry holds at
// most some thousand, and who writes nonsense under ever new keys must not take memory.
const maxInvalidEntries = 4096

// invalidEntries are the keys of entries of the registry that cannot be understood. The
// zero value is ready; it is safe for concurrent use.
type invalidEntries struct {
	lock sync.Mutex // guards keys
	keys map[string]bool
}

// Add notes a wrong entry and reports whether that is new.
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

// Remove notes that an entry is not wrong and reports whether it was.
func (w *invalidEntries) Remove(key string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	was := w.keys[key]
	delete(w.keys, key)
	return was
}

// Len returns how many entries are wrong.
func (w *invalidEntries) Len() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.keys)
}
