package snipeadmission_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
)

// pacer returns a Pacer without jitter for an upstream of six slots that ten instances share: 12
// requests a second at the assumed time of 50 ms a request.
func pacer(upstreams ...string) *snipeadmission.Pacer {
	return &snipeadmission.Pacer{
		Upstreams: func() []snipeadmission.Upstream {
			var all []snipeadmission.Upstream
			for _, id := range upstreams {
				all = append(all, snipeadmission.Upstream{ID: id, Slots: slots})
			}
			return all
		},
		Instances: func() int { return 10 },
		Random:    func() float64 { return 0.5 },
	}
}

// TestPacerRate guards against an instance on its own that keeps up its rate although the upstream
// refuses, or that never raises it again. The load is a request as soon as the one before was sent.
func TestPacerRate(t *testing.T) {
	outcomes := map[string]struct {
		result   snipeadmission.Result
		low, top int // requests in ten seconds
	}{
		"Served":      {snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: 50 * ms}, 250, 1200},
		"Failed":      {snipeadmission.Result{Outcome: snipeadmission.OutcomeFailed}, 115, 125},
		"Refused":     {snipeadmission.Result{Outcome: snipeadmission.OutcomeRefused, RetryAfter: 10 * ms}, 3, 40},
		"Unreachable": {snipeadmission.Result{Outcome: snipeadmission.OutcomeUnreachable}, 2, 20},
	}
	for name, test := range outcomes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, n := pacer("u"), 0
				for began := time.Now(); time.Since(began) < 10*time.Second; n++ {
					id, err := p.Acquire(t.Context(), snipeadmission.Request{})
					must.NoError(t, err)
					p.Release(id, test.result)
				}
				must.Between(t, test.low, n, test.top)
				must.Zero(t, p.Stats().PermitsOut)
			})
		})
	}
}

// TestPacerWaits guards against waits beyond the deadline, against refusals that come late or name no
// time, and against counts that are lost when a context ends. The load is 200 requests at once.
func TestPacerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, began := pacer("u"), time.Now()
		errs := make(chan error, 200)
		for n := range cap(errs) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(100+n)*ms)
			go func() {
				defer cancel()
				_, err := p.Acquire(ctx, snipeadmission.Request{Deadline: began.Add(800 * ms)})
				if errors.Is(err, snipeadmission.ErrRefused) {
					must.Zero(t, time.Since(began))
				}
				errs <- err
			}()
			synctest.Wait()
		}
		time.Sleep(time.Second)
		var sent, withdrawn, refused uint64
		for range cap(errs) {
			var refusal *snipeadmission.RefusedError
			switch err := <-errs; {
			case err == nil:
				sent++
			case errors.As(err, &refusal):
				must.Positive(t, refusal.RetryAfter)
				refused++
			default:
				must.ErrorIs(t, err, context.DeadlineExceeded)
				withdrawn++
			}
		}
		must.Eq(t, snipeadmission.Stats{PermitsOut: int(sent), Granted: sent, Withdrawn: withdrawn, Refused: refused}, p.Stats())
		must.Positive(t, sent)
		must.Positive(t, refused)
	})
}

// TestPacerAfterPause guards against all requests that wait for the end of an upstream's pause being
// sent at that moment.
func TestPacerAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, began := pacer("u"), time.Now()
		id, err := p.Acquire(t.Context(), snipeadmission.Request{})
		must.NoError(t, err)
		p.Release(id, snipeadmission.Result{Outcome: snipeadmission.OutcomeRefused, RetryAfter: 3 * time.Second})
		var atOnce atomic.Int32
		for range 30 {
			go func() {
				_, err := p.Acquire(t.Context(), snipeadmission.Request{})
				must.NoError(t, err)
				if time.Since(began) < 3*time.Second+50*ms {
					atOnce.Add(1)
				}
			}()
		}
		time.Sleep(10 * time.Second)
		must.Between(t, 1, atOnce.Load(), 3)
		must.Eq(t, uint64(31), p.Stats().Granted)
	})
}

// TestPacerUpstreams guards against requests to an upstream that has left, to one that has just
// refused the request, and without any upstream.
func TestPacerUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var upstreams atomic.Value
		p := pacer()
		p.Upstreams = func() []snipeadmission.Upstream { return upstreams.Load().([]snipeadmission.Upstream) }
		upstreams.Store([]snipeadmission.Upstream{{ID: "u", Slots: slots}, {ID: "v", Slots: slots}})
		got := ""
		for _, excluded := range []string{"u", "v", "u"} {
			id, err := p.Acquire(t.Context(), snipeadmission.Request{Excluded: []string{excluded}})
			must.NoError(t, err)
			got += id
		}
		must.Eq(t, "vuv", got)
		time.Sleep(time.Second)
		left := time.Now().Add(100 * ms)
		for range 20 {
			go func() {
				id, err := p.Acquire(t.Context(), snipeadmission.Request{})
				must.NoError(t, err)
				must.False(t, id == "u" && time.Now().After(left))
			}()
		}
		time.Sleep(time.Until(left))
		upstreams.Store([]snipeadmission.Upstream{{ID: "v", Slots: slots}})
		time.Sleep(5 * time.Second)
		must.Eq(t, uint64(23), p.Stats().Granted)
		upstreams.Store([]snipeadmission.Upstream{})
		_, err := p.Acquire(t.Context(), snipeadmission.Request{})
		must.ErrorIs(t, err, snipeadmission.ErrRefused)
	})
}
