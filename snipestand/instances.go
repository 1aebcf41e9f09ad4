package snipestand

import (
	"net/http"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
)

// Instances is the platform's instance list, which shows each change only
// after a lag. It is safe for concurrent use.
type Instances struct {
	// Lag is how late a change shows.
	Lag time.Duration

	lock     sync.Mutex // guards the fields below
	shown    []snipeplatform.ListedInstance
	changes  []instanceChange
	downTill time.Time
}

// instanceChange is a list that shows from a time on.
type instanceChange struct {
	from time.Time
	list []snipeplatform.ListedInstance
}

// Set replaces the list; the change shows after the lag.
func (i *Instances) Set(list []snipeplatform.ListedInstance) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.changes = append(i.changes, instanceChange{time.Now().Add(i.Lag), list})
}

// Down makes the list unavailable for a time.
func (i *Instances) Down(d time.Duration) {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.downTill = time.Now().Add(d)
}

// List returns what shows now; false while the list is unavailable.
func (i *Instances) List() ([]snipeplatform.ListedInstance, bool) {
	now := time.Now()
	i.lock.Lock()
	defer i.lock.Unlock()
	for len(i.changes) > 0 && !now.Before(i.changes[0].from) {
		i.shown, i.changes = i.changes[0].list, i.changes[1:]
	}
	return i.shown, !now.Before(i.downTill)
}

// instanceDocument is the JSON form of the list.
type instanceDocument struct {
	Instances []snipeplatform.ListedInstance
}

// ServeHTTP serves the list, and takes a new one with PUT.
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
