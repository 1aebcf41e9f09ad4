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
	// slowWriteTime is the duration above which an own write counts as slow. While the store is
	// slow to this instance, it makes no writes for others: a store that is slow to all instances
	// must not receive each write several times.
	slowWriteTime = 100 * time.Millisecond
	// relayTimeout bounds a write through another instance, which is a few milliseconds away.
	relayTimeout = 300 * time.Millisecond
	// maxRelayAttempts is how many other instances are asked to make a write.
	maxRelayAttempts = 2
	// writesPerDirectAttempt is the number of writes of which one tries the store first while the
	// store does not answer this instance.
	writesPerDirectAttempt = 4
	// slowStorePause is how long after a slow own write an instance makes no writes for others.
	slowStorePause = 2 * time.Second
)

// writeFunc makes all changes or none; see snipeowner.Table.
type writeFunc = func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)

// relay writes ownership rows. While the store does not answer this instance, another instance
// makes its writes, so that owners that are cut off from the store keep the right to order engines,
// which depends on their renewals.
//
// Relaying is safe whatever the outcome of a single write. Each write is conditional on the
// versions of the rows that it changes, so that at most one of its copies takes effect, and the
// right to order is counted from before the first copy was sent.
type relay struct {
	// Direct writes to the store.
	Direct writeFunc
	// Peers returns the instances that may reach the store, in random order.
	Peers func() []netip.AddrPort
	// AskPeer makes a write through another instance. Its error wraps snipeplatform.ErrUnavailable
	// if nothing was written.
	AskPeer func(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error)
	// Owns reports whether this instance owns engines. An instance that owns none loses nothing by
	// waiting for the store, and an overloaded store receives fewer writes if it waits.
	Owns func() bool
	// OnLost is called when the store stops answering this instance, OnRecovered when it answers
	// again.
	OnLost      func(err error)
	OnRecovered func()

	lock        sync.Mutex // guards the fields below
	storeLost   bool
	lastSlow    bool      // the last write took longer than slowWriteTime
	lastWriteAt time.Time // when the last write ended
	sinceDirect int       // writes since the last direct attempt, while the store is lost
}

// Write makes all changes or none, either directly or through another instance.
func (r *relay) Write(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	if r.Owns() && !r.directFirst() {
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

// directFirst reports whether the next write tries the store first.
func (r *relay) directFirst() bool {
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

// AcceptsWrites reports whether this instance makes writes for others: whether the store answers it
// in good time, as far as is known. After an unanswered own write it accepts no writes before the
// store has answered another one, because an overloaded store refuses many writes and must not
// receive each of them several times.
func (r *relay) AcceptsWrites() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !r.storeLost && (!r.lastSlow || time.Since(r.lastWriteAt) >= slowStorePause)
}

// writeDirect writes to the store and records whether the store answers.
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

// writeByPeer makes a write through another instance. It returns the error of the last attempt.
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

func (r *relay) askPeer(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return r.AskPeer(ctx, peer, operation, changes)
}

// relayPeers returns the instances that can write to the store for this one: those that renew their
// rows each second, and therefore know whether the store answers.
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

// askWrite makes a write through another instance.
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

// Write implements snipeproto.Ownership.
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
	// The requester may time out before the store answers. The write is completed anyway, since the
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

// buildRelay creates the relay for writes of ownership rows.
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
