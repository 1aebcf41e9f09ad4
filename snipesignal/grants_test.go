package snipesignal_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipesignal"
)

const (
	// sumLimit is the limit that is divided, sumPart the part of it that follows need.
	sumLimit, sumPart = 20.0, 0.72 * 20.0
	// sumSteps is the number of steps of a play, sumStep the time of one.
	sumSteps, sumStep = 1500, 20 * time.Millisecond
)

// needRun is a play of instances that ask one of them for shares.
type needRun struct {
	random *rand.Rand
	grants []snipesignal.Grants
	busy   []atomic.Bool
	// issuer has the right to issue in the term with this fence, since then. crowded has nearly all callers.
	issuer  atomic.Pointer[snipesignal.Issuer]
	fence   uint64
	since   time.Time
	crowded int
}

// disturb moves the callers and the right to issue, now and then.
func (r *needRun) disturb() {
	switch r.random.IntN(400) {
	case 0:
		r.crowded = r.random.IntN(len(r.grants))
	case 1:
		r.issuer.Store(&snipesignal.Issuer{})
		r.fence, r.since = r.fence+1, time.Now()
	}
}

// delay returns the time of a message.
func (r *needRun) delay() time.Duration { return time.Duration(r.random.IntN(400)) * time.Millisecond }

// ask has an instance ask for a share.
func (r *needRun) ask(n int) {
	r.busy[n].Store(true)
	there, back, lost, asked := r.delay(), r.delay(), r.random.IntN(20) == 0, time.Now()
	held, _ := r.grants[n].PerSecond("u")
	ask := snipesignal.Ask{Upstream: "u", Limit: sumLimit, Need: 0.3, Held: held}
	if n == r.crowded {
		ask.Need = sumLimit
	}
	to, fence, since := r.issuer.Load(), r.fence, r.since
	r.grants[n].Promise("u")
	go func() {
		defer r.busy[n].Store(false)
		time.Sleep(there)
		if to != r.issuer.Load() {
			return // its right has ended
		}
		g, ok := to.Issue(fmt.Sprint(n), ask, fence, since, len(r.grants))
		time.Sleep(back)
		switch {
		case lost:
		case ok:
			r.grants[n].Set("u", g, asked)
		default:
			r.grants[n].Refused("u")
		}
	}()
}

// sum returns the shares of all instances in the part that follows need.
func (r *needRun) sum() float64 {
	sum := 0.0
	for n := range r.grants {
		perSecond, promised := r.grants[n].PerSecond("u")
		if sum += perSecond; !promised {
			sum += sumPart / float64(len(r.grants))
		}
	}
	return sum
}

// TestIssuedSum guards against instances that together use more of a limit than is divided by need, while messages are
// late or lost, the right to issue moves, and the callers go from instance to instance.
func TestIssuedSum(t *testing.T) {
	for _, instances := range []int{3, 9, 66, 300} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(instances, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playNeed(t, instances, seed) })
			})
		}
	}
}

func playNeed(t *testing.T, instances int, seed uint64) {
	r := &needRun{
		random: rand.New(rand.NewPCG(seed, 58)), grants: make([]snipesignal.Grants, instances), busy: make([]atomic.Bool, instances),
		fence: 1, since: time.Now(),
	}
	r.issuer.Store(&snipesignal.Issuer{})
	most := 0.0
	for range sumSteps {
		r.disturb()
		for n := range instances {
			if !r.busy[n].Load() && r.random.IntN(10) == 0 {
				r.ask(n)
			}
		}
		time.Sleep(sumStep)
		synctest.Wait()
		sum := r.sum()
		must.LessEq(t, sumPart+1e-9, sum)
		most = max(most, sum)
	}
	must.Greater(t, sumPart/2, most, must.Sprint("the part is used"))
	time.Sleep(time.Second)
}

// TestDivideByNeed guards against an instance that gets nearly all callers and may use only its even share of a limit,
// and against one without an issuer that may use none.
func TestDivideByNeed(t *testing.T) {
	alone := snipesignal.DivideByNeed(20, 9, 0, 0)
	must.Greater(t, 0, alone.Interval)
	crowded := snipesignal.DivideByNeed(20, 9, 0, 14.4)
	must.Less(t, 70*time.Millisecond, crowded.Interval)
	must.Less(t, 70*time.Millisecond, snipesignal.DivideByNeed(20, 300, 299, 14.4).Interval)
}
