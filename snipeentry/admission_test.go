package snipeentry

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeproto"
)

// TestPermitsShared guards against more requests at an upstream than its slots and the excess, and
// against permits that are not given back.
func TestPermitsShared(t *testing.T) {
	inNetwork(t, 8, 4, func(t *testing.T, w *admissionNetwork, _ []*admissionInstance) {
		var all sync.WaitGroup
		for n := range 160 {
			all.Go(func() {
				_, err := w.instances[n%8].run(t.Context(), serviceTime)
				must.NoError(t, err)
			})
			time.Sleep(8 * time.Millisecond)
		}
		all.Wait()
		w.mustSettle(t)
		for id, most := range w.most {
			must.LessEq(t, 5, most, must.Sprint(id))
		}
	})
}

// TestCoordinatorFails guards against requests that are lost, sent without a right, or wait for long
// because their coordinator ended, froze or was cut off, against one line in the log for each such
// request, and against a coordinator that is not asked again when it answers again.
func TestCoordinatorFails(t *testing.T) {
	tests := map[string]struct {
		fail, recover func(n, caller *admissionInstance)
		// wait is the longest wait of the first request after the failure.
		wait time.Duration
	}{
		"Ends": {
			func(n, _ *admissionInstance) { n.set(func(n *admissionInstance) { n.ended = true }) },
			func(n, _ *admissionInstance) { n.set(func(n *admissionInstance) { n.ended = false }) },
			5 * time.Millisecond,
		},
		"Freezes": {
			func(n, _ *admissionInstance) { n.freeze(true) },
			func(n, _ *admissionInstance) { n.freeze(false) },
			permitTimeout + 5*time.Millisecond,
		},
		"CutOff": {
			func(n, caller *admissionInstance) { n.set(func(n *admissionInstance) { n.cutOff[caller] = true }) },
			func(n, caller *admissionInstance) { n.set(func(n *admissionInstance) { n.cutOff[caller] = false }) },
			permitTimeout + 5*time.Millisecond,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inNetwork(t, 4, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
				first, second, caller := order[0], order[1], order[3]
				p, err := caller.run(t.Context(), serviceTime)
				must.NoError(t, err)
				must.Eq(t, caller.name(first.Self), p.Coordinator)
				tt.fail(first, caller)
				var all sync.WaitGroup
				for n := range 10 {
					all.Go(func() {
						time.Sleep(time.Duration(n) * 20 * time.Millisecond)
						begun := time.Now()
						p, err := caller.run(t.Context(), serviceTime)
						must.NoError(t, err)
						must.Eq(t, caller.name(second.Self), p.Coordinator)
						must.LessEq(t, tt.wait+serviceTime, time.Since(begun))
					})
				}
				all.Wait()
				must.Eq(t, 1, caller.count("CoordinatorLost"))
				must.Eq(t, 0, caller.count("PacingBegun"))
				tt.recover(first, caller)
				time.Sleep(lostPause)
				p, err = caller.run(t.Context(), serviceTime)
				must.NoError(t, err)
				must.Eq(t, caller.name(first.Self), p.Coordinator)
				must.Eq(t, 3, caller.count("CoordinatorChanged"))
			})
		})
	}
}

// TestLossBeyondDeadline guards against requests that wait beyond their deadlines for a frozen
// coordinator, and against a coordinator that never counts as lost because the deadlines of all
// requests are shorter than a call for a permit.
func TestLossBeyondDeadline(t *testing.T) {
	inNetwork(t, 4, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		caller := order[3]
		order[0].freeze(true)
		const deadline = 200 * time.Millisecond
		for n := range 4 {
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			p, err := caller.acquire(ctx, plainService, snipeadmission.Request{Deadline: begun.Add(deadline)})
			cancel()
			must.LessEq(t, deadline, time.Since(begun))
			if n < 2 {
				must.ErrorIs(t, err, context.DeadlineExceeded)
				continue
			}
			must.NoError(t, err)
			must.Eq(t, caller.name(order[1].Self), p.Coordinator)
			releaseUnused(p)
		}
	})
}

// recordingClient records the ages of the requests that it asks permits for.
type recordingClient struct {
	snipeproto.Admission
	ages *[]int64
}

// Acquire implements snipeproto.Admission.
func (c recordingClient) Acquire(ctx context.Context, m *snipeproto.AdmissionAcquireRequest) (*snipeproto.AdmissionAcquireResponse, error) {
	*c.ages = append(*c.ages, m.GetAgeMilliseconds())
	return c.Admission.Acquire(ctx, m)
}

// TestPlaceAfterLoss guards against a request that loses its place when its coordinator is lost.
func TestPlaceAfterLoss(t *testing.T) {
	inNetwork(t, 4, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		caller, reach := order[3], order[3].Client
		var ages []int64
		caller.Client = func(to netip.AddrPort) snipeproto.Admission { return recordingClient{reach(to), &ages} }
		order[0].freeze(true)
		_, err := caller.run(t.Context(), 0)
		must.NoError(t, err)
		must.Eq(t, []int64{0, permitTimeout.Milliseconds()}, ages)
	})
}

