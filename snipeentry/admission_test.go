package snipeentry

import (
	"bytes"
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
)

const (
	plainService = "plain"
	// linkDelay is the one-way delay between two instances.
	linkDelay = 500 * time.Microsecond
	// serviceTime is the time of a request at an upstream, requestDeadline that of its caller.
	serviceTime     = 50 * time.Millisecond
	requestDeadline = 2 * time.Second
)

// admissionNetwork is a number of instances that share the upstreams of one service. Their messages
// are passed in memory.
type admissionNetwork struct {
	instances []*admissionInstance

	lock      sync.Mutex // guards the fields below
	upstreams []*snipedirectory.Upstream
	running   map[string]int // requests with a permit or a pacer's consent, by upstream
	most      map[string]int // the highest number that ran, by upstream
}

// admissionInstance is one instance.
type admissionInstance struct {
	*admission
	network *admissionNetwork
	log     bytes.Buffer

	lock sync.Mutex // guards the fields below
	// ended instances refuse connections, frozen ones do not answer, and lossy ones handle messages
	// whose answers are lost. cutOff holds the instances whose messages do not arrive here.
	ended, frozen, lossy, stopping bool
	cutOff                         map[*admissionInstance]bool
	members                        []snipeowner.Instance // the instances of its view
}

// Write implements io.Writer for the log.
func (n *admissionInstance) Write(p []byte) (int, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.log.Write(p)
}

func (n *admissionInstance) count(event string) int {
	n.lock.Lock()
	defer n.lock.Unlock()
	return strings.Count(n.log.String(), `"Name":"`+event+`"`)
}

// set changes the state of an instance.
func (n *admissionInstance) set(change func(n *admissionInstance)) {
	n.lock.Lock()
	defer n.lock.Unlock()
	change(n)
}

func (n *admissionInstance) freeze(on bool) { n.set(func(n *admissionInstance) { n.frozen = on }) }

// drop removes another instance from the instance's view.
func (n *admissionInstance) drop(peer netip.AddrPort) {
	n.set(func(n *admissionInstance) {
		n.members = slices.DeleteFunc(slices.Clone(n.members), func(m snipeowner.Instance) bool { return m.Peer == peer })
	})
}

func (n *admissionInstance) isStopping() bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.stopping
}

func (n *admissionInstance) view() *snipeowner.View {
	n.lock.Lock()
	defer n.lock.Unlock()
	v := &snipeowner.View{Live: make(map[netip.AddrPort]snipeowner.Instance), Ranked: n.members}
	for _, m := range n.members {
		v.Live[m.Peer] = m
	}
	return v
}

// newAdmissionNetwork returns instances that share two upstreams with the given number of slots. It
// is called in a bubble of synctest.
func newAdmissionNetwork(count, slots int) *admissionNetwork {
	w := &admissionNetwork{running: map[string]int{}, most: map[string]int{}}
	for _, id := range []string{"p1", "p2"} {
		w.upstreams = append(w.upstreams, &snipedirectory.Upstream{ID: id, Service: plainService, Slots: slots})
	}
	var members []snipeowner.Instance
	for n := range count {
		members = append(members, member(n))
	}
	for n := range count {
		i := &admissionInstance{network: w, members: members, cutOff: map[*admissionInstance]bool{}}
		log := snipelog.New(i, logrus.InfoLevel, members[n].Name)
		meter := snipemeter.New()
		plain := func(service string) bool { return service == plainService }
		i.admission = &admission{
			Self: members[n].Peer, Share: 100, Plain: plain, Paced: plain, Upstreams: w.service, View: i.view, Log: log, Meter: meter,
			Client: func(to netip.AddrPort) snipeproto.Admission { return &memoryClient{from: i, to: w.at(to)} },
			Lender: &lender{Plain: plain, Upstreams: w.service, Stopping: i.isStopping, Log: log, Meter: meter},
		}
		w.instances = append(w.instances, i)
	}
	return w
}

func (w *admissionNetwork) service(string) []*snipedirectory.Upstream {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.upstreams
}

func (w *admissionNetwork) at(peer netip.AddrPort) *admissionInstance {
	return w.instances[slices.IndexFunc(w.instances, func(n *admissionInstance) bool { return n.Self == peer })]
}

// ranked returns the instances in the order in which they coordinate.
func (w *admissionNetwork) ranked() []*admissionInstance {
	var all []*admissionInstance
	for _, peer := range w.instances[0].coordinators(plainService) {
		all = append(all, w.at(peer))
	}
	return all
}

// leave makes an upstream leave.
func (w *admissionNetwork) leave(id string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.upstreams = slices.Clone(w.upstreams)
	for n, u := range w.upstreams {
		if u.ID == id {
			left := *u
			left.Leaving = true
			w.upstreams[n] = &left
		}
	}
}

