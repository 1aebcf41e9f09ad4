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
	a, err := (&admissionServer{lender: c.to.Lender}).Acquire(ctx, m)
	if lost := c.answer(ctx); lost != nil {
		return nil, lost
	}
	if err != nil {
		return nil, err
	}
	return copied(a)
}

// Account implements snipeproto.Admission.
func (c *memoryClient) Account(ctx context.Context, m *snipeproto.AdmissionAccountRequest) (*snipeproto.AdmissionAccountResponse, error) {
	if err := c.reach(ctx); err != nil {
		return nil, err
	}
	a := c.to.account(m, time.Time{})
	if lost := c.answer(ctx); lost != nil {
		return nil, lost
	}
	return copied(a)
}

// Limits implements snipeproto.Admission.
func (c *memoryClient) Limits(context.Context, *snipeproto.AdmissionLimitsRequest) (*snipeproto.AdmissionLimitsResponse, error) {
	return &snipeproto.AdmissionLimitsResponse{}, nil
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
	a, err := (&admissionServer{lender: c.to.Lender}).Release(ctx, m)
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
