package snipeentry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
)

const (
	// slowWriteTime is the duration above which a write of this instance to the store, its own or
	// one for another instance, counts as slow. After a slow write, the instance makes no writes
	// for others for a while: a store that is slow to all instances must not receive each write
	// several times.
	slowWriteTime = 100 * time.Millisecond
	// relayTimeout bounds a write through another instance, which is a few milliseconds away.
	relayTimeout = 300 * time.Millisecond
	// maxRelayAttempts is how many other instances are asked, one after the other, to make a write.
	maxRelayAttempts = 2
	// While the store does not answer this instance, one of every writesPerDirectAttempt writes
	// tries the store first, and the others try another instance first. Smaller: more writes wait
	// for the store's timeout. Larger: the return of the store is noticed later.
	writesPerDirectAttempt = 4
	// slowStorePause is how long after a slow write to the store an instance makes no writes for
	// others.
	slowStorePause = 2 * time.Second
)

// writeFunc makes all changes or none; see snipeowner.Table.
type writeFunc = func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)

// relay writes ownership rows. While the store does not answer this instance, another instance
// makes this instance's writes, so that owners that are cut off from the store keep the right to
// order engines, which depends on their renewals.
//
// Relaying is safe whatever the outcome of a single attempt. Each write is conditional on the
// versions of the rows that it changes, so that at most one attempt takes effect, and the right to
// order is counted from before the first attempt was sent.
type relay struct {
	// Direct writes to the store.
	Direct writeFunc
	// Peers returns the other instances that may reach the store, in random order.
	Peers func() []netip.AddrPort
	// AskPeer makes a write through another instance. Its error wraps snipeplatform.ErrUnavailable
	// or snipeplatform.ErrConflict if nothing was written.
	AskPeer func(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error)
	// Owns reports whether this instance owns engines. An instance that owns none loses nothing by
	// waiting for the store, and an overloaded store receives fewer writes if it waits.
	Owns func() bool
	// OnLost is called when the store stops answering this instance, OnRecovered when it answers
	// again.
	OnLost      func(err error)
	OnRecovered func()

	lock        sync.Mutex // guards the fields below
	storeLost   bool       // the last write to the store got no definite answer
	lastSlow    bool       // the last write took longer than slowWriteTime
	lastWriteAt time.Time  // when the last write ended
	sinceDirect int        // own writes since one last tried the store first, while the store is lost
}

// Write makes all changes or none. While the store answers, it tries the store first. If the store
// gives no definite answer and this instance owns engines, it then tries other instances. While the
// store is lost, most writes of an instance that owns engines try other instances first and then
// the store (see decideDirectFirst). Write returns as soon as an attempt has a definite outcome
// (done, or a condition did not hold), and otherwise the error of the attempt at the store.
func (r *relay) Write(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	if r.Owns() && !r.decideDirectFirst() {
		version, err := r.writeByPeer(ctx, operation, changes)
		if snipeplatform.IsDefinite(err) {
			return version, err
		}
	}
	version, err := r.writeDirect(ctx, operation, changes)
	if snipeplatform.IsDefinite(err) {
		return version, err
	}
	if !r.Owns() {
		return 0, err
	}
	version, relayErr := r.writeByPeer(ctx, operation, changes)
	if snipeplatform.IsDefinite(relayErr) {
		return version, relayErr
	}
	return 0, err
}

// decideDirectFirst reports whether a write tries the store first: always while the store answers.
// While the store is lost, decideDirectFirst counts the writes, and returns true for one of every
// writesPerDirectAttempt.
func (r *relay) decideDirectFirst() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.storeLost {
		return true
	}
	if r.sinceDirect++; r.sinceDirect < writesPerDirectAttempt {
		return false
	}
	r.sinceDirect = 0
	return true
}

// AcceptsWrites reports whether this instance makes writes for others. It does not for
// slowStorePause after a slow write to the store. After a write without a definite answer it does
// not until the store has answered a later one, because an overloaded store refuses many writes and
// must not receive each of them several times.
func (r *relay) AcceptsWrites() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !r.storeLost && (!r.lastSlow || time.Since(r.lastWriteAt) >= slowStorePause)
}

// writeDirect writes to the store, and records how long the write took and whether the store gave a
// definite answer. It calls OnLost if the store gave none to this write, and either gave one to the
// previous write or this is the first write. It calls OnRecovered if the store gave one to this
// write but none to the previous one.
func (r *relay) writeDirect(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	begun := time.Now()
	version, err := r.Direct(ctx, operation, changes)
	r.lock.Lock()
	r.lastWriteAt = time.Now()
	r.lastSlow = r.lastWriteAt.Sub(begun) > slowWriteTime
	changed := r.storeLost == snipeplatform.IsDefinite(err)
	r.storeLost = !snipeplatform.IsDefinite(err)
	r.lock.Unlock()
	switch {
	case !changed:
	case snipeplatform.IsDefinite(err):
		r.OnRecovered()
	default:
		r.OnLost(err)
	}
	return version, err
}

