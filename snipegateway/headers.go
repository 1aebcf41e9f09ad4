package snipegateway

import (
	"sync"
	"sync/atomic"
)

// maxHeaderNames bounds the names that are remembered: upstreams have some tens.
const maxHeaderNames = 128

// headerNames are the names of headers that answers of upstreams have had, so that one that is new
// on the wire shows in the log once. The zero value is ready; it is safe for concurrent use.
type headerNames struct {
	names sync.Map
	count atomic.Int32
}

// add notes a name and reports whether it is new.
func (n *headerNames) add(name string) bool {
	if _, known := n.names.Load(name); known || n.count.Load() >= maxHeaderNames {
		return false
	}
	if _, known := n.names.LoadOrStore(name, true); known {
		return false
	}
	n.count.Add(1)
	return true
}
