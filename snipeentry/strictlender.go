package snipeentry

import (
	"context"
	"encoding/binary"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/sniperoute"
)

// The instance that lends the slots of an engine strictly is the owner of the engine's address: owners exclude each
// other by the rows of the store, also while the store is silent, and have fencing numbers (see snipeowner). A plain service
// is owned as a whole, under an address that stands for it.

// accountTimeout bounds one question to another instance about its permits.
const accountTimeout = 2 * time.Second

// serviceKey returns the address that stands for a service in the ownership rows. It is in the prefix 100::/64, from
// which packets are discarded (RFC 6666).
func serviceKey(service string) netip.AddrPort {
	address := [16]byte{0: 1}
	binary.BigEndian.PutUint64(address[8:], sniperoute.Hash("service", service))
	return netip.AddrPortFrom(netip.AddrFrom16(address), 0)
}

// ownedAddresses returns the addresses that instances may own: those of engines, and those that stand for the plain
// services that have upstreams.
func (i *Instance) ownedAddresses() []netip.AddrPort {
	all := i.engineAddresses()
	c := i.catalog.Catalog()
	if c == nil {
		return all
	}
	for name, s := range c.Services {
		if s.Engine == nil && len(i.serviceUpstreams(name)) > 0 {
			all = append(all, serviceKey(name))
		}
	}
	return all
}

// strictKey is admission.strictKey.
func (l *lender) strictKey(name string) netip.AddrPort {
	if !strings.HasPrefix(name, enginePrefix) {
		return serviceKey(name)
	}
	if all := l.Upstreams(name); len(all) > 0 {
		return all[0].Address
	}
	return netip.AddrPort{}
}

// term returns this instance's right to lend a service or an engine strictly.
func (l *lender) term(name string) (snipeadmission.Term, bool) {
	r, ok := l.Right(l.strictKey(name))
	return snipeadmission.Term{Fence: r.Fence, Since: r.Since}, ok
}

// strict returns the coordinators that lend strictly or would if they had the right, by name.
func (l *lender) strict() map[string]*snipeadmission.Coordinator {
	l.lock.Lock()
	defer l.lock.Unlock()
	all := make(map[string]*snipeadmission.Coordinator, len(l.coordinators))
	for name, c := range l.coordinators {
		if _, brittle := l.isBrittle(name); brittle {
			all[name] = c
		}
	}
	return all
}

// permitMembers returns the instances that may hold strict permits.
func (i *Instance) permitMembers() []snipeadmission.Member {
	v := i.holder.View()
	all := make([]snipeadmission.Member, 0, len(v.Live)+len(v.Recent))
	for _, m := range v.Live {
		all = append(all, snipeadmission.Member{Instance: m.Peer.String(), Incarnation: m.Incarnation})
	}
	for _, m := range v.Recent {
		all = append(all, snipeadmission.Member{Instance: m.Peer.String(), Incarnation: m.Incarnation})
	}
	return all
}

// accountQuestion is a question about one name.
type accountQuestion struct {
	name        string
	question    snipeadmission.Question
	coordinator *snipeadmission.Coordinator
}

// accountCalls holds the instances that are being asked for accounts. It is safe for concurrent use.
type accountCalls struct {
	lock sync.Mutex // guards busy
	busy map[string]bool
}

// begin reports whether no call to the instance is in progress, and records one.
func (a *accountCalls) begin(instance string) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.busy[instance] {
		return false
	}
	if a.busy == nil {
		a.busy = make(map[string]bool)
	}
	a.busy[instance] = true
	return true
}

func (a *accountCalls) end(instance string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	delete(a.busy, instance)
}

// askAccounts asks the instances whose permits this instance must know as a coordinator, and does not wait for the
// answers.
func (i *Instance) askAccounts(ctx context.Context) {
	if i.brittle.Count() == 0 {
		return
	}
	i.createCoordinators()
	questions := make(map[string][]accountQuestion)
	for name, c := range i.lender.strict() {
		for instance, q := range c.Questions() {
			questions[instance] = append(questions[instance], accountQuestion{name, q, c})
		}
	}
	for instance, all := range questions {
		if i.accountCalls.begin(instance) {
			go func() {
				defer i.accountCalls.end(instance)
				i.askAccount(ctx, instance, all)
			}()
		}
	}
}

