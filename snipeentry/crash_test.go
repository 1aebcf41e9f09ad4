package snipeentry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// crashText is the text in a body that crashes the upstreams of a crash cluster.
	crashText = "crash the upstream"
	// crashDowntime is how long an upstream is down after a crash.
	crashDowntime = 1500 * time.Millisecond
	// crashBound is the time after the third crash from which on a request that crashes upstreams
	// must not be sent on.
	crashBound = 3 * time.Second
	// crashPause is the time between two copies of the request that crashes upstreams, innocentPause
	// that between two others.
	crashPause    = 300 * time.Millisecond
	innocentPause = 25 * time.Millisecond
	// repeatedBodies is the number of bodies that a quarter of the other requests share.
	repeatedBodies = 5
	// recoveryTime is when after the third crash all upstreams serve again: the request that crashes
	// them is refused by then, and the last one that it crashed has started again.
	recoveryTime = crashBound + crashDowntime + 2*time.Second
)

// newCrashCluster starts eight engines and four plain upstreams that crash when they run a request
// whose body contains crashText. whileDown is what their addresses do until they start again.
func newCrashCluster(t *testing.T, whileDown snipestand.DownMode) *testCluster {
	var runners []*snipestand.Runner
	for n := range 8 {
		runners = append(runners, &snipestand.Runner{ID: fmt.Sprint("e", n), Service: "engines", Model: "base"})
	}
	for n := range 4 {
		runners = append(runners, &snipestand.Runner{ID: fmt.Sprint("p", n), Service: "plain"})
	}
	return startTestCluster(t, 5*time.Millisecond, runners, func(r *snipestand.Runner) {
		server := &snipestand.RunnerServer{Runner: r, CrashText: crashText, Downtime: crashDowntime, WhileDown: whileDown}
		must.NoError(t, server.Start())
		t.Cleanup(server.Close)
	})
}

