package snipecatalog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecatalog"
)

func catalog(version int64, routes ...snipecatalog.Route) *snipecatalog.Catalog {
	c := &snipecatalog.Catalog{Version: version, Routes: routes}
	if err := c.Index(); err != nil {
		panic(err) // a fault of the test
	}
	return c
}

// TestLookup verifies that the route with the longest prefix of the path wins. Prefixes are
// compared byte by byte, without decoding or cleaning the path.
func TestLookup(t *testing.T) {
	c := catalog(
		1,
		snipecatalog.Route{Name: "short", Host: "one.example", Prefix: "/a/"},
		snipecatalog.Route{Name: "long", Host: "one.example", Prefix: "/a/b/"},
		snipecatalog.Route{Name: "other", Host: "two.example", Prefix: "/a/"},
	)
	tests := map[string]struct{ host, path, want string }{
		"Short":         {"one.example", "/a/x", "short"},
		"Long":          {"one.example", "/a/b/x", "long"},
		"HostsCase":     {"ONE.example", "/a/x", "short"},
		"OtherHost":     {"two.example", "/a/b/x", "other"},
		"NoSlash":       {"one.example", "/a", ""},
		"Escaped":       {"one.example", "/%61/", ""},
		"DoubleSlash":   {"one.example", "//a/", ""},
		"UnknownHost":   {"three.example", "/a/", ""},
		"UnknownPrefix": {"one.example", "/b/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := c.Lookup(tt.host, tt.path); r != nil {
				got = r.Name
			}
			must.Eq(t, tt.want, got)
		})
	}
}

// TestBackend verifies that requests are distributed over a route's services by weight.
func TestBackend(t *testing.T) {
	r := snipecatalog.Route{Backends: []snipecatalog.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for n := range uint64(1000) {
		count[r.Backend(n)]++
	}
	must.Eq(t, map[string]int{"a": 900, "b": 100}, count)
	r.Backends = []snipecatalog.Backend{{Service: "only"}}
	must.Eq(t, "only", r.Backend(7))
}

// TestAdoptRejectsLowerVersion guards against a catalog that is replaced by one of the same or a lower version.
func TestAdoptRejectsLowerVersion(t *testing.T) {
	k := &snipecatalog.Cache{}
	must.Nil(t, k.Catalog())
	must.True(t, k.Adopt(catalog(3)))
	must.False(t, k.Adopt(catalog(2)))
	must.False(t, k.Adopt(catalog(3)))
	must.Eq(t, 3, k.Catalog().Version)
}

// TestRequired verifies that the grace period is counted for each version separately, even if a
// newer version is announced before it ends.
func TestRequired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 3 * time.Second
		k := &snipecatalog.Cache{}
		a := snipecatalog.Adapter{Model: "base", Name: "a1"}
		must.Eq(t, 0, k.Required(a, grace))
		must.True(t, k.Announce(a, 2))
		time.Sleep(2 * time.Second)
		must.True(t, k.Announce(a, 3))
		must.False(t, k.Announce(a, 2))
		must.Eq(t, 0, k.Required(a, grace))
		time.Sleep(time.Second)
		must.Eq(t, 2, k.Required(a, grace))
		time.Sleep(2 * time.Second)
		must.Eq(t, 3, k.Required(a, grace))
		newest, ok := k.Newest(a)
		must.True(t, ok)
		must.Eq(t, 3, newest)
		must.Eq(t, map[snipecatalog.Adapter]int64{a: 3}, k.Announcements())
	})
}

// TestRequiredInQuickSuccession guards against versions that are announced so fast that none is required, or an old one:
// only the last eight were stored, of which none had been known for the grace.
func TestRequiredInQuickSuccession(t *testing.T) {
	const grace, spacing = 1500 * time.Millisecond, 50 * time.Millisecond
	for name, pause := range map[string]time.Duration{
		"Seconds": 3 * time.Second, "Half": 500 * time.Millisecond, "Days": 176 * time.Millisecond, "Fast": 20 * time.Millisecond, "Fastest": time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &snipecatalog.Cache{}
				a := snipecatalog.Adapter{Model: "base", Name: "a1"}
				for n := range 1 + int(20*time.Second/pause) {
					must.True(t, k.Announce(a, int64(n+1)))
					// The version that was announced the grace ago, or a little earlier.
					due := max(0, n+1-int((grace+pause-1)/pause))
					required := int(k.Required(a, grace))
					must.LessEq(t, due, required)
					must.GreaterEq(t, due-int((2*spacing+pause-1)/pause), required)
					time.Sleep(pause)
				}
			})
		})
	}
}
