package snipeentry_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// maxBrittleRefusals is the number of refusals in a second that an upstream of a brittle cluster bears.
	maxBrittleRefusals = 3
	// minBrittleServed is the least fraction served, of what is offered or of what the upstreams can serve if
	// that is less.
	minBrittleServed = 0.75
	// brittleTime is how long requests are sent after the upstreams let fewer wait.
	brittleTime = 6 * time.Second
	// fullQueue and shortQueue are how many requests upstreams let wait before they are brittle and after.
	fullQueue, shortQueue = 8, 1
	// brittleTook is the time that a request takes. It bounds the processor time of the test: eight cases of six
	// instances run at a time, under the race detector.
	brittleTook = 400 * time.Millisecond
	// brittleDeadline is how long callers wait, brittleTarget the latency target of the routes.
	brittleDeadline, brittleTarget = 3 * time.Second, time.Second
	// promptRefusals is the fraction of the refused callers who are told so within the latency target. Requests
	// that wait while a coordinator is lost are told later.
	promptRefusals = 0.8
	// maxUnreached is the largest fraction of the requests whose instances are not there, as they restart.
	maxUnreached = 0.25
	// brittleStreamTime is the time that the events of an answer take.
	brittleStreamTime = 30 * time.Millisecond
	// leaveTime is when callers leave that do not wait.
	leaveTime = 150 * time.Millisecond
	// brittleMemory is the memory of upstreams in tokens, largeTokens the size of requests that exceed it, largePause
	// the time between two of them.
	brittleMemory, largeTokens = 10_000, "12000,20"
	largePause                 = 100 * time.Millisecond
)

// brittleLoad is a load on brittle upstreams.
type brittleLoad struct {
	instances int
	// offered is the number of requests, as a multiple of what the upstreams can serve.
	offered float64
	// engines has requests for adapters of engines sent, in place of those to a plain service.
	engines bool
	// hidesLoad is set if the upstreams do not state their load.
	hidesLoad bool
	// skewed has nine tenths of the requests sent to the first instance.
	skewed bool
	// slots are the slots of each upstream, took the time of a request there; four and brittleTook if empty.
	slots []int
	took  []time.Duration
	// spread is how much shorter or longer than took requests are, linger how long upstreams go on with a request
	// whose caller has left.
	spread, linger time.Duration
	// deadline is how long callers wait, target the latency target; brittleDeadline and brittleTarget if zero.
	deadline, target time.Duration
	// clump is how many callers come at the same moment; one if zero.
	clump int
	// peerDelay is how much later messages arrive, at the instances for which delays returns true, given the name of
	// the one that coordinates; at all if it is nil.
	peerDelay time.Duration
	delays    func(instance, coordinator string) bool
	// leaving is the number of callers of which one leaves after leaveTime; none if zero.
	leaving int
	// large has ten requests a second sent that are larger than the memory of all upstreams.
	large bool
	// queue is how many requests upstreams let wait while they are brittle.
	queue int
	// during is called when a third of brittleTime has passed, with the instances that have started, and
	// returns those to which requests are sent from then on; nil for no change.
	during func(s *testCluster, all []*instance) []*instance
	// meanwhile is called at the same moment, and requests are sent while it runs.
	meanwhile func(s *testCluster, all []*instance)
}

// playBrittle plays a load and judges it: the upstreams are brittle from a second on, and let fewer requests wait from
// the contact time after that.
func playBrittle(t *testing.T, l *brittleLoad) {
	l.fill()
	s, all := startBrittleCluster(t, l)
	s.sendBrittle(l, all, time.Second)
	for _, r := range s.runners {
		r.SetBrittle(maxBrittleRefusals)
	}
	s.sendBrittle(l, all, contactTime)
	if l.delays != nil {
		s.delaySome(l, all)
	}
	for _, r := range s.runners {
		r.SetQueue(l.queue)
	}
	s.judgedFrom = len(s.logged())
	got := s.sendBrittle(l, all, brittleTime/3)
	if l.during != nil {
		all = l.during(s, all)
	}
	var changes sync.WaitGroup
	if l.meanwhile != nil {
		changes.Go(func() { l.meanwhile(s, slices.Clone(all)) })
	}
	got.add(s.sendBrittle(l, all, brittleTime*2/3))
	changes.Wait()
	s.judgeBrittle(l, got)
}

