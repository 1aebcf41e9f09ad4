package snipestand

import (
	"net/http"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
)

// Instances emulates the platform's instance list, in which each change becomes visible only after
// a lag. It is safe for concurrent use.
type Instances struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration

	lock             sync.Mutex // guards the fields below
	visible          []snipeplatform.ListedInstance
	changes          []instanceChange
	unavailableUntil time.Time
}

// instanceChange is a list that is visible from a given time on.
type instanceChange struct {
	from time.Time
	list []snipeplatform.ListedInstance
}

// Set replaces the list. The new list becomes visible after the lag.
func (i *Instances) Set(list []snipeplatform.ListedInstance) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.changes = append(i.changes, instanceChange{time.Now().Add(i.Lag), list})
}

// Down makes the list unavailable for a duration.
func (i *Instances) Down(d time.Duration) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.unavailableUntil = time.Now().Add(d)
}

// List returns the list that is visible now, and false while the list is unavailable.
func (i *Instances) List() ([]snipeplatform.ListedInstance, bool) {
	now := time.Now()
	i.lock.Lock()
	defer i.lock.Unlock()
	for len(i.changes) > 0 && !now.Before(i.changes[0].from) {
		i.visible, i.changes = i.changes[0].list, i.changes[1:]
	}
	return i.visible, !now.Before(i.unavailableUntil)
}

// instanceDocument is the JSON form of the list.
type instanceDocument struct {
	Instances []snipeplatform.ListedInstance
}

// ServeHTTP answers with the list, or replaces it if the method is PUT.
func (i *Instances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var d instanceDocument
		if readJSON(w, r, &d) {
			i.Set(d.Instances)
		}
		return
	}
	list, ok := i.List()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, instanceDocument{list})
}
