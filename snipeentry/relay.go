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
	// quickWrite is how long a write of an instance's own may have taken for it to make those of
	// others: a store that is slow to all must not get each write several times.
	quickWrite = 100 * time.Millisecond
	// relayTimeout bounds a write by another instance, which is a few milliseconds away.
	relayTimeout = 300 * time.Millisecond
	// relayTries is how many other instances are asked to make a write.
	relayTries = 2
	// directTurns is how many writes there are to one that the store is asked for while it
	// does not answer this instance.
	directTurns = 4
	// doubt is for how long an instance to which the store was slow makes no writes for others.
	doubt = 2 * time.Second
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
	Others func() []netip.AddrPort
	// Ask has another instance make a write. Its error wraps snipeplatform.ErrUnavailable if
	// nothing was done.
	Ask func(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error)
	// Owns reports whether this instance owns engines: who owns none loses nothing by waiting
	// for the store, and one that is overloaded gets fewer writes so.
	Owns func() bool
	// Lost is told when the store is lost to this instance, and Back when it answers again.
	Lost func(err error)
	Back func()

	lock sync.Mutex // guards the fields below
	lost bool
	slow bool      // the last write took longer than quickWrite
	at   time.Time // when the last write ended
	turn int       // writes since the store was last asked while it is lost
}

// Write makes all changes or none, itself or by another instance.
func (r *relay) Write(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	if r.Owns() && !r.directTurn() {
		version, err := r.askOthers(ctx, operation, changes)
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
	version, relayed := r.askOthers(ctx, operation, changes)
	if snipeplatform.Answered(relayed) {
		return version, relayed
	}
	return 0, err
}

// directTurn reports whether the store is to be asked first.
func (r *relay) directTurn() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.lost {
		return true
	}
	if r.turn++; r.turn < directTurns {
		return false
	}
	r.turn = 0
	return true
}

// Reached reports whether the store answers this instance soon, as far as is known. One that it
// refuses makes no writes for others before one of its own was made: a store that has more
// writes than it can make refuses many, and must not get each of them several times.
func (r *relay) Reached() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !r.lost && (!r.slow || time.Since(r.at) >= doubt)
}

// writeDirect writes to the store and notes whether it answers.
func (r *relay) writeDirect(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	begun := time.Now()
	version, err := r.Direct(ctx, operation, changes)
	r.lock.Lock()
	r.at = time.Now()
	r.slow = r.at.Sub(begun) > quickWrite
	changed := r.lost == snipeplatform.Answered(err)
	r.lost = !snipeplatform.Answered(err)
	r.lock.Unlock()
	switch {
	case !changed:
	case snipeplatform.Answered(err):
		r.Back()
	default:
		r.Lost(err)
	}
	return version, err
}

// askOthers has another instance make a write. The error is the last one's.
func (r *relay) askOthers(ctx context.Context, operation string, changes []snipeplatform.Change) (version uint64, err error) {
	err = snipeplatform.ErrUnavailable
	others := r.Others()
	for _, peer := range others[:min(relayTries, len(others))] {
		if version, err = r.ask(ctx, peer, operation, changes); snipeplatform.Answered(err) {
			break
		}
	}
	return version, err
}

func (r *relay) ask(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return r.Ask(ctx, peer, operation, changes)
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
	answer, err := i.peers.owners.of(peer).Write(ctx, r)
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

// maxRelayed bounds the changes of one write for another instance: the store takes no more.
const maxRelayed = 100

// Write implements snipeproto.Ownership.
func (s *ownershipServer) Write(ctx context.Context, r *snipeproto.OwnershipWriteRequest) (*snipeproto.OwnershipWriteResponse, error) {
	if n := len(r.GetChanges()); n == 0 || n > maxRelayed {
		return nil, twirp.InvalidArgumentError("changes", "are none or too many")
	}
	if !s.relay.Reached() {
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
		Direct: i.write, Others: i.relayPeers, Ask: i.askWrite, Owns: func() bool { return i.holder.Owns() },
		Lost: func(err error) {
			i.Log.Error(snipelog.StoreUnreached, err, nil)
			i.interruptReads()
		},
		Back: func() { i.Log.Log(snipelog.StoreReached, nil) },
	}
}
