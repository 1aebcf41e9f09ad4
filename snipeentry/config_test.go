package snipeentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
)

const (
	// changeInterval is the time between two versions of the configuration, keptVersions the number of versions that have the
	// key, the workspace and the route that a version adds.
	changeInterval = 200 * time.Millisecond
	keptVersions   = 18
	// servedSlack is how long after an instance has served by a version it may still handle requests by an older one.
	servedSlack = 250 * time.Millisecond
)

// configJudge declares versions of the configuration one after the other, and judges the answers of instances by the versions that
// may be in force. Version v adds a key, a workspace and a route, which version v+keptVersions takes away.
type configJudge struct {
	s *testCluster

	lock      sync.Mutex // guards the fields below
	declared  int        // the version that was written last, or is being written
	confirmed []time.Time
	// served holds for each instance the moments from which requests must not be handled by an older version.
	served [][]servedVersion
	judged int
	// takenAway is the number of judged requests with a key that was taken away.
	takenAway int
	late      []string // by what was confirmed
	back      []string // by what the instance had served
}

type servedVersion struct {
	version int
	from    time.Time
}

func newConfigJudge(s *testCluster, instances int) *configJudge {
	return &configJudge{s: s, confirmed: make([]time.Time, 1), served: make([][]servedVersion, instances)}
}

// change declares the next version.
func (j *configJudge) change() {
	j.lock.Lock()
	j.declared++
	v := j.declared
	j.lock.Unlock()
	workspaces := []object{workspace("steady", "key-0")}
	j.s.addedRoutes = nil
	for n := max(1, v-keptVersions+1); n <= v; n++ {
		workspaces = append(workspaces, workspace(fmt.Sprint("w", n), keyOf(n)))
		j.s.addedRoutes = append(j.s.addedRoutes, fmt.Sprintf("/r%d/", n))
	}
	j.s.declare(v, workspaces...)
	j.lock.Lock()
	defer j.lock.Unlock()
	j.confirmed = append(j.confirmed, time.Now())
}

const (
	// configTime is how long versions are declared at least, maxConfigTime at most if too little was sent by then.
	configTime, maxConfigTime = 8 * time.Second, time.Minute
	// minConfigJudged, minConfigTakenAway and minConfigRelayed are the requests below which a case shows nothing: all of them, those with a key
	// that was taken away, and those that the instance that is cut off has passed on.
	minConfigJudged, minConfigTakenAway, minConfigRelayed = 1000, 50, 100
)

// run declares versions until enough reports that the test has sent enough.
func (j *configJudge) run(enough func() bool) {
	for begun := time.Now(); time.Since(begun) < configTime || !enough() && time.Since(begun) < maxConfigTime; {
		j.change()
		time.Sleep(changeInterval)
	}
}

// enough reports whether what was judged shows something. relayed is the number of requests that were passed on, hops is set if
// any must be.
func (j *configJudge) enough(relayed int, hops bool) bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.judged > minConfigJudged && j.takenAway > minConfigTakenAway && (!hops || relayed > minConfigRelayed)
}

// keyOf returns the key that a version adds; version 0 is that of a key that stays.
func keyOf(version int) string { return fmt.Sprint("key-", version) }

// newest returns the newest confirmed version.
func (j *configJudge) newest() int {
	j.lock.Lock()
	defer j.lock.Unlock()
	return len(j.confirmed) - 1
}

// floors returns the oldest version by which an instance may handle a request that is sent now: by the confirmations, and by what
// the instance has served.
func (j *configJudge) floors(instance int) (confirmed, served int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	now := time.Now()
	for v := 1; v < len(j.confirmed) && now.Sub(j.confirmed[v]) >= snipeentry.DefaultMaxStaleness; v++ {
		confirmed = v
	}
	for _, m := range j.served[instance] {
		if now.After(m.from) {
			served = max(served, m.version)
		}
	}
	return confirmed, served
}

// wrong reports whether an answer to a request with what a version has added is that of a version older than floor: it is denied
// although each version from floor on has the key and the route, or has run although none has. The lock is held.
func (j *configJudge) wrong(version, floor int, a reply, ran bool) bool {
	allowed := version == 0 || floor >= version && j.declared < version+keptVersions
	return allowed && denied(a.status) || ran && takenAway(version, floor)
}

// denied reports whether the status of an answer ends its caller's tries for good.
func denied(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// takenAway reports whether no version from floor on has what a version has added.
func takenAway(version, floor int) bool { return version > 0 && floor >= version+keptVersions }

// judge judges the answer of an instance to a request with what a version has added. The floors are those of the time at which
// it was sent.
func (j *configJudge) judge(instance, version, confirmed, served int, a reply, ran bool) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.judged++
	if takenAway(version, confirmed) {
		j.takenAway++
	}
	what := fmt.Sprintf("instance %d version %d floors %d %d newest %d status %d ran %v %s", instance, version, confirmed, served, j.declared, a.status, ran, a.body)
	if j.wrong(version, confirmed, a, ran) {
		j.late = append(j.late, what)
	}
	if j.wrong(version, served, a, ran) {
		j.back = append(j.back, what)
	}
	if a.status == http.StatusOK && version > 0 {
		j.served[instance] = append(j.served[instance], servedVersion{version, time.Now().Add(servedSlack)})
	}
}