// TestLostRenewal guards against permits that end although their requests still run because one
// renewal was lost, at any time between two renewals at which they are granted.
func TestLostRenewal(t *testing.T) {
	for lost := range 4 {
		for phase := range 6 {
			inBubble(t, func(t *testing.T) {
				w := newAdmissionNetwork(3, 1)
				first, caller := w.ranked()[0], w.ranked()[2]
				var all sync.WaitGroup
				all.Go(func() { _, _ = caller.run(t.Context(), 1800*time.Millisecond) })
				time.Sleep(time.Duration(phase)*renewInterval/6 + linkDelay)
				for n := range 6 {
					first.set(func(i *admissionInstance) { i.cutOff[caller] = n == lost })
					caller.renew(t.Context())
					synctest.Wait()
					first.set(func(n *admissionInstance) { n.cutOff[caller] = false })
					time.Sleep(renewInterval)
				}
				all.Wait()
				must.Eq(t, 0, first.count("PermitExpired"), must.Sprint(lost, phase))
			})
		}
	}
}

// TestProbeOfLostCoordinator guards against requests that all wait for a lost coordinator each time
// that its pause has passed: one of them finds out whether it answers.
func TestProbeOfLostCoordinator(t *testing.T) {
	inNetwork(t, 4, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		caller := order[3]
		order[0].freeze(true)
		_, err := caller.run(t.Context(), 0)
		must.NoError(t, err)
		time.Sleep(lostPause)
		slow := 0
		for range 20 {
			begun := time.Now()
			_, err := caller.run(t.Context(), 0)
			must.NoError(t, err)
			if time.Since(begun) > permitTimeout/2 {
				slow++
			}
		}
		must.Eq(t, 1, slow)
		must.Eq(t, 1, caller.count("CoordinatorLost"))
	})
}

// TestPacing guards against requests that are sent without a right, refused, or wait for long when
// no coordinator can be reached, and against pacing that does not end.
func TestPacing(t *testing.T) {
	inNetwork(t, 4, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		caller := order[3]
		cutOff := func(on bool) {
			for _, n := range order[:3] {
				n.freeze(on)
			}
		}
		cutOff(true)
		for n := range 10 {
			begun := time.Now()
			p, err := caller.run(t.Context(), serviceTime)
			must.NoError(t, err)
			must.Eq(t, "", p.Coordinator)
			if n > 0 {
				must.LessEq(t, requestDeadline, time.Since(begun))
			}
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, 1, caller.count("PacingBegun"))
		must.Eq(t, 2, caller.count("CoordinatorLost"))
		cutOff(false)
		time.Sleep(lostPause)
		p, err := caller.run(t.Context(), serviceTime)
		must.NoError(t, err)
		must.NotEq(t, "", p.Coordinator)
		must.Eq(t, 1, caller.count("PacingEnded"))
	})
}

// TestLostAnswer guards against a slot that stays lent for longer than the permit's lifetime because
// the answer with the permit was lost.
func TestLostAnswer(t *testing.T) {
	inNetwork(t, 3, 1, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		first, caller := order[0], order[2]
		first.set(func(n *admissionInstance) { n.lossy = true })
		begun := time.Now()
		p, err := caller.run(t.Context(), 0)
		must.NoError(t, err)
		must.Eq(t, caller.name(order[1].Self), p.Coordinator)
		must.Eq(t, 1, first.out())
		time.Sleep(time.Second + permitWait - time.Since(begun))
		must.Eq(t, 0, first.out())
		must.Eq(t, 1, first.count("PermitExpired"))
		must.StrContains(t, first.log.String(), `"Holder":"`+caller.Self.String()+`"`)
	})
}

// TestHolderFreezes guards against slots that stay lent for longer than the permits' lifetime after
// the instance that holds the permits has stopped answering, and against permits that end although
// their requests still run.
func TestHolderFreezes(t *testing.T) {
	inNetwork(t, 3, 1, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		first, caller := order[0], order[2]
		ctx, stop := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() {
			for ctx.Err() == nil {
				caller.renew(ctx)
				time.Sleep(renewInterval)
			}
		})
		all.Go(func() { _, _ = caller.run(t.Context(), 10*time.Second) })
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, first.out())
		must.Eq(t, 0, first.count("PermitExpired"))
		stop()
		time.Sleep(time.Second + renewInterval)
		must.Eq(t, 0, first.out())
		all.Wait()
	})
}

// TestPermitAfterFreeze guards against permits of requests that have given up while the coordinator's
// process was frozen, and for itself against a request that is sent with a permit that has ended.
func TestPermitAfterFreeze(t *testing.T) {
	inNetwork(t, 1, 1, func(t *testing.T, w *admissionNetwork, _ []*admissionInstance) {
		l := w.instances[0].Lender
		freeze := 2 * time.Second
		l.Upstreams = func(service string) []*snipedirectory.Upstream {
			time.Sleep(freeze)
			freeze = 0
			return w.service(service)
		}
		r := snipeadmission.Request{Instance: w.instances[0].Self.String(), Deadline: time.Now().Add(time.Minute)}
		_, err := l.acquire(t.Context(), plainService, r)
		must.ErrorIs(t, err, snipeadmission.ErrStillWaiting)
		out, _ := l.stats()
		must.Eq(t, 0, out)
		_, err = l.acquire(t.Context(), plainService, r)
		must.NoError(t, err)
	})
}

