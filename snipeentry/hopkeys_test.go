package snipeentry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestKeyWhileWaiting guards against a request that is denied because operators have declared something while it waited for its
// adapter, at the instance that was asked or at the one to which it was passed on, and against one that still runs although its
// key was removed.
func TestKeyWhileWaiting(t *testing.T) {
	const key = "key-1"
	north := workspace("north", key)
	limited := workspace("north", key)
	limited["ratePerS"], limited["burst"] = 100_000, 100_000
	tests := map[string]struct {
		then []object
		want int
	}{
		"Same":    {[]object{north}, http.StatusOK},
		"Quota":   {[]object{limited}, http.StatusOK},
		"Added":   {[]object{north, workspace("south", "key-2")}, http.StatusOK},
		"NoKeys":  {nil, http.StatusOK},
		"Removed": {[]object{workspace("north", "key-2")}, http.StatusUnauthorized},
		"Moved":   {[]object{workspace("north"), workspace("south", key)}, http.StatusServiceUnavailable},
		"Renamed": {[]object{workspace("west", key)}, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &cutCluster{testCluster: newTestCluster(t, time.Millisecond)}
			s.declare(1, north)
			s.addInstance("sound")
			eventually(t, func() bool { return strings.Count(s.logged(), `"Name":"OwnershipTaken"`) == 3 })
			cut := s.addInstance("cut")
			for _, i := range s.instances {
				eventually(t, func() bool { return status(t, i, key) == http.StatusOK })
			}
			s.links[1].set(linksReset)
			authorization := []string{"Authorization", "Bearer " + key}
			eventually(t, func() bool {
				return s.servedByHop(cut, "/draft/x", append(authorization, modelHeader, "base")...)
			})
			for _, r := range s.runners {
				r.LoadDuration = 1500 * time.Millisecond
			}
			time.AfterFunc(500*time.Millisecond, func() { s.declare(2, tt.then...) })
			var callers sync.WaitGroup
			for n, i := range s.instances {
				callers.Go(func() {
					a, id := send(t, i.url, http.MethodPost, "/draft/x", "", append(slices.Clone(authorization), modelHeader, fmt.Sprint("base/a", n))...)
					test.Eq(t, tt.want, a.status, test.Sprint(i.Settings.Name, " ", a.body))
					if tt.want != http.StatusOK {
						test.Eq(t, 0, s.total(id))
					}
				})
			}
			callers.Wait()
			must.StrNotContains(t, s.logged(), key)
		})
	}
}
