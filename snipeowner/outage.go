package snipeowner

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// silence is how long a renewal may be unanswered before the store is thought to be
	// lost: it answers within 10 ms, and within 250 ms when it is slow.
	silence = 300 * time.Millisecond
	// prolongEvery is the time between two looks whether the right to order has to be
	// prolonged by others, prolongAhead how long before its end they are asked.
	prolongEvery = 150 * time.Millisecond
	prolongAhead = 1500 * time.Millisecond
	// askTimeout bounds the questions to all others, which are a few milliseconds away.
	askTimeout = 200 * time.Millisecond
	// restWitnesses is how many of the instances on standby are asked, besides all
	// others: where the store turns a third of all instances away, all eight of them are among these
	// once in five thousand times.
	restWitnesses = 8
	// observation is how long an owner's row must be seen unchanged, without a break, until
	// its engines may be taken.
	observation = orderTime + margin
	// longestStep is the time between the beginnings of two steps from which on this instance
	// must have been suspended: a renewal is given up after 1.2 s.
	longestStep = 2500 * time.Millisecond
	// longestGap is the time between two readings of the store from which on the rows were not
	// observed in between. Readings are 1.7 s apart. An owner that went on renews its row at most
	// 1.3 s after the store is back, which with this is sooner than its row can be taken for lapsed.
	longestGap = 2200 * time.Millisecond
	// evidenceSlack is by how much the age of a copy may be told too small: it is passed on
	// from instance to instance.
	evidenceSlack = 100 * time.Millisecond
)

// Question asks an instance not to take engines over for as long as their owner may order
// them without the store.
type Question struct {
	Owner   netip.AddrPort
	Engines []netip.AddrPort
	// Unanswered is for how long the store has not answered the owner.
	Unanswered time.Duration
}

// ErrNoPromise says that an instance reaches the store, or knows of another owner.
var ErrNoPromise = errors.New("no promise to leave the engines")

// Promise puts a question to an instance. Its error wraps ErrNoPromise for one that
// promises nothing; any other error is that of one that does not answer.
type Promise func(ctx context.Context, peer netip.AddrPort, q Question) error

// outage is what an instance knows of the store's answers to its renewals. It is safe for
// concurrent use.
type outage struct {
	lock sync.Mutex // guards the fields below
	// began is when the last step began.
	began time.Duration
	// sent is when the step under way began; zero for none.
	sent time.Duration
	// failing tells that the last renewal that ended had no answer.
	failing bool
	// read tells that the rows were read at least once, asOf when the store itself was.
	read bool
	asOf time.Duration
	// since is from when on the rows have been observed without a break.
	since time.Duration
	// promised is when the last promise was given; zero for never.
	promised time.Duration
	// silentSince is when the first renewal was sent that the store has not answered.
	silentSince time.Duration
}

// begin notes that a step begins, which reads the rows and renews.
func (o *outage) begin(now time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.began > 0 && now-o.began > longestStep {
		// Others may have given their promises without this one's.
		o.since = now
	}
	o.began, o.sent = now, now
	if !o.failing {
		o.silentSince = now
	}
}

// end notes whether the store answered it.
func (o *outage) end(now time.Duration, answered bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if answered && o.failing {
		o.since = now
	}
	o.sent, o.failing = 0, !answered
}

// skip notes that a step ends without a renewal.
func (o *outage) skip() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.sent = 0
}

// see notes that the rows were read, as of some time ago: the step under way has had that
// answer. An instance on standby learns of an outage by this alone.
func (o *outage) see(now, age time.Duration) {
	o.lock.Lock()
	defer o.lock.Unlock()
	asOf := now - age
	if !o.read || asOf-o.asOf > longestGap {
		o.read, o.since = true, now
	}
	o.asOf = asOf
	if o.sent > 0 {
		o.sent = now
	}
}

// broken reports whether the last renewal that ended had no answer.
func (o *outage) broken() bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.failing
}

// lost reports whether the store does not answer.
func (o *outage) lost(now time.Duration) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.lostLocked(now)
}

func (o *outage) lostLocked(now time.Duration) bool {
	return o.failing || o.sent > 0 && now-o.sent > silence
}

// promise begins the observation of the rows anew, if the store is lost: what the rows
// have shown until now takes no engine over any more. It reports whether it did.
func (o *outage) promise(now time.Duration, lost bool) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.read && !lost && !o.lostLocked(now) {
		return false
	}
	o.since, o.promised = now, now
	return true
}

