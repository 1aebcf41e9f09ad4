package snipesoak

import (
	"context"
	"crypto/rand"
	"io"
	random "math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// crashTime is the instances' CrashTime setting.
	crashTime = 3 * time.Second
	// crashPause is the time between two copies of a request that crashes upstreams. They are sent for
	// extraCrashLength longer than other faults last, so that the audit can check the bound.
	crashPause       = 300 * time.Millisecond
	extraCrashLength = 8 * time.Second
	// crashDowntime is how long an upstream is down after a crash.
	crashDowntime = 1200 * time.Millisecond
	// mendInterval is the time between two attempts to open the link of an upstream that starts again.
	mendInterval = 20 * time.Millisecond
)

// crashUpstreams sends a request that crashes the upstreams that run it, again and again, to random
// instances.
func crashUpstreams(s *Soak, r *random.Rand, d time.Duration) string {
	kind, text := requestKinds[r.IntN(len(requestKinds))], "crash "+rand.Text()
	for n, u := range s.runners {
		link := s.cutter.Links[s.Instances+n].Listen
		u.CrashOn(text, func() { s.crashRunner(u, link) })
	}
	s.lock.Lock()
	s.crashTexts = append(s.crashTexts, text)
	s.lock.Unlock()
	var all sync.WaitGroup
	for end := time.Now().Add(d + extraCrashLength); time.Now().Before(end); time.Sleep(crashPause) {
		i := s.pickInstance(r)
		all.Go(func() { s.sendCrashing(i, kind, text, "") })
	}
	all.Wait()
	return kind.prefix
}

// sendCrashing sends a request that crashes upstreams by its text, or by a part of its prompt. It checks only that the caller is not
// told that the request was answered: the audit checks the rest.
func (s *Soak) sendCrashing(i *instance, k requestKind, text, part string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	id := rand.Text()
	q, err := s.newRequest(ctx, i, k, sent{id: id, path: "crash", body: text, key: key, part: part})
	if err != nil {
		s.breach("the soak itself", "%v", err)
		return
	}
	answer, err := s.do(q, k, id)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	if err == nil && answer.StatusCode == http.StatusOK {
		s.breach("what crashed is not answered", "%s", id)
	}
}

// crashRunner takes the link of an upstream down, and lets the upstream start again after
// crashDowntime.
func (s *Soak) crashRunner(u *runner, link netip.AddrPort) {
	if err := s.cutter.Cut(link, snipestand.CutDown); err != nil {
		s.breach("the soak itself", "crash: %v", err)
	}
	time.AfterFunc(crashDowntime, func() {
		u.StartAgain()
		for s.cutter.Cut(link, snipestand.CutNone) != nil {
			time.Sleep(mendInterval)
		}
	})
}

// crashRule returns the breaches of the bound on requests that crash upstreams.
type crashRule func(all []snipestand.CrashRecord, bound time.Duration, excused func(a snipestand.CrashArrival) bool) []string

// auditCrashes checks that each request that crashed upstreams was refused in time.
func (s *Soak) auditCrashes() {
	for _, text := range s.crashTexts {
		of := func(u *runner) snipestand.CrashRecord { return u.CrashesOn(text) }
		s.auditCrash("what crashes upstreams is refused", text, of, snipestand.CrashBreaches)
	}
}

// auditCrash checks the records of a text, or of a part of prompts, by a rule. Requests through an instance that was
// disturbed less than disturbanceGrace before are excused.
func (s *Soak) auditCrash(promise, name string, recordOf func(u *runner) snipestand.CrashRecord, rule crashRule) {
	excused := func(a snipestand.CrashArrival) bool { return s.disturbed(s.senders[a.ID], a.At) }
	var records []snipestand.CrashRecord
	for _, u := range s.runners {
		records = append(records, recordOf(u))
	}
	for _, breach := range rule(records, crashTime, excused) {
		s.breach(promise, "%s: %s", name, breach)
	}
}