// enter and exit count the requests that run at an upstream.
func (w *admissionNetwork) enter(id string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.running[id]++
	w.most[id] = max(w.most[id], w.running[id])
}

func (w *admissionNetwork) exit(id string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.running[id]--
}

// run acquires a permit for one request, runs it for d, and releases it.
func (n *admissionInstance) run(ctx context.Context, d time.Duration) (*snipegateway.Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	p, err := n.acquire(ctx, plainService, snipeadmission.Request{Workspace: "w", Deadline: time.Now().Add(requestDeadline)})
	if err != nil {
		return nil, err
	}
	n.network.enter(p.Upstream)
	time.Sleep(d)
	n.network.exit(p.Upstream)
	p.Release(snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: d})
	return p, nil
}

// permitsOut returns the permits that all instances have lent.
func (w *admissionNetwork) permitsOut() int {
	sum := 0
	for _, n := range w.instances {
		sum += n.out()
	}
	return sum
}

// out returns the permits that an instance has lent.
func (n *admissionInstance) out() int {
	out, _ := n.Lender.stats()
	return out
}

// mustSettle checks that all permits have been given back after the messages in flight.
func (w *admissionNetwork) mustSettle(t *testing.T) {
	t.Helper()
	synctest.Wait()
	time.Sleep(10 * time.Millisecond)
	must.Eq(t, 0, w.permitsOut())
}

// memoryClient passes messages to another instance, encoded and decoded as on the wire.
type memoryClient struct{ from, to *admissionInstance }

var errConnectionRefused = errors.New("connection refused")

// reach waits until a message has arrived, and returns an error if it does not.
func (c *memoryClient) reach(ctx context.Context) error {
	c.to.lock.Lock()
	ended, silent := c.to.ended, c.to.frozen || c.to.cutOff[c.from]
	c.to.lock.Unlock()
	if ended {
		return errConnectionRefused
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(linkDelay)
	return nil
}

// answer waits until an answer has arrived, and returns an error if it does not.
func (c *memoryClient) answer(ctx context.Context) error {
	c.to.lock.Lock()
	lossy := c.to.lossy || c.to.frozen
	c.to.lock.Unlock()
	if lossy {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(linkDelay)
	return nil
}

// copied returns a message after encoding and decoding.
func copied[M proto.Message](m M) (M, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return m, err
	}
	decoded := m.ProtoReflect().New().Interface().(M)
	return decoded, proto.Unmarshal(data, decoded)
}

// Acquire implements snipeproto.Admission.
func (c *memoryClient) Acquire(ctx context.Context, m *snipeproto.AdmissionAcquireRequest) (*snipeproto.AdmissionAcquireResponse, error) {
	if err := c.reach(ctx); err != nil {
		return nil, err
	}
	m, err := copied(m)
	if err != nil {
		return nil, err
	}
	a, err := (&admissionServer{c.to.Lender}).Acquire(ctx, m)
	if lost := c.answer(ctx); lost != nil {
		return nil, lost
	}
	if err != nil {
		return nil, err
	}
	return copied(a)
}

// Release implements snipeproto.Admission.
func (c *memoryClient) Release(ctx context.Context, m *snipeproto.AdmissionReleaseRequest) (*snipeproto.AdmissionReleaseResponse, error) {
	if err := c.reach(ctx); err != nil {
		return nil, err
	}
	m, err := copied(m)
	if err != nil {
		return nil, err
	}
	a, err := (&admissionServer{c.to.Lender}).Release(ctx, m)
	if lost := c.answer(ctx); lost != nil {
		return nil, lost
	}
	return a, err
}

// inBubble runs a test on a paused clock, and then waits for the end of the messages in flight.
func inBubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * releaseTimeout)
		test(t)
	})
}

// inNetwork runs a test in a bubble with a network and its instances in the order in which they
// coordinate.
func inNetwork(t *testing.T, count, slots int, test func(t *testing.T, w *admissionNetwork, order []*admissionInstance)) {
	inBubble(t, func(t *testing.T) {
		w := newAdmissionNetwork(count, slots)
		test(t, w, w.ranked())
	})
}

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
		must.ErrorIs(t, err, errStillWaiting)
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

// lenders returns the instances among those given that have lent permits.
func lenders(instances []*admissionInstance) []*admissionInstance {
	var all []*admissionInstance
	for _, n := range instances {
		if n.Lender.known(plainService) != nil {
			all = append(all, n)
		}
	}
	return all
}

