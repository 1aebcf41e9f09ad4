package snipeadmission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
)

const second = time.Second

// strict runs a test on the paused clock with a Coordinator that lends one upstream of four slots strictly, and has
// taken over.
func strict(t *testing.T, maxRefusals int, test func(t *testing.T, c *testCoordinator)) {
	paused(t, func(t *testing.T, c *testCoordinator) {
		c.upstreams[0].Slots = 4
		c.Brittle = func() (int, bool) { return maxRefusals, true }
		c.Release(c.take(snipeadmission.Request{Instance: "i"}).ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
		test(t, c)
	})
}

// question returns a question of the coordinator's present term, as it would ask now.
func (c *testCoordinator) question() snipeadmission.Question { return snipeadmission.Question{} }

// free returns how many permits are granted at once. They are given back unused.
func (c *testCoordinator) free() int {
	var held []snipeadmission.Permit
	for {
		p, err := c.Acquire(c.t.Context(), snipeadmission.Request{Instance: "i", NoWait: true})
		if err != nil {
			break
		}
		held = append(held, p)
	}
	for _, p := range held {
		c.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
	}
	return len(held)
}

// sleep advances the clock by d in steps, in each of which a permit is asked for, so that the coordinator does not
// count as one that takes over.
func (c *testCoordinator) sleep(d time.Duration) {
	const step = 500 * ms
	for ; d > step; d -= step {
		time.Sleep(step)
		c.free()
	}
	time.Sleep(d)
}

// TestStrictTakeover guards against a coordinator that lends slots which another one has lent before its term, or which
// requests without a permit take, and against one that lends nothing while an instance gives no account.
func TestStrictTakeover(t *testing.T) {
	const takeoverTime, lost = 20 * second, 1500 * ms
	held := []snipeadmission.HeldPermit{{ID: 7, Upstream: "u", Left: 30 * second}, {ID: 8, Upstream: "u", Left: 30 * second}}
	tests := map[string]struct {
		// answer is the second instance's answer; nil for none.
		answer func(c *testCoordinator, q snipeadmission.Question)
		// free are the slots to be had at once, later those after the time.
		free, later int
		after       time.Duration
	}{
		"Nothing": {answer: func(c *testCoordinator, q snipeadmission.Question) {
			c.Account("j", q, snipeadmission.Account{Uptime: time.Minute})
		}, free: 4, later: 4},
		"Held": {answer: func(c *testCoordinator, q snipeadmission.Question) {
			c.Account("j", q, snipeadmission.Account{Uptime: time.Minute, Permits: held})
		}, free: 2, later: 2},
		"Outside": {answer: func(c *testCoordinator, q snipeadmission.Question) {
			c.Account("j", q, snipeadmission.Account{Uptime: time.Minute, Outside: map[string]int{"u": 3}})
		}, free: 1, later: 1},
		"StartedJustNow": {answer: func(c *testCoordinator, q snipeadmission.Question) {
			c.Account("j", q, snipeadmission.Account{Uptime: second})
		}, free: 0, later: 4, after: lost},
		"Gone":       {answer: func(c *testCoordinator, q snipeadmission.Question) { c.Gone("j", q) }, free: 0, later: 4, after: lost},
		"Unanswered": {free: 0, later: 4, after: takeoverTime},
		"LaterTerm": {answer: func(c *testCoordinator, q snipeadmission.Question) {
			c.Account("j", q, snipeadmission.Account{Superseded: true})
		}, free: 0, later: 4, after: takeoverTime},
		"FormerTerm": {answer: func(c *testCoordinator, q snipeadmission.Question) {
			c.Account("j", snipeadmission.Question{Fence: q.Fence - 1}, snipeadmission.Account{Uptime: time.Minute})
		}, free: 0, later: 4, after: takeoverTime},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			paused(t, func(t *testing.T, c *testCoordinator) {
				c.upstreams[0].Slots = 4
				c.Brittle = func() (int, bool) { return 3, true }
				term := snipeadmission.Term{Fence: 5, Since: time.Now()}
				c.Term = func() (snipeadmission.Term, bool) { return term, true }
				c.Members = func() []snipeadmission.Member { return []snipeadmission.Member{{Instance: "i"}, {Instance: "j"}} }
				must.Zero(t, c.free())
				asked := c.Questions()
				must.MapLen(t, 2, asked)
				c.Account("i", asked["i"], snipeadmission.Account{Uptime: time.Minute})
				if tt.answer != nil {
					tt.answer(c, asked["j"])
				}
				must.Eq(t, tt.free, c.free())
				time.Sleep(tt.after)
				must.Eq(t, tt.later, c.free())
			})
		})
	}
}

// TestStrictKnownPlaces guards against a coordinator that lends no place at all, or more than are known to be free, while
// an instance gives no account.
func TestStrictKnownPlaces(t *testing.T) {
	paused(t, func(t *testing.T, c *testCoordinator) {
		c.upstreams[0].Slots = 4
		c.Brittle = func() (int, bool) { return 3, true }
		term := snipeadmission.Term{Fence: 5, Since: time.Now()}
		c.Term = func() (snipeadmission.Term, bool) { return term, true }
		c.Members = func() []snipeadmission.Member { return []snipeadmission.Member{{Instance: "i"}, {Instance: "j"}} }
		must.Zero(t, c.free())
		c.Account("i", c.Questions()["i"], snipeadmission.Account{Uptime: time.Minute, Permits: []snipeadmission.HeldPermit{
			{ID: 7, Upstream: "u", Left: 30 * second}, {ID: 8, Upstream: "u", Left: 30 * second},
		}})
		must.Zero(t, c.free())
		c.Release(7, snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: 30 * ms})
		must.Eq(t, 1, c.free())
		time.Sleep(21 * second)
		must.Eq(t, 4, c.free(), must.Sprint("no permit lasts longer"))
	})
}

