package snipeentry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeplatform"
)

// slowPart is a part of a store that answers slowly: it makes one transaction after another, and
// refuses those that come while more than a second of them wait.
type slowPart struct {
	took   time.Duration // by a transaction
	answer time.Duration // the way of each answer

	lock    sync.Mutex // guards the fields below
	free    time.Time  // when all that was accepted is made
	rows    map[snipeplatform.Key]uint64
	version uint64
}

func (s *slowPart) write(ctx context.Context, _ string, changes []snipeplatform.Change) (uint64, error) {
	s.lock.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	if s.free.Sub(now) > time.Second {
		s.lock.Unlock()
		time.Sleep(s.answer)
		return 0, snipeplatform.ErrUnavailable
	}
	s.free = s.free.Add(s.took)
	wait, answer := s.free.Sub(now), s.answer
	s.lock.Unlock()
	made := make(chan outcomeOfWrite, 1)
	time.AfterFunc(wait, func() {
		version, err := s.commit(changes)
		time.Sleep(answer)
		made <- outcomeOfWrite{version, err}
	})
	select {
	case o := <-made:
		return o.version, o.err
	case <-ctx.Done():
		return 0, snipeplatform.ErrUnknown
	}
}

type outcomeOfWrite struct {
	version uint64
	err     error
}

func (s *slowPart) commit(changes []snipeplatform.Change) (uint64, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	versions := make(map[snipeplatform.Key]uint64, len(changes))
	holds := true
	for _, c := range changes {
		versions[c.Key] = s.rows[c.Key]
		holds = holds && s.rows[c.Key] == c.Expect
	}
	if !holds {
		return 0, &snipeplatform.ConflictError{Versions: versions}
	}
	s.version++
	for _, c := range changes {
		if c.Data != nil {
			s.rows[c.Key] = s.version
		}
	}
	return s.version, nil
}

// known returns a row's version as a reader sees it.
func (s *slowPart) known(k snipeplatform.Key) uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.rows[k]
}

// renewer is an owner that renews its row each second, as package snipeowner does, and counts for how long it had no
// right to order.
type renewer struct {
	relay   *relay
	name    string
	engines int
	every   time.Duration

	until time.Time
	// without is for how long it had no right, later for how long of that after the change-over.
	without time.Duration
	later   time.Duration
}

// lapse counts the time since the right ended.
func (o *renewer) lapse(changed time.Time) {
	now := time.Now()
	if o.until.IsZero() || !o.until.Before(now) {
		return
	}
	o.without += now.Sub(o.until)
	if from := changed; from.Before(now) {
		if o.until.After(from) {
			from = o.until
		}
		o.later += now.Sub(from)
	}
}

// right is how long after a renewal was sent an owner may order.
const right = 2400 * time.Millisecond

func (o *renewer) run(ctx context.Context, s *slowPart, changed time.Time) {
	t := time.NewTicker(o.every)
	defer t.Stop()
	for ctx.Err() == nil {
		sent := time.Now()
		own := key(o.name)
		changes := []snipeplatform.Change{{Key: own, Expect: s.known(own), Data: []byte("{}")}}
		for n := range o.engines {
			changes = append(changes, snipeplatform.Change{Key: key(fmt.Sprint(o.name, "/", n))})
		}
		if _, err := o.relay.Write(ctx, "", changes); err == nil {
			o.lapse(changed)
			o.until = sent.Add(right)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	o.lapse(changed)
}

func key(name string) snipeplatform.Key { return snipeplatform.Key{Partition: "ownership", Sort: name} }

const (
	// slowFor is for how long the store is slow, changeOver how long of that it takes until no owner
	// asks it by itself any more.
	slowFor    = 12 * time.Second
	changeOver = 5 * time.Second
)

// outcome is the part of the time for which owners had no right, in all and after the change-over.
type outcome struct{ all, later float64 }

// playOwners has owners renew for a while at a store that turns slow.
//
// Bystanders own nothing and renew as often: instances that share no engine, or have lost theirs.
func playOwners(t *testing.T, owners, bystanders, engines int, every time.Duration, joined bool) outcome {
	const quick = 2 * time.Second
	s := &slowPart{took: 5 * time.Millisecond, answer: 4 * time.Millisecond, rows: make(map[snipeplatform.Key]uint64)}
	servers := make(map[netip.AddrPort]*ownershipServer)
	var all []*renewer
	for n := range owners + bystanders {
		self := peer(n)
		r := &relay{
			Direct: s.write, Owns: func() bool { return n < owners }, Lost: func(error) {}, Back: func() {},
			Others: func() []netip.AddrPort { return []netip.AddrPort{peer((n + 3) % owners), peer((n + 7) % owners)} },
			Ask: func(ctx context.Context, to netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error) {
				return servers[to].relay.WriteFor(ctx, operation, changes)
			},
		}
		if joined {
			r.Joiners = func() ([]netip.AddrPort, netip.AddrPort) { return []netip.AddrPort{peer(0), peer(1)}, self }
		}
		servers[self] = &ownershipServer{relay: r}
		held := 0
		if n < owners {
			held = engines
		}
		all = append(all, &renewer{relay: r, name: fmt.Sprint(n), engines: held, every: every})
	}
	ctx, cancel := context.WithTimeout(t.Context(), quick+slowFor)
	defer cancel()
	var running sync.WaitGroup
	changed := time.Now().Add(quick + changeOver)
	for n, o := range all {
		running.Go(func() {
			time.Sleep(time.Duration(n) * every / time.Duration(len(all)))
			o.run(ctx, s, changed)
		})
	}
	time.Sleep(quick)
	s.lock.Lock()
	s.took, s.answer = 355*time.Millisecond, 284*time.Millisecond
	s.lock.Unlock()
	running.Wait()
	time.Sleep(3 * writeTimeout) // what is under way ends
	var without, later time.Duration
	for _, o := range all[:owners] {
		without, later = without+o.without, later+o.later
	}
	return outcome{
		without.Seconds() / (float64(owners) * slowFor.Seconds()),
		later.Seconds() / (float64(owners) * (slowFor - changeOver).Seconds()),
	}
}

// TestOwnersAtSlowStore answers the pattern of a store that is 71 times slower than usual, so that
// a part of it makes 2.8 transactions a second: fewer than there are instances that renew. It guards against their
// rights ending one by one. Forty owners of seven engines need more than one part makes:
// they are only better off.
func TestOwnersAtSlowStore(t *testing.T) {
	tests := map[string]struct {
		owners, bystanders, engines int
		later                       float64
	}{
		"Six":              {6, 0, 15, 0.02},
		"SixAndBystanders": {6, 5, 15, 0.02},
		"Eleven":           {11, 0, 8, 0.02},
		"Thirteen":         {13, 0, 7, 0.02},
		"Forty":            {40, 0, 7, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				alone := playOwners(t, tt.owners, tt.bystanders, tt.engines, time.Second, false)
				stretched := playOwners(t, tt.owners, tt.bystanders, tt.engines, 2*time.Second, false)
				joined := playOwners(t, tt.owners, tt.bystanders, tt.engines, time.Second, true)
				t.Logf("without a right: alone %.3f, stretched %.3f, joined %.3f", alone, stretched, joined)
				must.Less(t, min(alone.all, stretched.all), joined.all)
				must.LessEq(t, tt.later, joined.later)
			})
		})
	}
}
