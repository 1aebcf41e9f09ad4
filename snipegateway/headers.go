package snipegateway

import (
	"sync"
	"sync/atomic"
)

// maxHeaderNames bounds the names that are stored; upstreams use some tens of names. Once it is
// reached, further names are neither stored nor logged.
const maxHeaderNames = 128

// maxHeaderName bounds a name that is stored, in bytes: a head has room for names of a megabyte.
const maxHeaderName = 128

// headerNames holds the names of headers in the answers of upstreams, so that each new name is
// logged once. The zero value is ready to use. It is safe for concurrent use.
type headerNames struct {
	names sync.Map
	count atomic.Int32
}

// add stores a name and reports whether it was new. It returns false without storing the name if
// maxHeaderNames are stored, or if the name is longer than maxHeaderName.
func (n *headerNames) add(name string) bool {
	if len(name) > maxHeaderName {
		return false
	}
	if _, known := n.names.Load(name); known || n.count.Load() >= maxHeaderNames {
		return false
	}
	if _, known := n.names.LoadOrStore(name, true); known {
		return false
	}
	n.count.Add(1)
	return true
}
