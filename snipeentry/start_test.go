package snipeentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestUpstreamStartsAgain covers engines that restart under the same names, and a registry entry
// that becomes invalid and valid again. The engines are given their base model and adapters again,
// and nothing from before the restart is assumed to be loaded.
func TestUpstreamStartsAgain(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	one := s.start("one")
	s.declare(1)
	waitServing(t, one)
	served := func(adapter string) {
		t.Helper()
		eventually(t, func() bool {
			a, _ := send(t, one.url, http.MethodPost, "/draft/x", "", modelHeader, "base/"+adapter)
			return a.status == http.StatusOK && a.body == events(1)
		})
	}
	for n := range 4 {
		served(fmt.Sprint("a", n))
	}
	for _, r := range []string{"e1", "e2"} {
		s.runners[r].Restart()
	}
	for n := range 4 {
		served(fmt.Sprint("a", n))
	}
	must.StrContains(t, s.logged(), `"Name":"UpstreamGone"`)

	s.runners["e1"].SetInvalidEntry(true)
	eventually(t, func() bool { return strings.Contains(s.logged(), `"Name":"EntryWrong"`) })
	time.Sleep(1200 * time.Millisecond)
	must.Eq(t, 1, strings.Count(s.logged(), `"Name":"EntryWrong"`))
	served("a5")
	s.runners["e1"].SetInvalidEntry(false)
	eventually(t, func() bool { return strings.Contains(s.logged(), `"Name":"EntryMended"`) })
	served("a6")
	for _, r := range s.runners {
		_, overfull := r.AcceptedOrders()
		must.Eq(t, 0, overfull)
	}
}