// crashRecords returns what upstreams have observed of requests with crashText, and the times of the
// crashes in order.
func (s *testCluster) crashRecords() (all []snipestand.CrashRecord, crashes []time.Time) {
	for _, r := range s.runners {
		record := r.CrashesOn(crashText)
		all = append(all, record)
		crashes = append(crashes, record.Crashes...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return all, crashes
}

// timedReply is a reply and when its request was sent.
type timedReply struct {
	reply
	at time.Time
}

// replies collects replies. It is safe for concurrent use.
type replies struct {
	lock sync.Mutex // guards all
	all  []timedReply
}

func (r *replies) add(t timedReply) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.all = append(r.all, t)
}

// answeredFrom returns how many of the requests that were sent after a time were answered with status
// 200, and how many there were.
func (r *replies) answeredFrom(from time.Time) (answered, all int) {
	for _, a := range r.all {
		if !a.at.After(from) {
			continue
		}
		all++
		if a.status == http.StatusOK {
			answered++
		}
	}
	return answered, all
}

// sendCrashing sends a request that crashes upstreams to the instances in turn, beside innocent
// requests, a quarter of which have one of repeatedBodies bodies. It returns all replies.
func sendCrashing(t *testing.T, instances []*instance, target string, length time.Duration, header ...string) (crashing, innocent *replies) {
	crashing, innocent = &replies{}, &replies{}
	var all sync.WaitGroup
	post := func(to *replies, n int, body string) {
		i := instances[n%len(instances)]
		all.Go(func() {
			at := time.Now()
			a, _ := send(t, i.url, http.MethodPost, target, body, header...)
			to.add(timedReply{a, at})
		})
	}
	begun := time.Now()
	nextCrash, copies := begun, 0
	for n := 0; time.Since(begun) < length; n++ {
		if now := time.Now(); !now.Before(nextCrash) {
			nextCrash = nextCrash.Add(crashPause)
			post(crashing, copies, crashText)
			copies++
		}
		body := "innocent " + strconv.Itoa(n)
		if n%4 == 0 {
			body = "repeated " + strconv.Itoa(n/4%repeatedBodies)
		}
		post(innocent, n, body)
		time.Sleep(innocentPause)
	}
	all.Wait()
	return crashing, innocent
}

// TestCrashingRequestRefused guards against instances that send a request on without bound although
// it crashes each upstream that runs it, and against innocent callers that are refused for it.
func TestCrashingRequestRefused(t *testing.T) {
	tests := map[string]struct {
		target    string
		whileDown snipestand.DownMode
		header    []string
	}{
		"Often":       {"/often/x", snipestand.DownRefuses, nil},
		"Once":        {"/once/x", snipestand.DownRefuses, nil},
		"Resumable":   {"/draft/x", snipestand.DownRefuses, []string{modelHeader, "base"}},
		"Final":       {"/final/x", snipestand.DownRefuses, []string{modelHeader, "base"}},
		"Adapter":     {"/draft/x", snipestand.DownRefuses, []string{modelHeader, "base/a1"}},
		"OftenCloses": {"/often/x", snipestand.DownCloses, nil},
		"FinalCloses": {"/final/x", snipestand.DownCloses, []string{modelHeader, "base"}},
		"OftenResets": {"/often/x", snipestand.DownResets, nil},
		"FinalResets": {"/final/x", snipestand.DownResets, []string{modelHeader, "base"}},
		"OftenSilent": {"/often/x", snipestand.DownSilent, nil},
		"FinalSilent": {"/final/x", snipestand.DownSilent, []string{modelHeader, "base"}},
		"OftenFails":  {"/often/x", snipestand.DownFails, nil},
		"FinalFails":  {"/final/x", snipestand.DownFails, []string{modelHeader, "base"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCrashCluster(t, tt.whileDown)
			s.declare(1)
			instances := []*instance{s.start("one"), s.start("two"), s.start("three")}
			for _, i := range instances {
				waitServing(t, i)
			}
			waitPeersKnown(t, instances)
			for _, i := range instances {
				// Requests for adapters are refused until the engines have owners.
				eventually(t, func() bool {
					a, _ := send(t, i.url, http.MethodPost, tt.target, "first", tt.header...)
					return a.status == http.StatusOK
				})
			}
			_, innocent := sendCrashing(t, instances, tt.target, 12*time.Second, tt.header...)
			records, crashes := s.crashRecords()
			must.GreaterEq(t, 3, len(crashes), must.Sprint("the request crashes upstreams"))
			answered, all := innocent.answeredFrom(crashes[2].Add(recoveryTime))
			inAll, sent := innocent.answeredFrom(time.Time{})
			t.Logf("%d crashes, %d of %d innocent requests answered, %d of %d after the recovery", len(crashes), inAll, sent, answered, all)
			breaches := snipestand.CrashBreaches(records, crashBound, nil)
			test.SliceEmpty(t, breaches, test.Sprint(breaches))
			test.Eq(t, all, answered, test.Sprint("innocent requests that were answered"))
		})
	}
}

// TestRefusalOutlastsStop guards against a request that crashes upstreams again after all instances
// were killed at once, and against a refusal that does not say when to come back.
func TestRefusalOutlastsStop(t *testing.T) {
	t.Parallel()
	s := newCrashCluster(t, snipestand.DownRefuses)
	s.declare(1)
	instances := []*instance{s.start("one"), s.start("two"), s.start("three")}
	for _, i := range instances {
		waitServing(t, i)
	}
	waitPeersKnown(t, instances)
	sendCopy := func(i *instance) reply {
		a, _ := send(t, i.url, http.MethodPost, "/often/x", crashText)
		return a
	}
	isRefused := func(i *instance) bool {
		after, err := strconv.ParseFloat(sendCopy(i).header.Get("Retry-After"), 64)
		return err == nil && after > 3000
	}
	for _, i := range instances {
		eventually(t, func() bool { return isRefused(i) })
	}
	eventually(t, func() bool { return s.store.Rows("quarantine") == 1 })
	_, before := s.crashRecords()
	for _, i := range instances {
		i.kill()
		t.Log("killed:", <-i.ended)
	}
	again := s.start("four")
	waitServing(t, again)
	must.True(t, isRefused(again))
	must.Eq(t, http.StatusServiceUnavailable, sendCopy(again).status)
	_, after := s.crashRecords()
	must.Eq(t, len(before), len(after), must.Sprint("crashes"))
}
