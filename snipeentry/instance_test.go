package snipeentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// TestFirstCaller guards against refusing callers that arrive before the instance knows routes and
// upstreams, as all callers do after a power failure. Their requests are held for the short time
// that this takes.
func TestFirstCaller(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1)
	eventually(t, func() bool { return s.store.Rows("servers") == len(s.runners) })
	one := s.start("one")
	a, _ := send(t, one.url, http.MethodPost, "/once/x", "")
	must.Eq(t, http.StatusOK, a.status, must.Sprint(a.body))
}

// TestInstanceDies guards against engines that stay without an owner after their owner is killed,
// against two instances that order one engine at once, and against requests that still fail when
// another instance has taken over the engines.
func TestInstanceDies(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1)
	one, two := s.start("one"), s.start("two")
	waitServing(t, one)
	waitServing(t, two)
	draft := func(i *instance, adapter string) bool {
		a, _ := send(t, i.url, http.MethodPost, "/draft/x", "", modelHeader, "base/"+adapter)
		return a.status == http.StatusOK && a.body == events(1)
	}
	eventually(t, func() bool { return draft(one, "a1") && draft(two, "a2") })
	one.kill()
	must.NoError(t, <-one.ended)
	for n := range 6 {
		adapter := fmt.Sprint("b", n)
		eventually(t, func() bool { return draft(two, adapter) })
	}
	for _, id := range []string{"e1", "e2"} {
		orders, overfull := s.runners[id].AcceptedOrders()
		must.Eq(t, 0, overfull)
		changes := 0
		for n := 1; n < len(orders); n++ {
			if orders[n].Holder != orders[n-1].Holder {
				changes++
			}
		}
		must.LessEq(t, 1, changes)
	}
}

// TestStop guards against a planned stop that leaves readiness on, refuses requests that still
// arrive, or cuts off requests in flight.
func TestStop(t *testing.T) {
	s := newTestCluster(t, 100*time.Millisecond)
	s.declare(1)
	one := s.start("one")
	waitServing(t, one)
	before := len(s.runners["e1"].RunCounts()) + len(s.runners["e2"].RunCounts())
	answered := make(chan reply, 1)
	go func() {
		a, _ := send(t, one.url, http.MethodPost, "/final/x", "", modelHeader, "base")
		answered <- a
	}()
	eventually(t, func() bool { return len(s.runners["e1"].RunCounts())+len(s.runners["e2"].RunCounts()) > before })
	one.Stop()
	eventually(t, func() bool { return !one.isReady() })
	a, _ := send(t, one.url, http.MethodPost, "/once/x", "late")
	must.Eq(t, http.StatusOK, a.status)
	must.Eq(t, events(1), (<-answered).body)
	must.NoError(t, <-one.ended)
}

// TestStoreLost guards against instances that drop the known routes and upstreams or their
// readiness when the store is lost, or miss a new catalog when the store is back.
func TestStoreLost(t *testing.T) {
	modes := map[string]snipestand.StoreMode{
		"Refuses": snipestand.StoreRefuses, "Silent": snipestand.StoreSilent,
		"LosesAnswers": snipestand.StoreLosesAnswers,
	}
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			s := newTestCluster(t, time.Millisecond)
			s.declare(1)
			one := s.start("one")
			waitServing(t, one)
			s.store.SetMode(mode)
			eventually(t, func() bool { return strings.Contains(s.logged(), `"Name":"CatalogStale"`) })
			a, _ := send(t, one.url, http.MethodPost, "/once/x", "")
			must.Eq(t, http.StatusOK, a.status)
			must.True(t, one.isReady())
			s.store.SetMode(snipestand.StoreNormal)
			s.declare(2)
			eventually(t, func() bool { return strings.Contains(s.logged(), `"Catalog":2,"Event":310`) })
		})
	}
}

// TestHistoryLost guards against instances that miss changes after the store has dropped its
// history of changes: the tables have to be read completely again.
func TestHistoryLost(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1)
	one := s.start("one")
	waitServing(t, one)
	s.store.Compact()
	s.declare(2)
	eventually(t, func() bool { return strings.Contains(s.logged(), `"Catalog":2,"Event":310`) })
}