// TestWhoCoordinates guards against a coordinator that is leaving, on standby, or has little power,
// and against a coordinator that changes when another instance ends.
func TestWhoCoordinates(t *testing.T) {
	w := newAdmissionNetwork(20, 4)
	a := w.instances[0]
	before := a.coordinators(plainService)
	must.SliceLen(t, 15, before) // member gives these the highest Power
	all := a.members
	a.drop(before[3])
	must.Eq(t, before[0], a.coordinators(plainService)[0])
	for name, change := range map[string]func(m *snipeowner.Instance){
		"Leaving": func(m *snipeowner.Instance) { m.Leaving = true },
		"Standby": func(m *snipeowner.Instance) { m.Standby = true },
		"Weak":    func(m *snipeowner.Instance) { m.Power = 0.3 },
	} {
		t.Run(name, func(t *testing.T) {
			a.members = slices.Clone(all)
			for n := range a.members {
				if a.members[n].Peer == before[0] {
					change(&a.members[n])
				}
			}
			must.Eq(t, before[1], a.coordinators(plainService)[0])
		})
	}
}

// TestAdmissionApplies guards against shared admission of services that run models, have enough
// slots, have no upstream, or whose upstreams state no pace, and against its use when it is switched
// off.
func TestAdmissionApplies(t *testing.T) {
	tests := map[string]struct {
		service string
		share   float64
		slots   int
		leaving bool
		want    bool
	}{
		"Few":         {plainService, 1, 5, false, true},
		"Enough":      {plainService, 1, 6, false, false},
		"OneLeft":     {plainService, 1, 6, true, true},
		"SmallShare":  {plainService, 0.5, 5, false, false},
		"Off":         {plainService, 0, 1, false, false},
		"NotPlain":    {"engines", 1, 1, false, false},
		"LongName":    {strings.Repeat("x", maxName+1), 1, 1, false, false},
		"NotDeclared": {"", 1, 1, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newAdmissionNetwork(12, tt.slots)
			if tt.leaving {
				w.leave("p1")
			}
			a := w.instances[0]
			a.Share = tt.share
			must.Eq(t, tt.want, a.applies(tt.service))
		})
	}
	w := newAdmissionNetwork(12, 1)
	must.True(t, w.instances[0].applies(plainService))
	w.instances[0].Paced = func(string) bool { return false }
	must.False(t, w.instances[0].applies(plainService), must.Sprint("no upstream states a pace"))
	w = newAdmissionNetwork(12, 1)
	w.leave("p1")
	w.leave("p2")
	must.False(t, w.instances[0].applies(plainService), must.Sprint("no upstream is left"))
}

// TestDeclinedByUnready guards against refusals by a coordinator that does not know the upstreams
// of the service yet: the next instance is asked.
func TestDeclinedByUnready(t *testing.T) {
	inNetwork(t, 3, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
		order[0].Lender.Upstreams = func(string) []*snipedirectory.Upstream { return nil }
		p, err := order[2].run(t.Context(), 0)
		must.NoError(t, err)
		must.Eq(t, order[2].name(order[1].Self), p.Coordinator)
		must.Eq(t, 0, order[2].count("CoordinatorLost"))
	})
}

// failingClient answers each request for a permit with an error.
type failingClient struct {
	snipeproto.Admission
	err error
}

// Acquire implements snipeproto.Admission.
func (c failingClient) Acquire(context.Context, *snipeproto.AdmissionAcquireRequest) (*snipeproto.AdmissionAcquireResponse, error) {
	return nil, c.err
}

// TestOtherVersions guards against instances of another version that count as lost coordinators, so
// that requests are paced although an instance of this version could coordinate. Earlier versions
// do not know the service, later ones may refuse the message.
func TestOtherVersions(t *testing.T) {
	for _, code := range []twirp.ErrorCode{twirp.BadRoute, twirp.InvalidArgument} {
		t.Run(string(code), func(t *testing.T) {
			inNetwork(t, 4, 4, func(t *testing.T, _ *admissionNetwork, order []*admissionInstance) {
				caller, reach := order[3], order[3].Client
				caller.Client = func(to netip.AddrPort) snipeproto.Admission {
					if to == order[2].Self {
						return reach(to)
					}
					return failingClient{err: twirp.NewError(code, "other version")}
				}
				p, err := caller.run(t.Context(), 0)
				must.NoError(t, err)
				must.Eq(t, caller.name(order[2].Self), p.Coordinator)
				must.Eq(t, 0, caller.count("CoordinatorLost"))
			})
		})
	}
}

// TestForgetService guards against state of services that are no longer declared.
func TestForgetService(t *testing.T) {
	inNetwork(t, 1, 4, func(t *testing.T, w *admissionNetwork, _ []*admissionInstance) {
		n := w.instances[0]
		_, err := n.run(t.Context(), 0)
		must.NoError(t, err)
		must.NotNil(t, n.Lender.known(plainService))
		none := func(string) bool { return false }
		n.Plain, n.Lender.Plain = none, none
		n.forget()
		n.Lender.forget(n.view().Live)
		must.Nil(t, n.Lender.known(plainService))
		must.MapEmpty(t, n.services)
	})
}