// createCoordinators creates the coordinators of what this instance may lend strictly, so that they know what is in
// use before the first request asks.
func (i *Instance) createCoordinators() {
	c := i.catalog.Catalog()
	if c == nil {
		return
	}
	for service, s := range c.Services {
		if _, brittle := i.brittle.Get(service); !brittle {
			continue
		}
		if s.Engine == nil {
			i.createCoordinator(service)
			continue
		}
		for _, u := range i.serviceUpstreams(service) {
			i.createCoordinator(enginePrefix + u.ID)
		}
	}
}

func (i *Instance) createCoordinator(name string) {
	if _, ok := i.lender.term(name); ok {
		i.lender.coordinator(name)
	}
}

// askAccount asks one instance, which may be this one.
func (i *Instance) askAccount(ctx context.Context, instance string, questions []accountQuestion) {
	m := &snipeproto.AdmissionAccountRequest{Version: admissionVersion, Instance: i.Settings.Peers.String()}
	for _, q := range questions {
		m.Questions = append(m.Questions, i.encodeQuestion(q))
	}
	answer, err := i.callAccount(ctx, instance, m)
	if errors.Is(err, syscall.ECONNREFUSED) {
		for _, q := range questions {
			q.coordinator.Gone(instance, q.question)
		}
	}
	if err != nil {
		return
	}
	for n, a := range answer.GetAccounts() {
		if n < len(questions) {
			questions[n].coordinator.Account(instance, questions[n].question, decodeAccount(answer, a))
		}
	}
}

// encodeQuestion returns the message for a question.
func (i *Instance) encodeQuestion(q accountQuestion) *snipeproto.AdmissionQuestion {
	m := &snipeproto.AdmissionQuestion{Service: q.name, Fence: q.question.Fence, LastPermit: q.question.LastID, Share: boundedFigure(q.question.Share)}
	if u, known := i.admission.brittleUpdate(q.name); known && !u.Ended {
		m.Brittle = encodeBrittleService(u)
	}
	return m
}

// callAccount passes the questions to an instance.
func (i *Instance) callAccount(ctx context.Context, instance string, m *snipeproto.AdmissionAccountRequest) (*snipeproto.AdmissionAccountResponse, error) {
	to, err := netip.ParseAddrPort(instance)
	if err != nil {
		return nil, err
	}
	if to == i.Settings.Peers {
		return i.answerAccount(m), nil
	}
	ctx, cancel := context.WithTimeout(ctx, accountTimeout)
	defer cancel()
	return i.peers.permits.client(to).Account(ctx, m)
}

// answerAccount answers the questions of a coordinator.
func (i *Instance) answerAccount(m *snipeproto.AdmissionAccountRequest) *snipeproto.AdmissionAccountResponse {
	return i.admission.account(m, i.startedAt)
}

// outsideRequests returns the numbers of this instance's requests in flight without a strict permit, by upstream.
func (i *Instance) outsideRequests() map[string]int { return i.gateway.WithoutStrictPermit() }

// lingerTime returns how long nearly all requests take at most for which permits of a name were lent to this instance.
func (i *Instance) lingerTime(name string) time.Duration {
	return i.admission.keeper(name).MaxServiceTime()
}

// decodeAccount returns one account of an answer. Permits and counts that make no sense are left out.
func decodeAccount(answer *snipeproto.AdmissionAccountResponse, m *snipeproto.AdmissionAccount) snipeadmission.Account {
	a := snipeadmission.Account{
		Incarnation: answer.GetIncarnation(), Uptime: max(milliseconds(answer.GetUptimeMilliseconds()), 0), Superseded: m.GetSuperseded(), Demand: m.GetDemand(),
		Outside: make(map[string]int),
	}
	for _, p := range m.GetPermits() {
		if validName(p.GetUpstream()) && !outOfRange(p.GetLeftMilliseconds()) {
			a.Permits = append(a.Permits, snipeadmission.HeldPermit{ID: p.GetPermit(), Upstream: p.GetUpstream(), Left: milliseconds(p.GetLeftMilliseconds())})
		}
	}
	for _, n := range m.GetOutside() {
		if validName(n.GetUpstream()) && n.GetRequests() > 0 && n.GetRequests() <= maxLoadFigure {
			a.Outside[n.GetUpstream()] = int(n.GetRequests())
		}
	}
	return a
}
