package snipeentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipestand"
)

const (
	tokensHeader    = "X-Snipepitch-Token-Usage"
	workspaceHeader = "X-Snipepitch-Tenant"
)

// workspace returns a workspace without a quota, as operators declare it.
func workspace(name string, keys ...string) object {
	return object{"name": name, "apiKeys": keys, "unit": "token_rate", "plainTokens": 200}
}

// workspaceUsage returns the tokens that upstreams counted for a workspace, and the number of keys
// that reached upstreams.
func (s *testCluster) workspaceUsage(workspace string) (tokens, keys int) {
	for _, r := range s.runners {
		_, n := r.Workspaces()
		tokens, keys = tokens+r.Tokens()[workspace], keys+n
	}
	return tokens, keys
}

// status sends a request with a key and returns the status of the answer.
func status(t *testing.T, i *instance, key string) int {
	t.Helper()
	a, _ := send(t, i.url, http.MethodPost, "/once/x", "", "Authorization", "Bearer "+key)
	must.NoError(t, a.err)
	return a.status
}

// TestKeys checks that a request runs for the workspace that has its key, and is refused without a
// valid key.
func TestKeys(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1, workspace("north", "key-n1", "key-n2"), workspace("south", "key-s1"))
	one := s.start("one")
	eventually(t, func() bool { return status(t, one, "key-n1") == http.StatusOK })
	tests := map[string]struct {
		target string
		header []string
		want   int
		runs   string // the workspace that the request runs for
	}{
		"Key":              {"/once/x", []string{"Authorization", "Bearer key-n2"}, 200, "north"},
		"OtherCase":        {"/once/x", []string{"authorization", "BEARER key-s1"}, 200, "south"},
		"Spaces":           {"/once/x", []string{"Authorization", "  Bearer   key-s1 "}, 200, "south"},
		"None":             {"/once/x", nil, 401, ""},
		"Empty":            {"/once/x", []string{"Authorization", ""}, 401, ""},
		"Unknown":          {"/once/x", []string{"Authorization", "Bearer key-x"}, 401, ""},
		"OtherScheme":      {"/once/x", []string{"Authorization", "Basic key-n1"}, 401, ""},
		"KeyInOtherCase":   {"/once/x", []string{"Authorization", "Bearer KEY-N1"}, 401, ""},
		"TwoInOne":         {"/once/x", []string{"Authorization", "Bearer key-n1, Bearer key-s1"}, 401, ""},
		"Huge":             {"/once/x", []string{"Authorization", "Bearer " + strings.Repeat("k", 16<<10)}, 401, ""},
		"ClaimsOther":      {"/once/x", []string{"Authorization", "Bearer key-n1", workspaceHeader, "south"}, 200, "north"},
		"ClaimsUnderscore": {"/once/x", []string{"Authorization", "Bearer key-n1", "X_Snipepitch_Tenant", "south"}, 200, "north"},
		"ListedConnection": {"/once/x", []string{"Authorization", "Bearer key-n1", "Connection", workspaceHeader}, 200, "north"},
		"Public":           {"/open/x", nil, 200, ""},
		"PublicClaims":     {"/open/x", []string{workspaceHeader, "south"}, 200, ""},
		"PublicUnknown":    {"/open/x", []string{"Authorization", "Bearer key-x"}, 200, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before, _ := s.workspaceUsage(tt.runs)
			a, id := send(t, one.url, http.MethodPost, tt.target, "", append(tt.header, tokensHeader, "30,4")...)
			must.NoError(t, a.err)
			must.Eq(t, tt.want, a.status, must.Sprint(a.body))
			after, keys := s.workspaceUsage(tt.runs)
			must.Eq(t, 0, keys)
			if tt.want != http.StatusOK {
				must.Eq(t, 0, s.total(id))
				must.Eq(t, "Bearer", a.header.Get("WWW-Authenticate"))
				return
			}
			must.Eq(t, before+34, after)
		})
	}
	must.StrNotContains(t, s.logged(), "key-")
}