// writeByPeer makes a write through another instance, and tries up to maxRelayAttempts of them
// until one has a definite outcome. Otherwise it returns the error of the last attempt, or
// snipeplatform.ErrUnavailable if there is no other instance.
func (r *relay) writeByPeer(ctx context.Context, operation string, changes []snipeplatform.Change) (version uint64, err error) {
	err = snipeplatform.ErrUnavailable
	others := r.Peers()
	for _, peer := range others[:min(maxRelayAttempts, len(others))] {
		if version, err = r.askPeer(ctx, peer, operation, changes); snipeplatform.IsDefinite(err) {
			break
		}
	}
	return version, err
}

// askPeer calls AskPeer with relayTimeout.
func (r *relay) askPeer(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return r.AskPeer(ctx, peer, operation, changes)
}

// relayPeers returns, in random order, the other instances that may write to the store for this
// one: the live ones that are neither leaving nor on standby. These renew their rows each second,
// so that they have recently observed whether the store answers.
func (i *Instance) relayPeers() []netip.AddrPort {
	var all []netip.AddrPort
	// Map iteration yields a different order each time, which spreads the writes.
	for peer, other := range i.holder.View().Live {
		if peer != i.Settings.Peers && !other.Leaving && !other.Standby {
			all = append(all, peer)
		}
	}
	return all
}

// askWrite makes a write through another instance and returns the new version. Its error wraps
// snipeplatform.ErrUnavailable if the other instance wrote nothing, snipeplatform.ErrConflict if a
// condition did not hold, and snipeplatform.ErrUnknown otherwise, for example without an answer.
func (i *Instance) askWrite(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error) {
	r := &snipeproto.OwnershipWriteRequest{Operation: operation}
	for _, c := range changes {
		r.Changes = append(r.Changes, &snipeproto.OwnershipChange{Row: c.Sort, Expect: c.Expect, Data: c.Data})
	}
	answer, err := i.peers.owners.client(peer).Write(ctx, r)
	var failure twirp.Error
	switch {
	case errors.As(err, &failure) && failure.Code() == twirp.Unavailable:
		return 0, errors.Wrap(snipeplatform.ErrUnavailable, failure.Msg())
	case err != nil:
		return 0, errors.Wrapf(snipeplatform.ErrUnknown, "%s: %v", peer, err)
	case answer.GetVersion() == 0:
		return 0, snipeplatform.ErrConflict
	}
	return answer.GetVersion(), nil
}

// maxRelayedChanges bounds the changes of one write for another instance. The store accepts no more
// in one write.
const maxRelayedChanges = 100

// Write implements snipeproto.Ownership: it makes a write to the store for another instance.
// Version 0 in the answer means that a condition did not hold. An error with the code Unavailable
// means that nothing was written.
func (s *ownershipServer) Write(ctx context.Context, r *snipeproto.OwnershipWriteRequest) (*snipeproto.OwnershipWriteResponse, error) {
	if n := len(r.GetChanges()); n == 0 || n > maxRelayedChanges {
		return nil, twirp.InvalidArgumentError("changes", "are none or too many")
	}
	if !s.relay.AcceptsWrites() {
		return nil, twirp.NewError(twirp.Unavailable, "the store does not answer soon here either")
	}
	var changes []snipeplatform.Change
	for _, c := range r.GetChanges() {
		change := snipeplatform.Change{
			Key:    snipeplatform.Key{Partition: snipeowner.Partition, Sort: c.GetRow()},
			Expect: c.GetExpect(),
		}
		if len(c.GetData()) > 0 {
			change.Data = c.GetData()
		}
		changes = append(changes, change)
	}
	// The asking instance may time out before the store answers. The write is completed anyway, since the
	// store's answer also shows this instance whether the store is reachable.
	version, err := s.relay.writeDirect(context.WithoutCancel(ctx), r.GetOperation(), changes)
	switch {
	case errors.Is(err, snipeplatform.ErrConflict):
		return &snipeproto.OwnershipWriteResponse{}, nil
	case errors.Is(err, snipeplatform.ErrUnavailable):
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Unknown, err.Error())
	}
	return &snipeproto.OwnershipWriteResponse{Version: version}, nil
}

// buildRelay creates the relay for writes of ownership rows. When the store stops answering,
// pending reads of the store are canceled too.
func (i *Instance) buildRelay() {
	i.relay = &relay{
		Direct: i.write, Peers: i.relayPeers, AskPeer: i.askWrite, Owns: func() bool { return i.holder.Owns() },
		OnLost: func(err error) {
			i.Log.Error(snipelog.StoreUnreached, err, nil)
			i.interruptReads()
		},
		OnRecovered: func() { i.Log.Log(snipelog.StoreReached, nil) },
	}
}