// TestStrictRight guards against a coordinator that lends without the right to, and against permits that it forgets
// when its right returns.
func TestStrictRight(t *testing.T) {
	paused(t, func(t *testing.T, c *testCoordinator) {
		c.upstreams[0].Slots = 4
		c.Brittle = func() (int, bool) { return 3, true }
		held := true
		c.Term = func() (snipeadmission.Term, bool) { return snipeadmission.Term{Fence: 1}, held }
		time.Sleep(25 * second)
		c.fill(3)
		held = false
		must.Zero(t, c.free())
		must.False(t, c.MayLend())
		held = true
		must.Eq(t, 1, c.free())
	})
}

// TestStrictSlots guards against more permits than slots while upstreams are brittle, whatever load they state, and
// against fewer once they no longer are.
func TestStrictSlots(t *testing.T) {
	strict(t, 3, func(t *testing.T, c *testCoordinator) {
		for range 50 {
			p := c.take(snipeadmission.Request{Instance: "i"})
			c.Release(p.ID, snipeadmission.Result{
				Outcome: snipeadmission.OutcomeServed, Took: 30 * ms, Load: &snipeadmission.Load{Running: 1, Slots: 4},
			})
		}
		must.Eq(t, 4, c.free())
		c.Brittle = func() (int, bool) { return 0, false }
		time.Sleep(20 * ms)
		must.Greater(t, 4, c.free())
	})
}

// TestStrictRefusal guards against an upstream that is sent as many requests as before although it has refused one,
// and against one that gets fewer for good. Where the second refusal in a second is a crash, the bound grows more
// slowly.
func TestStrictRefusal(t *testing.T) {
	tests := map[string]struct {
		maxRefusals int
		growth      time.Duration
	}{
		"Three": {3, second},
		"One":   {1, 2 * second},
		"Zero":  {0, 2 * second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			strict(t, tt.maxRefusals, func(t *testing.T, c *testCoordinator) {
				held := c.fill(3)
				c.Release(held[2].ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeRefused})
				must.Zero(t, c.free(), must.Sprint("paused"))
				for _, p := range held[:2] {
					c.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: 30 * ms})
				}
				time.Sleep(100 * ms)
				must.Eq(t, 2, c.free())
				c.sleep(tt.growth)
				must.Eq(t, 3, c.free())
				c.sleep(tt.growth)
				must.Eq(t, 4, c.free())
			})
		})
	}
}

// TestStrictUnpermitted guards against permits for slots that requests without one of this coordinator take, and
// against slots that such requests take after their end or that of their instance.
func TestStrictUnpermitted(t *testing.T) {
	strict(t, 3, func(t *testing.T, c *testCoordinator) {
		c.Account("a", c.question(), snipeadmission.Account{Outside: map[string]int{"u": 2, "unknown": 7}})
		c.Account("b", c.question(), snipeadmission.Account{Outside: map[string]int{"u": 1}})
		must.Eq(t, 1, c.free())
		c.Account("a", c.question(), snipeadmission.Account{})
		must.Eq(t, 3, c.free())
		c.sleep(second)
		must.Eq(t, 3, c.free(), must.Sprint("nothing tells that the request of instance b has ended"))
		c.Gone("b", c.question())
		must.Eq(t, 4, c.free())
	})
}

// TestStrictBroken guards against further requests to an upstream that has just broken an answer, also where others
// were served a moment before, and against a pause because of a request that broke while later ones were served.
func TestStrictBroken(t *testing.T) {
	tests := map[string]struct {
		took time.Duration
		free int
	}{
		"SentAfterServed":  {1 * ms, 0},
		"SentBeforeServed": {40 * ms, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			strict(t, 3, func(t *testing.T, c *testCoordinator) {
				held := c.fill(3)
				time.Sleep(40 * ms)
				c.Release(held[0].ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: 40 * ms})
				time.Sleep(2 * ms)
				c.Release(held[1].ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeSuspect, Took: tt.took})
				must.Eq(t, tt.free, c.free())
			})
		})
	}
}

// TestStrictAbandoned guards against the place of a request that an upstream still works on after its caller has
// left, and against one that stays taken.
func TestStrictAbandoned(t *testing.T) {
	strict(t, 3, func(t *testing.T, c *testCoordinator) {
		for range 20 {
			p := c.take(snipeadmission.Request{Instance: "i"})
			time.Sleep(100 * ms)
			c.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: 100 * ms})
		}
		p := c.take(snipeadmission.Request{Instance: "i"})
		c.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeCanceled, Took: 20 * ms})
		must.Eq(t, 3, c.free())
		c.Renew("i", []uint64{p.ID})
		time.Sleep(300 * ms)
		must.Eq(t, 4, c.free())
		must.Zero(t, c.Stats().Expired)
	})
}

// TestTooLarge guards against requests larger than the memory of the upstreams that each instance sends there to learn
// it, and against upstreams that count as full because of them.
func TestTooLarge(t *testing.T) {
	strict(t, 3, func(t *testing.T, c *testCoordinator) {
		p := c.take(snipeadmission.Request{Instance: "i", Tokens: 900})
		c.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeTooLarge})
		_, err := c.Acquire(t.Context(), snipeadmission.Request{Instance: "j", Tokens: 1000})
		must.ErrorIs(t, err, snipeadmission.ErrRefused)
		must.Eq(t, 4, c.free())
		c.take(snipeadmission.Request{Instance: "j", Tokens: 800})
		time.Sleep(30 * second)
		c.take(snipeadmission.Request{Instance: "j", Tokens: 1000})
	})
}
