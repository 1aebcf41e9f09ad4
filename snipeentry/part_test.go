package snipeentry_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
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
	// crashPart is the part of a prompt that crashes the engines of a part cluster, sharedPart the first part of
	// nearly all prompts.
	crashPart, sharedPart = "dead", "aa"
	// partPause is the time between two requests with crashPart, soundPause that between two sound ones.
	partPause, soundPause = 300 * time.Millisecond, 25 * time.Millisecond
	// partTime is how long requests are sent.
	partTime = 16 * time.Second
	// partRecovery is the time after the fifth crash from which on sound requests are judged, minPartServed the
	// fraction of them that must be answered.
	partRecovery  = 2 * contactTime
	minPartServed = 0.95
	// soundSessions is the number of middle parts that sound requests share.
	soundSessions = 12
	partsHeader   = "X-Snipepitch-Prompt-Prefix"
	usageHeader   = "X-Snipepitch-Token-Usage"
)

// partCluster is a cluster of six engines that crash when they begin to write an answer on crashPart.
type partCluster struct {
	*testCluster
	servers []*snipestand.RunnerServer
	lock    sync.Mutex // guards instances
	// instances are those to which requests are sent.
	instances []*instance
}

func newPartCluster(t *testing.T, instances int, downtime time.Duration) *partCluster {
	var runners []*snipestand.Runner
	for n := range 6 {
		runners = append(runners, &snipestand.Runner{ID: fmt.Sprint("e", n), Service: "engines", Model: "base"})
	}
	c := &partCluster{}
	c.testCluster = startTestCluster(t, 10*time.Millisecond, runners, func(r *snipestand.Runner) {
		server := &snipestand.RunnerServer{Runner: r, CrashPart: crashPart, Downtime: downtime}
		must.NoError(t, server.Start())
		t.Cleanup(server.Close)
		c.servers = append(c.servers, server)
	})
	c.declare(1)
	for _, r := range runners {
		r.SetCapacity(32, 32, 60*time.Millisecond)
	}
	for n := range instances {
		c.instances = append(c.instances, c.start(fmt.Sprint("i", n)))
	}
	for _, i := range c.instances {
		eventually(t, i.isReady)
		eventually(t, func() bool { return c.sendPrompt(i, "/draft/x", "first", sharedPart).status == http.StatusOK })
	}
	waitPeersKnown(t, c.instances)
	return c
}

// sendPrompt sends a request whose prompt has the given parts, and one of its own.
func (c *partCluster) sendPrompt(i *instance, target, body string, parts ...string) reply {
	var prefix strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&prefix, "%s:100,", part)
	}
	fmt.Fprintf(&prefix, "%x:50", rand.Uint64())
	a, _ := send(c.t, i.url, http.MethodPost, target, body, modelHeader, "base", usageHeader, "350,6", partsHeader, prefix.String())
	return a
}

// pick returns the instance for the nth request.
func (c *partCluster) pick(n int) *instance {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.instances[n%len(c.instances)]
}

func (c *partCluster) setInstances(all []*instance) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.instances = all
}