// send sends a request to an instance with the key, and maybe to the route, of a version, and judges the answer.
func (j *configJudge) send(i *instance, n, version int, target string, header ...string) {
	confirmed, served := j.floors(n)
	a, id := send(j.s.t, i.url, http.MethodPost, target, "", append(header, "Authorization", "Bearer "+keyOf(version))...)
	if a.err != nil {
		return
	}
	j.judge(n, version, confirmed, served, a, j.s.total(id) > 0)
}

// pickVersion returns a version whose key a caller uses: one that stays, one that was taken away, or one of those that are there.
func (j *configJudge) pickVersion() int {
	newest := j.newest()
	switch rand.IntN(4) {
	case 0:
		return 0
	case 1:
		return max(0, newest-keptVersions-rand.IntN(keptVersions))
	default:
		return max(0, newest-rand.IntN(keptVersions))
	}
}

// callStreams sends requests for adapters that wait for loads to an instance, until done is set.
func (j *configJudge) callStreams(i *instance, n int, done *atomic.Bool) {
	for !done.Load() {
		j.send(i, n, j.pickVersion(), "/draft/x", modelHeader, fmt.Sprint("base/a", rand.IntN(40)))
	}
}

// callShort sends requests that wait for nothing to an instance, until done is set.
func (j *configJudge) callShort(i *instance, n int, done *atomic.Bool) {
	for !done.Load() {
		version := j.pickVersion()
		switch kind := rand.IntN(4); {
		case kind == 0:
			j.send(i, n, version, "/final/x", modelHeader, "base")
		case kind == 1 || version == 0:
			j.send(i, n, version, "/once/x")
		default:
			j.send(i, n, version, fmt.Sprintf("/r%d/x", version))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startConfigCluster starts three instances that serve by the first version, of which the loads of adapters take a while.
func startConfigCluster(t *testing.T) (*cutCluster, *configJudge) {
	s := &cutCluster{testCluster: newTestCluster(t, time.Millisecond)}
	j := newConfigJudge(s.testCluster, 3)
	j.change()
	for n := range 3 {
		s.addInstance(fmt.Sprint("i", n))
	}
	for _, i := range s.instances {
		eventually(t, func() bool { return status(t, i, "key-0") == http.StatusOK })
	}
	eventually(t, func() bool {
		a, _ := send(t, s.instances[0].url, http.MethodPost, "/draft/x", "", modelHeader, "base/a1", "Authorization", "Bearer key-0")
		return a.status == http.StatusOK
	})
	for _, r := range s.runners {
		r.LoadDuration = 400 * time.Millisecond
	}
	return s, j
}

// TestConfigInForce guards against instances that deny requests although the version that allows them was confirmed long ago, or
// although they have served by it, and against keys and routes that live on after they were taken away: while operators change the
// configuration all the time, requests wait for adapters and are passed on between instances.
func TestConfigInForce(t *testing.T) {
	const callers = 4
	tests := map[string]struct {
		cut     []cutMode // of the last instance, in turn
		compact bool      // the store keeps no history
	}{
		"Calm":     {nil, false},
		"Cut":      {[]cutMode{linksReset}, false},
		"Flaps":    {[]cutMode{linksReset, linksSound, linksLiveOn, linksSound}, false},
		"Compacts": {[]cutMode{linksReset}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, j := startConfigCluster(t)
			var done atomic.Bool
			var all sync.WaitGroup
			for n, i := range s.instances {
				for range callers {
					all.Go(func() { j.callStreams(i, n, &done) })
					all.Go(func() { j.callShort(i, n, &done) })
				}
			}
			all.Go(func() {
				for n := 0; len(tt.cut) > 0 && !done.Load(); n++ {
					s.links[2].set(tt.cut[n%len(tt.cut)])
					time.Sleep(time.Second)
				}
			})
			all.Go(func() {
				for tt.compact && !done.Load() {
					s.store.Compact()
					time.Sleep(changeInterval)
				}
			})
			enough := func() bool { return j.enough(s.relayed(2), len(tt.cut) > 0) }
			j.run(enough)
			done.Store(true)
			all.Wait()
			t.Log("judged:", j.judged, "taken away:", j.takenAway, "passed on:", s.relayed(2), "late:", len(j.late), "back:", len(j.back))
			must.SliceEmpty(t, j.late, must.Sprint(len(j.late)))
			must.SliceEmpty(t, j.back, must.Sprint(len(j.back)))
			must.True(t, enough(), must.Sprint("too few to judge"))
		})
	}
}
