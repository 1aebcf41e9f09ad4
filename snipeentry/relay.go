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
	// slowWriteTime is how long a write of an instance's own may have taken for it to make those of
	// others: a store that is slow to all must not get each write several times.
	slowWriteTime = 100 * time.Millisecond
	// relayTimeout bounds a write by another instance, which is a few milliseconds away.
	relayTimeout = 300 * time.Millisecond
	// maxRelayAttempts is how many other instances are asked to make a write.
	maxRelayAttempts = 2
	// writesPerDirectAttempt is how many writes there are to one that the store is asked for while it
	// does not answer this instance.
	writesPerDirectAttempt = 4
	// doubt is for how long an instance to which the store was slow makes no writes for others.
	slowStorePause = 2 * time.Second
)

// writeFunc makes all changes or none; see snipeowner.Table.
type writeFunc = func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)

// relay writes rows of ownership. While the store does not answer this instance another one
// makes its writes, so that the owners among those that are cut off from the store keep their
// right to order, which hangs on their renewals.
//
// It is safe whatever becomes of a write: each has conditions on the versions of the rows that
// it changes, so that of its copies one takes effect at most, and the right counts from before
// the first of them was sent.
type relay struct {
	// Direct writes to the store.
	Direct writeFunc
	// Others returns the instances that may reach the store, in no order.
	Peers func() []netip.AddrPort
	// Ask has another instance make a write. Its error wraps snipeplatform.ErrUnavailable if
	// nothing was done.
	AskPeer func(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error)
	// Owns reports whether this instance owns engines: who owns none loses nothing by waiting
	// for the store, and one that is overloaded gets fewer writes so.
	Owns func() bool
	// Lost is told when the store is lost to this instance, and Back when it answers again.
	OnLost      func(err error)
	OnRecovered func()

	lock        sync.Mutex // guards the fields below
	storeLost   bool
	lastSlow    bool      // the last write took longer than slowWriteTime
	lastWriteAt time.Time // when the last write ended
	sinceDirect int       // writes since the store was last asked while it is lost
}

// Write makes all changes or none, itself or by another instance.
func (r *relay) Write(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	if r.Owns() && !r.directFirst() {
		version, err := r.writeByPeer(ctx, operation, changes)
		if snipeplatform.Answered(err) {
			return version, err
		}
	}
	version, err := r.writeDirect(ctx, operation, changes)
	if snipeplatform.Answered(err) {
		return version, err
	}
	if !r.Owns() {
		return 0, err
	}
	version, relayed := r.writeByPeer(ctx, operation, changes)
	if snipeplatform.Answered(relayed) {
		return version, relayed
	}
	return 0, err
}

// directFirst reports whether the store is to be asked first.
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

// AcceptsWrites reports whether the store answers this instance soon, as far as is known. One that it
// refuses makes no writes for others before one of its own was made: a store that has more
// writes than it can make refuses many, and must not get each of them several times.
func (r *relay) AcceptsWrites() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !r.storeLost && (!r.lastSlow || time.Since(r.lastWriteAt) >= slowStorePause)
}

// writeDirect writes to the store and notes whether it answers.
func (r *relay) writeDirect(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	begun := time.Now()
	version, err := r.Direct(ctx, operation, changes)
	r.lock.Lock()
	r.lastWriteAt = time.Now()
	r.lastSlow = r.lastWriteAt.Sub(begun) > slowWriteTime
	changed := r.storeLost == snipeplatform.Answered(err)
	r.storeLost = !snipeplatform.Answered(err)
	r.lock.Unlock()
	switch {
	case !changed:
	case snipeplatform.Answered(err):
		r.OnRecovered()
	default:
		r.OnLost(err)
	}
	return version, err
}

// writeByPeer has another instance make a write. The error is the last one's.
func (r *relay) writeByPeer(ctx context.Context, operation string, changes []snipeplatform.Change) (version uint64, err error) {
	err = snipeplatform.ErrUnavailable
	others := r.Peers()
	for _, peer := range others[:min(maxRelayAttempts, len(others))] {
		if version, err = r.askPeer(ctx, peer, operation, changes); snipeplatform.Answered(err) {
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

// relayPeers returns the instances that may reach the store for this one: those that renew
// each second, and so know whether it answers.
func (i *Instance) relayPeers() []netip.AddrPort {
	var all []netip.AddrPort
	// The order of a map is another one each time.
	for peer, other := range i.holder.View().Live {
		if peer != i.Settings.Peers && !other.Leaving && !other.Standby {
			all = append(all, peer)
		}
	}
	return all
}

// askWrite has another instance make a write.
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

// maxRelayedChanges bounds the changes of one write for another instance: the store takes no more.
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
	// Whoever asks may give up sooner than the store: its answer tells this instance as much.
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

// buildRelay puts together how rows of ownership are written.
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