// ownFrom is from when on this instance may order what an earlier start of it owned: at
// once, unless it has promised to leave it to somebody.
func (o *outage) ownFrom(now time.Duration) time.Duration {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.promised == 0 {
		return now
	}
	return max(now, o.promised+observation)
}

// unanswered is for how long the store has not answered.
func (o *outage) unanswered(now time.Duration) time.Duration {
	o.lock.Lock()
	defer o.lock.Unlock()
	return now - o.silentSince
}

// observed is from when on what the rows show may take engines over.
func (o *outage) observed() time.Duration {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.since + observation
}

// Grant answers another instance's question: whether this one will leave these engines to
// their owner for the time of a lease, because the store answers neither of them.
func (h *Holder) Grant(q Question) bool {
	v := h.View()
	for _, engine := range q.Engines {
		if o, ok := v.Owners[engine]; ok && o.Instance.Peer != q.Owner {
			return false
		}
	}
	// An instance on standby does not renew, so that it cannot know by that. A copy of the
	// rows that is younger than the owner's trouble shows that the store answers somebody.
	resting := v.Live[h.Self.Peer].Standby && h.RowsAge != nil && h.RowsAge() >= q.Unanswered-evidenceSlack
	h.lock.Lock()
	defer h.lock.Unlock()
	for _, engine := range q.Engines {
		if _, taken := h.holdings[engine]; taken {
			return false
		}
	}
	return h.outage.promise(h.Clock(), resting)
}

// RunProlong prolongs the right to order while the store answers nobody, until ctx ends.
// Nobody can take an engine over then, since that needs the store; and all who could say
// that they will not do so at once when it is back.
func (h *Holder) RunProlong(ctx context.Context) error {
	return snipetime.Every(ctx, prolongEvery, h.Prolong)
}

// Prolong asks the others for the right to order, if it is about to end for want of the
// store.
func (h *Holder) Prolong(ctx context.Context) {
	asked := h.Clock()
	engines, until := h.ordered(asked)
	if h.Promise == nil || len(engines) == 0 || until-asked > prolongAhead || !h.outage.lost(asked) {
		return
	}
	must, may := h.witnesses()
	q := Question{Owner: h.Self.Peer, Engines: engines, Unanswered: h.outage.unanswered(asked)}
	if err := h.askAll(ctx, must, may, q); err != nil {
		h.Log.Error(snipelog.OwnershipRefused, err, snipelog.Fields{
			"Engines": len(engines), "Milliseconds": (until - asked).Milliseconds(),
		})
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.Clock() >= h.until {
		// Somebody may have taken an engine over before the promises.
		return
	}
	h.until = max(h.until, asked+orderTime)
	h.Log.Log(snipelog.OwnershipProlonged, snipelog.Fields{
		"Engines": len(engines), "Witnesses": len(must), "Milliseconds": (h.until - asked).Milliseconds(),
	})
}

// ordered returns the engines that this instance may order, and until when.
func (h *Holder) ordered(now time.Duration) ([]netip.AddrPort, time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if now >= h.until {
		return nil, 0
	}
	engines := make([]netip.AddrPort, 0, len(h.holdings))
	for engine, o := range h.holdings {
		if o.confirmed {
			engines = append(engines, engine)
		}
	}
	return engines, h.until
}

// witnesses returns the instances that could take engines over: those that have to promise,
// which are all that share the engines and some of those on standby, and those that may
// not say no. The latter were leaving, and may have started again, or their rows have
// lapsed: they are dead, or reach neither the store nor, if they do not answer, this one.
func (h *Holder) witnesses() (must, may []netip.AddrPort) {
	v := h.View()
	may = slices.Clone(v.Lapsed)
	rest := restWitnesses
	// The order of a map is another one each time.
	for peer, i := range v.Live {
		switch {
		case peer == h.Self.Peer:
		case i.Leaving:
			may = append(may, peer)
		case !i.Standby:
			must = append(must, peer)
		case rest > 0:
			must = append(must, peer)
			rest--
		}
	}
	return must, may
}

// askAll asks all witnesses, and returns the first that stands against it: one that must
// promise and does not, or any that says no.
func (h *Holder) askAll(ctx context.Context, must, may []netip.AddrPort, q Question) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan error, len(must)+len(may))
	for n, peer := range slices.Concat(must, may) {
		go func() {
			err := h.Promise(ctx, peer, q)
			if err == nil || n >= len(must) && !errors.Is(err, ErrNoPromise) {
				answers <- nil
				return
			}
			answers <- errors.Wrap(err, peer.String())
		}()
	}
	for range cap(answers) {
		if err := <-answers; err != nil {
			return err
		}
	}
	return nil
}
