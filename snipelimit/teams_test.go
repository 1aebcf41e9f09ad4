package snipelimit

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipetree"
)

// fixed returns a Teams.Limit function that returns l for every team.
func fixed(l snipetree.Limit) func(string) snipetree.Limit {
	return func(string) snipetree.Limit { return l }
}

// TestAdmit guards against calls admitted above a limit, refusals below one, and
// refusals without a retry delay. One instance enforces the whole limit.
func TestAdmit(t *testing.T) {
	bulk := map[snipecall.Class]snipetree.ClassLimit{snipecall.Bulk: {Concurrent: 1}}
	tests := map[string]struct {
		limit    snipetree.Limit
		class    snipecall.Class
		calls    int
		admitted int
	}{
		"no limit":           {snipetree.Limit{}, snipecall.Standard, 50, 50},
		"concurrent":         {snipetree.Limit{Concurrent: 3}, snipecall.Standard, 50, 3},
		"rate":               {snipetree.Limit{PerSecond: 10}, snipecall.Standard, 50, 10},
		"limit of a class":   {snipetree.Limit{Concurrent: 3, Classes: bulk}, snipecall.Bulk, 50, 1},
		"other class":        {snipetree.Limit{Concurrent: 3, Classes: bulk}, snipecall.Status, 50, 3},
		"below one a second": {snipetree.Limit{PerSecond: 0.5}, snipecall.Standard, 50, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				teams := &Teams{Limit: fixed(test.limit), Instances: func() int { return 1 }}
				admitted := 0
				for range test.calls {
					_, err := teams.Admit(newCall("a", test.class, time.Minute))
					if err == nil {
						admitted++
						continue
					}
					must.ErrorIs(t, err, snipeerror.ErrLimited)
					must.GreaterEq(t, minRetry, snipeerror.From(err).RetryAfter)
				}
				must.Eq(t, test.admitted, admitted)
			})
		})
	}
}

// TestAdmitReleases guards against calls that count after their release, and
// against accounts that are kept after their team has become idle.
func TestAdmitReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		teams := &Teams{Limit: fixed(snipetree.Limit{Concurrent: 1}), Instances: func() int { return 1 }}
		teams.Announce = func(string, float64, time.Duration) {}
		for range 3 {
			release, err := teams.Admit(newCall("a", snipecall.Standard, time.Minute))
			must.NoError(t, err)
			release()
		}
		time.Sleep(10 * time.Minute)
		teams.Step()
		must.MapEmpty(t, teams.accounts, must.Sprint("a team without demand is kept"))
	})
}

// deployment is a set of instances that enforce one limit. Each instance receives the
// announcements of the others a second after they were sent.
type deployment struct {
	instances []*Teams
	pending   []float64 // fractional calls not yet sent, by instance
	admitted  []int     // admitted calls of all instances, by second
}

// newDeployment returns n instances that enforce limit calls per second.
func newDeployment(n int, limit float64, seconds int) *deployment {
	d := &deployment{instances: make([]*Teams, n), pending: make([]float64, n), admitted: make([]int, seconds)}
	for i := range d.instances {
		d.instances[i] = &Teams{Limit: fixed(snipetree.Limit{PerSecond: limit}), Instances: func() int { return n }}
		d.instances[i].Announce = func(team string, demand float64, ttl time.Duration) {
			time.AfterFunc(time.Second, func() {
				for j, o := range d.instances {
					if j != i {
						o.RecordDemand(team, strconv.Itoa(i), demand, ttl)
					}
				}
			})
		}
	}
	return d
}

// arrive adds calls, which may be fractional, to the pending calls of instance i,
// and sends the whole ones.
func (d *deployment) arrive(i, second int, calls float64) {
	d.pending[i] += calls
	for ; d.pending[i] >= 1; d.pending[i]-- {
		release, err := d.instances[i].Admit(newCall("a", snipecall.Standard, time.Minute))
		if err == nil {
			d.admitted[second]++
			release()
		}
	}
}

// sharing runs n instances for 100 s on a simulated clock, with the demand, in
// calls per second, that demand returns for an instance and a time. It returns the
// admitted calls of all instances as a percentage of the limit, from second 20 on:
// the mean, and the minimum and maximum of any 10 s. The instances announce their
// demand only if announce is set.
func sharing(t *testing.T, n int, limit float64, announce bool, demand func(instance int, at time.Duration) float64) (mean, least, most float64) {
	const length = 100
	const tick = 50 * time.Millisecond
	synctest.Test(t, func(*testing.T) {
		d := newDeployment(n, limit, length)
		for at := time.Duration(0); at < length*time.Second; at += tick {
			for i, teams := range d.instances {
				d.arrive(i, int(at/time.Second), demand(i, at)*tick.Seconds())
				if announce && at%time.Second == 0 {
					teams.Step()
				}
			}
			time.Sleep(tick)
		}
		time.Sleep(time.Minute)
		mean, least, most = d.percentages(20, limit)
	})
	return mean, least, most
}

// percentages returns the admitted calls as a percentage of the limit, from
// second from on: the mean, and the minimum and maximum of any 10 s.
func (d *deployment) percentages(from int, limit float64) (mean, least, most float64) {
	const window = 10
	least = 1e9
	total := 0
	for s := from; s < len(d.admitted); s++ {
		total += d.admitted[s]
		if s+window > len(d.admitted) {
			continue
		}
		sum := 0
		for _, a := range d.admitted[s : s+window] {
			sum += a
		}
		percent := 100 * float64(sum) / (window * limit)
		least, most = min(least, percent), max(most, percent)
	}
	return 100 * float64(total) / (float64(len(d.admitted)-from) * limit), least, most
}

// TestMeasureSharing measures how far the calls that all instances admit deviate
// from their common limit. It guards against shares that do not follow the demand,
// so that the instances together admit too little or too much.
func TestMeasureSharing(t *testing.T) {
	even := func(int, time.Duration) float64 { return 40 }
	single := func(i int, _ time.Duration) float64 {
		if i == 0 {
			return 300
		}
		return 0
	}
	moving := func(i int, at time.Duration) float64 {
		if i == 0 && at < 40*time.Second || i == 7 && at >= 40*time.Second {
			return 300
		}
		return 0
	}
	tests := []struct {
		name   string
		n      int
		limit  float64
		demand func(int, time.Duration) float64
		low    float64 // lower bound of the mean
	}{
		{"8 instances, even", 8, 100, even, 95},
		{"8 instances, all at one", 8, 100, single, 95},
		{"8 instances, moves from one to another", 8, 100, moving, 85},
		{"8 instances, even, limit 4/s", 8, 4, even, 90},
		{"340 instances, even, limit 1000/s", 340, 1000, func(int, time.Duration) float64 { return 8 }, 95},
	}
	t.Log("Table: demand of 300/s and more against a team's limit of 100/s unless stated; admitted of the limit in percent")
	t.Log("| case | sharing | mean | least in 10 s | most in 10 s |")
	t.Log("|---|---|---|---|---|")
	for _, test := range tests {
		for _, announce := range []bool{false, true} {
			mean, least, most := sharing(t, test.n, test.limit, announce, test.demand)
			t.Logf("| %s | %s | %.0f | %.0f | %.0f |", test.name,
				map[bool]string{false: "even", true: "by announced demand"}[announce], mean, least, most)
			if announce {
				must.GreaterEq(t, test.low, mean)
				must.LessEq(t, 115, mean)
			}
		}
	}
}