// delaySome delays the messages of the instances for which the load wants it.
func (s *testCluster) delaySome(l *brittleLoad, all []*instance) {
	coordinator := ""
	for line := range strings.Lines(s.logged()) {
		var event struct{ Name, Service, Coordinator string }
		if json.Unmarshal([]byte(line), &event) == nil && event.Name == "CoordinatorChanged" && event.Service == "plain" {
			coordinator = event.Coordinator
		}
	}
	for _, i := range all {
		if l.delays(i.Settings.Name, coordinator) {
			i.delay.Store(int64(l.peerDelay))
		}
	}
}

// fill sets what a load leaves out.
func (l *brittleLoad) fill() {
	if l.slots == nil {
		l.slots = []int{4, 4, 4, 4}
	}
	for len(l.took) < len(l.slots) {
		l.took = append(l.took, brittleTook)
	}
	l.deadline = cmp.Or(l.deadline, brittleDeadline)
	l.target = cmp.Or(l.target, brittleTarget)
	l.clump = max(l.clump, 1)
}

// capacity returns how many requests a second the upstreams can serve.
func (l *brittleLoad) capacity() float64 {
	sum := 0.0
	for n, slots := range l.slots {
		sum += float64(slots) / l.took[n].Seconds()
	}
	return sum
}

// judgeBrittle checks the crashes, and how many requests of the time in which the upstreams let fewer wait were
// served. The platform allows two crashes and a tenth of the upstreams' number.
func (s *testCluster) judgeBrittle(l *brittleLoad, got *brittleCounts) {
	s.t.Helper()
	crashes, refused := 0, 0
	for _, r := range s.runners {
		crashes += r.BrittleCrashes()
		_, n := r.Occupancy()
		refused += n
	}
	capacity := l.capacity()
	if l.leaving > 0 {
		capacity -= capacity / float64(l.leaving)
	}
	possible := int(math.Min(float64(got.sent-got.unreached), capacity*got.lasted.Seconds()))
	s.t.Logf(s.t.Name()+": %d served of %d possible and %d sent, %d refused, %d of them promptly; %d refused by upstreams, %d crashes",
		got.served, possible, got.sent, got.refused, got.prompt, refused, crashes)
	if s.t.Failed() || got.served < int(minBrittleServed*float64(possible)) {
		s.t.Log(s.refusalReasons())
	}
	test.LessEq(s.t, int(maxUnreached*float64(got.sent)), got.unreached, test.Sprint("not reached"))
	test.LessEq(s.t, 2+len(l.slots)/10, crashes, test.Sprint("crashes"))
	test.GreaterEq(s.t, int(minBrittleServed*float64(possible)), got.served, test.Sprint("served"))
	test.GreaterEq(s.t, int(promptRefusals*float64(got.refused)), got.prompt, test.Sprint("told promptly that they are refused"))
	test.Eq(s.t, got.refused, got.named, test.Sprint("refused with a time to return"))
}

// refusalReasons counts the refused requests of the judged time by the reason that the instances have logged.
func (s *testCluster) refusalReasons() map[string]int {
	all := make(map[string]int)
	for line := range strings.Lines(s.logged()[s.judgedFrom:]) {
		var l struct{ Name, Error string }
		if json.Unmarshal([]byte(line), &l) == nil && (strings.HasPrefix(l.Name, "Request") || l.Name == "CoordinatorLost") {
			all[l.Name+" "+l.Error]++
		}
	}
	return all
}

// brittleCounts counts requests by how they ended.
type brittleCounts struct {
	lock         sync.Mutex // guards the fields below
	sent, served int
	// unreached counts those that got no answer, for lack of the instance that they were sent to.
	unreached int
	// lasted is the time until the last reply.
	lasted time.Duration
	// refused counts those answered 503, prompt those of them within the latency target, and named those with a time
	// to return.
	refused, prompt, named int
}

// record counts the reply to a request, which is prompt if it took at most the target.
func (c *brittleCounts) record(a reply, took, target time.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	switch {
	case a.err != nil:
		c.unreached++
	case a.status == http.StatusOK:
		c.served++
	case a.status == http.StatusServiceUnavailable:
		c.refused++
		if took <= target {
			c.prompt++
		}
		if a.header.Get("Retry-After") != "" {
			c.named++
		}
	}
}

func (c *brittleCounts) add(other *brittleCounts) {
	c.lasted += other.lasted
	c.sent += other.sent
	c.unreached += other.unreached
	c.served += other.served
	c.refused += other.refused
	c.prompt += other.prompt
	c.named += other.named
}