// TestKeysChange checks that keys become valid and invalid with the catalogs that add and remove
// them.
func TestKeysChange(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1, workspace("north", "key-1", "key-2"), workspace("south", "key-3"))
	one := s.start("one")
	waitStatus := func(key string, want int) {
		t.Helper()
		eventually(t, func() bool { return status(t, one, key) == want })
	}
	waitStatus("key-1", http.StatusOK)
	// A key is removed and added again.
	s.declare(2, workspace("north", "key-2"), workspace("south", "key-3"))
	waitStatus("key-1", http.StatusUnauthorized)
	waitStatus("key-2", http.StatusOK)
	s.declare(3, workspace("north", "key-1", "key-2"), workspace("south", "key-3"))
	waitStatus("key-1", http.StatusOK)
	// All keys of a workspace are removed at once, and one moves to another workspace.
	s.declare(4, workspace("north"), workspace("south", "key-3", "key-2"))
	waitStatus("key-1", http.StatusUnauthorized)
	before, _ := s.workspaceUsage("south")
	_, _ = send(t, one.url, http.MethodPost, "/once/x", "", "Authorization", "Bearer key-2", tokensHeader, "5,5")
	after, _ := s.workspaceUsage("south")
	must.Eq(t, before+10, after)
	// A catalog with one invalid workspace changes nothing.
	s.declare(5, workspace("north", "key-1"), workspace("south", "key-1"))
	eventually(t, func() bool { return strings.Contains(s.logged(), `\"south\": has a key of \"north\"`) })
	waitStatus("key-3", http.StatusOK)
	// Without workspaces, no request needs a key.
	s.declare(6)
	waitStatus("key-1", http.StatusOK)
	must.StrNotContains(t, s.logged(), "key-")
}

// TestKeyTakenWhileWaiting guards against a request that is still sent to an upstream although its
// key was removed while the request waited for its adapter.
func TestKeyTakenWhileWaiting(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	for _, r := range s.runners {
		r.LoadDuration = 1500 * time.Millisecond
	}
	s.declare(1, workspace("north", "key-1"))
	one := s.start("one")
	eventually(t, func() bool {
		a, _ := send(t, one.url, http.MethodPost, "/draft/x", "", modelHeader, "base/a8", "Authorization", "Bearer key-1")
		return a.status == http.StatusOK
	})
	type result struct {
		reply
		id string
	}
	got := make(chan result, 1)
	go func() {
		a, id := send(t, one.url, http.MethodPost, "/draft/x", "", modelHeader, "base/a9", "Authorization", "Bearer key-1")
		got <- result{a, id}
	}()
	time.Sleep(300 * time.Millisecond)
	s.declare(2, workspace("north", "key-2"))
	r := <-got
	must.Eq(t, http.StatusUnauthorized, r.status, must.Sprint(r.body))
	must.Eq(t, 0, s.total(r.id))
}

// TestKeyWhileBehind guards against an instance that rejects a key as unknown while its catalog is
// outdated: a newer catalog may have the key.
func TestKeyWhileBehind(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1, workspace("north", "key-1"))
	one := s.start("one")
	eventually(t, func() bool { return status(t, one, "key-1") == http.StatusOK })
	s.store.SetMode(snipestand.StoreRefuses)
	eventually(t, func() bool { return status(t, one, "key-2") == http.StatusServiceUnavailable })
	must.Eq(t, http.StatusOK, status(t, one, "key-1"))
	a, _ := send(t, one.url, http.MethodPost, "/other/x", "", "Authorization", "Bearer key-1")
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.NotEq(t, "", a.header.Get("Retry-After"))
	s.store.SetMode(snipestand.StoreNormal)
	eventually(t, func() bool { return status(t, one, "key-2") == http.StatusUnauthorized })
}

// TestKeyWhileStoreLost guards against an instance that denies a key although it has just found that the store does not answer, or
// its copy of the catalog is older than it gets while the store answers: the key may have been added since.
func TestKeyWhileStoreLost(t *testing.T) {
	tests := map[string]struct {
		mode  snipestand.StoreMode
		known func(s *testCluster) // waits until the instance can know of the loss
	}{
		"Refuses": {snipestand.StoreRefuses, func(s *testCluster) {
			eventually(t, func() bool { return strings.Contains(s.logged(), `"Name":"CatalogStale"`) })
		}},
		// A read that began before the loss may still be answered after the second for which it waits, and the next one fails
		// after two more.
		"Silent": {snipestand.StoreSilent, func(*testCluster) { time.Sleep(2500 * time.Millisecond) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestCluster(t, time.Millisecond)
			s.declare(1, workspace("north", "key-1"))
			one := s.start("one", func(x *snipeentry.Settings) { x.ApplyTime = snipejson.Duration(5 * time.Second) })
			eventually(t, func() bool { return status(t, one, "key-1") == http.StatusOK })
			must.Eq(t, http.StatusUnauthorized, status(t, one, "key-2"))
			s.store.SetMode(tt.mode)
			tt.known(s)
			s.declare(2, workspace("north", "key-1", "key-2"))
			must.Eq(t, http.StatusServiceUnavailable, status(t, one, "key-2"))
			must.Eq(t, http.StatusOK, status(t, one, "key-1"))
			// A newer version may need no key.
			a, _ := send(t, one.url, http.MethodPost, "/once/x", "")
			must.Eq(t, http.StatusServiceUnavailable, a.status)
			must.Eq(t, "", a.header.Get("WWW-Authenticate"))
			s.store.SetMode(snipestand.StoreNormal)
			eventually(t, func() bool { return status(t, one, "key-2") == http.StatusOK })
			must.Eq(t, http.StatusUnauthorized, status(t, one, "key-3"))
		})
	}
}