// TestHolderGone guards against slots that stay lent until the permits end although the view of the
// live instances shows that their holder is gone.
func TestHolderGone(t *testing.T) {
	inNetwork(t, 3, 1, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		first, holder := order[0], order[2]
		first.Lender.forget(first.view().Live)
		_, err := holder.acquire(t.Context(), plainService, snipeadmission.Request{Deadline: time.Now().Add(requestDeadline)})
		must.NoError(t, err)
		must.Eq(t, 1, first.out())
		first.drop(holder.Self)
		first.Lender.forget(first.view().Live)
		must.Eq(t, 0, first.out())
	})
}

// TestUpstreamLeavesWithPermits guards against permits for an upstream that has left, and against
// requests that wait on although another upstream has room.
func TestUpstreamLeavesWithPermits(t *testing.T) {
	inNetwork(t, 3, 2, func(t *testing.T, w *admissionNetwork, order []*admissionInstance) {
		caller := order[2]
		var all sync.WaitGroup
		for range 6 {
			all.Go(func() { _, _ = caller.run(t.Context(), serviceTime) })
		}
		time.Sleep(serviceTime / 2)
		w.leave("p1")
		for _, n := range w.instances {
			n.Lender.refresh(&snipedirectory.Snapshot{})
		}
		for range 20 {
			all.Go(func() {
				p, err := caller.run(t.Context(), serviceTime)
				must.NoError(t, err)
				must.Eq(t, "p2", p.Upstream)
			})
		}
		all.Wait()
		synctest.Wait()
		must.LessEq(t, 4, w.most["p2"]) // two slots, and at most as many permits beyond them
		must.Eq(t, 0, w.running["p1"])
	})
}

// TestCallerLeavesWhileWaiting guards against a permit for a request whose caller has left, and
// against such a request's place in the queue that blocks those behind it.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	inNetwork(t, 3, 1, func(t *testing.T, w *admissionNetwork, order []*admissionInstance) {
		for _, caller := range order {
			var all sync.WaitGroup
			for range 8 { // four permits are out, two of them for places in the upstreams' queues
				all.Go(func() {
					_, err := caller.run(t.Context(), 200*time.Millisecond)
					must.NoError(t, err)
				})
			}
			time.Sleep(10 * time.Millisecond)
			ctx, leave := context.WithCancel(t.Context())
			all.Go(func() {
				_, err := caller.run(ctx, 0)
				must.ErrorIs(t, err, context.Canceled)
			})
			time.Sleep(20 * time.Millisecond)
			leave()
			all.Go(func() {
				_, err := caller.run(t.Context(), 0)
				must.NoError(t, err)
			})
			all.Wait()
			w.mustSettle(t)
		}
	})
}

// TestCoordinatorStops guards against requests that are lost or refused because they wait in the
// queue of a coordinator whose planned stop begins, and against a loss that is logged for it.
func TestCoordinatorStops(t *testing.T) {
	inNetwork(t, 4, 1, func(t *testing.T, w *admissionNetwork, order []*admissionInstance) {
		first, caller := order[0], order[3]
		var all sync.WaitGroup
		for _, n := range []*admissionInstance{first, caller} {
			for range 6 {
				all.Go(func() {
					_, err := n.run(t.Context(), 100*time.Millisecond)
					must.NoError(t, err)
				})
			}
		}
		time.Sleep(20 * time.Millisecond)
		first.set(func(n *admissionInstance) { n.stopping = true })
		p, err := caller.run(t.Context(), 0)
		must.NoError(t, err)
		must.Eq(t, caller.name(order[1].Self), p.Coordinator)
		all.Wait()
		w.mustSettle(t)
		must.Eq(t, 0, caller.count("CoordinatorLost"))
		must.Eq(t, 0, first.count("CoordinatorLost"))
	})
}

// TestTwoCoordinators guards against requests that are lost, and permits given back to the wrong
// instance, while two views of the live instances name two coordinators. Each of the two lends all
// slots at most.
func TestTwoCoordinators(t *testing.T) {
	inNetwork(t, 6, 4, func(t *testing.T, w *admissionNetwork, order []*admissionInstance) {
		for _, n := range order[3:] {
			n.drop(order[0].Self)
		}
		var all sync.WaitGroup
		for i := range 60 {
			all.Go(func() {
				_, err := order[i%6].run(t.Context(), serviceTime)
				must.NoError(t, err)
			})
			time.Sleep(5 * time.Millisecond)
		}
		all.Wait()
		w.mustSettle(t)
		must.Eq(t, order[:2], lenders(order))
		for _, most := range w.most {
			must.LessEq(t, 10, most)
		}
	})
}