// startBrittleCluster starts upstreams and instances, and waits until these serve.
func startBrittleCluster(t *testing.T, l *brittleLoad) (*testCluster, []*instance) {
	var runners []*snipestand.Runner
	for n := range l.slots {
		r := &snipestand.Runner{ID: fmt.Sprint("u", n), Service: "plain", HidesLoad: l.hidesLoad}
		if l.engines {
			r.Service, r.Model = "engines", "base"
		}
		runners = append(runners, r)
	}
	s := startTestCluster(t, brittleStreamTime/6, runners, func(r *snipestand.Runner) {
		server := &snipestand.RunnerServer{Runner: r, Downtime: crashDowntime}
		must.NoError(t, server.Start())
		t.Cleanup(server.Close)
	})
	s.target = l.target
	s.declare(1)
	for n, r := range runners {
		took := l.took[n]
		if l.engines {
			took -= brittleStreamTime
		}
		r.SetCapacity(l.slots[n], fullQueue, took)
		r.SetSpread(l.spread, l.linger)
		r.SetMemory(brittleMemory)
	}
	var all []*instance
	for n := range l.instances {
		if l.peerDelay > 0 {
			s.peerDelay = &messageDelay{}
		}
		if l.delays == nil && l.peerDelay > 0 {
			s.peerDelay.Store(int64(l.peerDelay))
		}
		all = append(all, s.start(fmt.Sprint("i", n)))
		all[n].delay = s.peerDelay
	}
	for n, i := range all {
		eventually(t, i.isReady)
		eventually(t, func() bool { return s.sendOneBrittle(l, i, n).status == http.StatusOK })
	}
	return s, all
}

// brittleAdapters is the number of adapters that requests to engines name.
const brittleAdapters = 6

// sendOneBrittle sends the nth request of a load to an instance.
func (s *testCluster) sendOneBrittle(l *brittleLoad, i *instance, n int) reply {
	body, deadline := strings.Repeat("x", n%7), fmt.Sprint(l.deadline.Milliseconds())
	if l.engines {
		a, _ := send(s.t, i.url, http.MethodPost, "/draft/x", body, deadlineHeader, deadline, modelHeader, fmt.Sprint("base/a", n%brittleAdapters))
		return a
	}
	a, _ := send(s.t, i.url, http.MethodPost, "/often/x", body, deadlineHeader, deadline)
	return a
}

// sendLeaving sends a request whose caller leaves after leaveTime.
func (s *testCluster) sendLeaving(l *brittleLoad, i *instance) {
	ctx, cancel := context.WithTimeout(s.t.Context(), leaveTime)
	defer cancel()
	target, header := "/often/x", []string{deadlineHeader, fmt.Sprint(l.deadline.Milliseconds())}
	if l.engines {
		target, header = "/draft/x", append(header, modelHeader, "base/a0")
	}
	_, _ = sendContext(ctx, s.t, i.url, http.MethodPost, target, "", header...)
}

// sendLarge sends requests that no upstream has memory for, until the given time. None of them may be served.
func (s *testCluster) sendLarge(l *brittleLoad, all []*instance, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		target, header := "/often/x", []string{deadlineHeader, fmt.Sprint(l.deadline.Milliseconds()), "X-Snipepitch-Token-Usage", largeTokens}
		if l.engines {
			target, header = "/draft/x", append(header, modelHeader, "base/a0")
		}
		a, _ := send(s.t, all[n%len(all)].url, http.MethodPost, target, "", header...)
		test.NotEq(s.t, http.StatusOK, a.status)
		time.Sleep(largePause)
	}
}

// sendBrittle sends requests to the instances for a time, and returns how they ended.
func (s *testCluster) sendBrittle(l *brittleLoad, all []*instance, length time.Duration) *brittleCounts {
	got := &brittleCounts{}
	var callers sync.WaitGroup
	pause := time.Duration(float64(time.Second) / (l.offered * l.capacity()))
	begun := time.Now()
	if l.large {
		callers.Go(func() { s.sendLarge(l, all, begun.Add(length)) })
	}
	for n := 0; time.Since(begun) < length; n++ {
		if l.leaving > 0 && n%l.leaving == 0 {
			callers.Go(func() { s.sendLeaving(l, all[n%len(all)]) })
			time.Sleep(time.Until(begun.Add(time.Duration(n+1) * pause)))
			continue
		}
		got.sent++
		i := all[n%len(all)]
		if l.skewed && n%10 != 0 {
			i = all[0]
		}
		callers.Go(func() {
			at := time.Now()
			a := s.sendOneBrittle(l, i, n)
			got.record(a, time.Since(at), l.target)
		})
		if (n+1)%l.clump == 0 {
			time.Sleep(time.Until(begun.Add(time.Duration(n+1) * pause)))
		}
	}
	callers.Wait()
	got.lasted = time.Since(begun)
	return got
}

const deadlineHeader = "X-Snipepitch-Deadline-Ms"