// crashes returns the records of crashPart, and the times of its crashes in order.
func (c *partCluster) crashes() (records []snipestand.CrashRecord, crashes []time.Time) {
	for _, r := range c.runners {
		record := r.CrashesOnPart(crashPart)
		records = append(records, record)
		crashes = append(crashes, record.Crashes...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return records, crashes
}

// sendSound sends sound requests of several kinds for a time. All kinds hold sharedPart.
func (c *partCluster) sendSound(length time.Duration) *replies {
	sound := &replies{}
	var callers sync.WaitGroup
	for n, begun := 0, time.Now(); time.Since(begun) < length; n++ {
		callers.Go(func() {
			at := time.Now()
			parts := []string{sharedPart}
			if n%3 != 0 {
				parts = append(parts, fmt.Sprintf("5e%02x", n%soundSessions))
			}
			a := c.sendPrompt(c.pick(n), "/draft/x", fmt.Sprint("sound ", n), parts...)
			sound.add(timedReply{a, at})
		})
		time.Sleep(soundPause)
	}
	callers.Wait()
	return sound
}

// sendCrashingParts sends requests with crashPart for a time: at first a burst of them, then one each partPause. No two
// are alike, but that each is sent so often in a row.
func (c *partCluster) sendCrashingParts(burst, copies int, length time.Duration) {
	targets := []string{"/draft/x", "/draft/y", "/final/x"}
	var callers sync.WaitGroup
	for n, begun := 0, time.Now(); time.Since(begun) < length; n++ {
		callers.Go(func() {
			text := n / max(copies, 1)
			parts := []string{sharedPart, crashPart}
			if text%2 == 1 {
				parts = []string{sharedPart, crashPart, fmt.Sprintf("cc%x", text)}
			}
			c.sendPrompt(c.pick(n), targets[text%len(targets)], fmt.Sprint("crashing ", text), parts...)
		})
		if n >= burst {
			time.Sleep(partPause)
		}
	}
	callers.Wait()
}

// TestCrashingPartRefused guards against requests that crash engine after engine because one part of their prompts
// does, whatever else they hold, and against sound callers that are refused because their prompts share the other
// parts.
func TestCrashingPartRefused(t *testing.T) {
	tests := map[string]struct {
		instances int
		// burst is how many requests with crashPart are sent at once first. Sound ones are sent for before until then.
		burst  int
		before time.Duration
		// copies is how often each request with crashPart is sent; once if it is zero.
		copies int
		// downtime is how long an engine is down after a crash; crashDowntime if it is zero.
		downtime time.Duration
		// during is called after the third crash.
		during func(c *partCluster)
	}{
		"Three": {instances: 3},
		"Seven": {instances: 7},
		"Burst": {instances: 3, burst: 8},
		// Each request is refused by its fingerprint before the part is.
		"SentAgain": {instances: 3, copies: 4},
		// All engines are down for long before any of the requests that run beside the crashing ones is answered.
		"AllDown": {instances: 3, burst: 12, before: 11 * time.Second, downtime: 4 * time.Second},
		"Killed": {instances: 5, during: func(c *partCluster) {
			first := c.pick(0)
			c.setInstances(c.instances[1:])
			first.kill()
		}},
		"Started": {instances: 3, during: func(c *partCluster) {
			i := c.start("late")
			eventually(c.t, i.isReady)
			c.setInstances(append(c.instances[:2:2], i))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newPartCluster(t, tt.instances, cmp.Or(tt.downtime, crashDowntime))
			c.sendSound(tt.before)
			var sound *replies
			var senders sync.WaitGroup
			senders.Go(func() { sound = c.sendSound(partTime) })
			senders.Go(func() { c.sendCrashingParts(tt.burst, tt.copies, partTime) })
			if tt.during != nil {
				eventually(t, func() bool { _, crashes := c.crashes(); return len(crashes) >= 3 })
				tt.during(c)
			}
			senders.Wait()
			records, crashes := c.crashes()
			must.GreaterEq(t, 3, len(crashes), must.Sprint("the part crashes engines"))
			last := crashes[min(len(crashes), 5)-1]
			answered, all := sound.answeredFrom(last.Add(partRecovery))
			inAll, sent := sound.answeredFrom(time.Time{})
			t.Logf("%s: %d crashes, %d of %d sound requests answered, %d of %d after the recovery", t.Name(), len(crashes), inAll, sent, answered, all)
			breaches := snipestand.PartCrashBreaches(records, crashBound, nil)
			test.SliceEmpty(t, breaches, test.Sprint(breaches))
			test.GreaterEq(t, int(minPartServed*float64(all)), answered, test.Sprint("sound requests that were answered"))
			test.Positive(t, all)
		})
	}
}

// TestSoundPartsNotBlamed guards against parts of prompts that are refused because engines crash for other reasons:
// one after the other, several at once, or all at once.
func TestSoundPartsNotBlamed(t *testing.T) {
	tests := map[string]struct {
		// together is how many engines crash at a time, pause the time between two times.
		together int
		pause    time.Duration
	}{
		"InTurn": {1, 300 * time.Millisecond},
		"Half":   {3, 2 * time.Second},
		"All":    {6, 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newPartCluster(t, 3, crashDowntime)
			var sound *replies
			var senders sync.WaitGroup
			senders.Go(func() { sound = c.sendSound(partTime) })
			for n, begun := 0, time.Now(); time.Since(begun) < partTime/2; n += tt.together {
				for k := range tt.together {
					c.servers[(n+k)%len(c.servers)].Crash()
				}
				time.Sleep(tt.pause)
			}
			calm := time.Now().Add(crashDowntime + 2*time.Second)
			senders.Wait()
			answered, all := sound.answeredFrom(calm)
			t.Logf("%s: %d of %d sound requests answered after the crashes", t.Name(), answered, all)
			test.Eq(t, all, answered)
			test.False(t, strings.Contains(c.logged(), `"Name":"FingerprintRefused","Part":true`))
		})
	}
}

const (
	// manyPartsTime is how long requests with many parts are sent, manyPartsPause the time between two sound ones.
	manyPartsTime, manyPartsPause = 14 * time.Second, 50 * time.Millisecond
	// historyWait is how long sound requests are sent first, so that the instances know the parts that are answered.
	historyWait = 11 * time.Second
)

// sendLong sends requests for a time whose prompts have the given shared parts: sound ones and, if crashing is not nil,
// others, whose parts crashing returns.
func (c *partCluster) sendLong(length time.Duration, shared []string, crashing func(n int) []string) *replies {
	sound := &replies{}
	var callers sync.WaitGroup
	nextCrashing := time.Now()
	for n, begun := 0, time.Now(); time.Since(begun) < length; n++ {
		if crashing != nil && time.Now().After(nextCrashing) {
			nextCrashing = nextCrashing.Add(partPause)
			callers.Go(func() { c.sendPrompt(c.pick(n), "/draft/x", fmt.Sprint("crashing ", n), crashing(n)...) })
		}
		callers.Go(func() {
			at := time.Now()
			sound.add(timedReply{c.sendPrompt(c.pick(n), "/draft/x", fmt.Sprint("sound ", n), shared...), at})
		})
		time.Sleep(manyPartsPause)
	}
	callers.Wait()
	return sound
}

// TestCrashingPartAnywhere guards against a part that goes on crashing engines because so many others stand before it in
// the prompt, or beside it, and against sound callers who share all these.
func TestCrashingPartAnywhere(t *testing.T) {
	tests := map[string]struct {
		// position is the place of crashPart among the parts that all prompts share, which are so many.
		position, shared int
		// fillers is how many parts of its own each request with crashPart has before it.
		fillers int
		// cold is set if engines crash from the beginning on, before any instance knows the parts that are answered.
		cold bool
	}{
		"First":    {position: 0, shared: 20},
		"16th":     {position: 15, shared: 20},
		"17th":     {position: 16, shared: 20},
		"60th":     {position: 59, shared: 60},
		"1000th":   {position: 998, shared: 998},
		"Cold":     {position: 400, shared: 800, cold: true},
		"Fillers":  {position: 30, shared: 40, fillers: 500},
		"FillCold": {position: 30, shared: 40, fillers: 500, cold: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newPartCluster(t, 3, crashDowntime)
			shared := make([]string, tt.shared)
			for n := range shared {
				shared[n] = fmt.Sprintf("5ba%05x", n)
			}
			if !tt.cold {
				c.sendLong(historyWait, shared, nil)
			}
			sound := c.sendLong(manyPartsTime, shared, func(n int) []string {
				parts := slices.Clone(shared[:tt.position])
				for k := range tt.fillers {
					parts = append(parts, fmt.Sprintf("f%x-%x", n, k))
				}
				return append(append(parts, crashPart), shared[tt.position:]...)
			})
			records, crashes := c.crashes()
			must.GreaterEq(t, 3, len(crashes), must.Sprint("the part crashes engines"))
			last := crashes[min(len(crashes), 5)-1]
			answered, all := sound.answeredFrom(last.Add(partRecovery))
			t.Logf("%s: %d crashes, %d of %d sound requests answered after the recovery", t.Name(), len(crashes), answered, all)
			breaches := snipestand.PartCrashBreaches(records, crashBound, nil)
			test.SliceEmpty(t, breaches, test.Sprint(breaches))
			test.GreaterEq(t, int(minPartServed*float64(all)), answered, test.Sprint("sound requests that were answered"))
			test.Positive(t, all)
		})
	}
}