// TestHostileKeys guards against malformed Authorization headers whose requests run on an upstream
// or whose keys are logged, with ten thousand requests without a valid key.
func TestHostileKeys(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1, workspace("north", "key-1"))
	one := s.start("one")
	eventually(t, func() bool { return status(t, one, "key-1") == http.StatusOK })
	executions := func() int { return len(s.runners["p1"].RunCounts()) + len(s.runners["p2"].RunCounts()) }
	before := executions()
	random := rand.New(rand.NewPCG(1, 1))
	h := &http.Client{}
	for n := range 10_000 {
		r, err := http.NewRequest(http.MethodGet, one.url+"/often/x", nil)
		must.NoError(t, err)
		r.Host = host
		r.Header.Set("X-Snipepitch-Attempt-Id", fmt.Sprint("hostile", n))
		r.Header["Authorization"] = hostile(random)
		a, err := h.Do(r)
		must.NoError(t, err)
		must.Eq(t, http.StatusUnauthorized, a.StatusCode, must.Sprintf("%q", r.Header["Authorization"]))
		must.Less(t, 1000, a.ContentLength)
		must.NoError(t, a.Body.Close())
	}
	must.Eq(t, before, executions())
	must.StrNotContains(t, s.logged(), "hidden-")
}

// hostile returns values of the Authorization header without a valid key.
func hostile(random *rand.Rand) []string {
	junk := make([]byte, random.IntN(200))
	for n := range junk {
		junk[n] = byte(0x80 + random.IntN(0x80))
	}
	forms := []string{
		"", " ", "Bearer", "Bearer ", "Bearer\tkey-1", "Bearer hidden-1", "bearer hidden-2", "Basic key-1", "key-1",
		"Bearer key-1 ,", "Bearer \"key-1\"", "Bearer  key-1=", "Bearer KEY-1", "Bearer " + string(junk), string(junk),
		"Bearer hidden-" + strings.Repeat("x", random.IntN(4000)), "Bearer key-1;hidden-3", "Bearer key-1 key-1",
	}
	values := []string{forms[random.IntN(len(forms))]}
	if random.IntN(3) == 0 {
		values = append(values, forms[random.IntN(len(forms))], "Bearer key-1")
	}
	return values
}

// TestQuota checks that requests above a workspace's quota are refused with a Retry-After header,
// that the requests executed by two instances together stay near the quota, neither far above nor
// far below, and that another workspace is not affected.
func TestQuota(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	limited := workspace("north", "key-1")
	limited["ratePerS"], limited["burst"] = 1000, 1000
	s.declare(1, limited, workspace("south", "key-2"))
	one, two := s.start("one"), s.start("two")
	for _, i := range []*instance{one, two} {
		eventually(t, func() bool { return status(t, i, "key-2") == http.StatusOK })
	}
	// Send ten times the quota to both instances for a few seconds.
	began := time.Now()
	refused := 0
	for time.Since(began) < 3*time.Second {
		for _, i := range []*instance{one, two} {
			a, _ := send(t, i.url, http.MethodPost, "/once/x", "", "Authorization", "Bearer key-1", tokensHeader, "90,10")
			switch a.status {
			case http.StatusOK:
			case http.StatusTooManyRequests:
				refused++
				must.NotEq(t, "", a.header.Get("Retry-After"))
			default:
				must.Unreachable(t, must.Sprint(a.status, a.body))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	must.Positive(t, refused)
	tokens, _ := s.workspaceUsage("north")
	// The bound is one burst plus the rate over the elapsed time. Requests in flight may count
	// twice.
	must.LessEq(t, int(1000*(1+time.Since(began).Seconds()))+200, tokens)
	must.GreaterEq(t, 2000, tokens)
	must.Eq(t, http.StatusOK, status(t, one, "key-2"))
}
