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

func fixed(l snipetree.Limit) func(string) snipetree.Limit {
	return func(string) snipetree.Limit { return l }
}

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
				k := &Teams{Limit: fixed(test.limit), Instances: func() int { return 1 }}
				admitted := 0
				for range test.calls {
					_, err := k.Admit(newCall("a", test.class, time.Minute))
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

func TestAdmitReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &Teams{Limit: fixed(snipetree.Limit{Concurrent: 1}), Instances: func() int { return 1 }}
		k.Announce = func(string, float64, time.Duration) {}
		for range 3 {
			release, err := k.Admit(newCall("a", snipecall.Standard, time.Minute))
			must.NoError(t, err)
			release()
		}
		time.Sleep(10 * time.Minute)
		k.Step()
		must.MapEmpty(t, k.accounts, must.Sprint("a team without demand is kept"))
	})
}

// deployment is some instances that enforce one limit.
type deployment struct {
	all      []*Teams
	owed     []float64
	admitted []int // by second
}

func newDeployment(n int, limit float64, seconds int) *deployment {
	d := &deployment{all: make([]*Teams, n), owed: make([]float64, n), admitted: make([]int, seconds)}
	for i := range d.all {
		d.all[i] = &Teams{Limit: fixed(snipetree.Limit{PerSecond: limit}), Instances: func() int { return n }}
		d.all[i].Announce = func(team string, demand float64, ttl time.Duration) {
			time.AfterFunc(time.Second, func() {
				for j, o := range d.all {
					if j != i {
						o.Hear(team, strconv.Itoa(i), demand, ttl)
					}
				}
			})
		}
	}
	return d
}

// arrive sends the calls that are due at an instance.
func (d *deployment) arrive(i, second int, calls float64) {
	d.owed[i] += calls
	for ; d.owed[i] >= 1; d.owed[i]-- {
		release, err := d.all[i].Admit(newCall("a", snipecall.Standard, time.Minute))
		if err == nil {
			d.admitted[second]++
			release()
		}
	}
}

// sharing runs n instances with the given demand of each, in calls a second at
// a time, and returns what all admitted in a second of the limit, in percent,
// from second 20 on: the mean, the least and the most in any 10 s.
func sharing(t *testing.T, n int, limit float64, announce bool, demand func(instance int, at time.Duration) float64) (mean, least, most float64) {
	const length = 100
	const tick = 50 * time.Millisecond
	synctest.Test(t, func(*testing.T) {
		d := newDeployment(n, limit, length)
		for at := time.Duration(0); at < length*time.Second; at += tick {
			for i, k := range d.all {
				d.arrive(i, int(at/time.Second), demand(i, at)*tick.Seconds())
				if announce && at%time.Second == 0 {
					k.Step()
				}
			}
			time.Sleep(tick)
		}
		time.Sleep(time.Minute)
		mean, least, most = d.parts(20, limit)
	})
	return mean, least, most
}

// parts returns what was admitted of the limit from a second on, in percent.
func (d *deployment) parts(from int, limit float64) (mean, least, most float64) {
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
		part := 100 * float64(sum) / (window * limit)
		least, most = min(least, part), max(most, part)
	}
	return 100 * float64(total) / (float64(len(d.admitted)-from) * limit), least, most
}

// TestMeasureSharing is the error of a limit that many instances enforce.
func TestMeasureSharing(t *testing.T) {
	even := func(int, time.Duration) float64 { return 40 }
	one := func(i int, _ time.Duration) float64 {
		if i == 0 {
			return 300
		}
		return 0
	}
	moves := func(i int, at time.Duration) float64 {
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
		low    float64 // the least mean
	}{
		{"8 instances, even", 8, 100, even, 95},
		{"8 instances, all at one", 8, 100, one, 95},
		{"8 instances, moves from one to another", 8, 100, moves, 85},
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
