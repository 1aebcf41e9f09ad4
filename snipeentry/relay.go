package snipeentry

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipebatch"
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
	// joinTimeout bounds a write that is joined with others: a store refuses what would wait for
	// more than a second, and what it takes is made soon after that.
	joinTimeout = 1750 * time.Millisecond
	// joinGather is for how long others are waited for before a joined transaction: all find at the
	// same time that the store is slow.
	joinGather = 60 * time.Millisecond
	// joinPause is the time until a joined transaction goes again that the store has refused
	// because it had more to do than it could.
	joinPause = 50 * time.Millisecond
	// mostSilent is how many writes in a row may be unanswered for a store that is slow.
	mostSilent = 2
	// directTimeout bounds a write to the store that one instance waits for, joinedTimeout one that
	// several wait for: one that waits for a second and is made gets its answer by then.
	directTimeout = 1200 * time.Millisecond
	joinedTimeout = 2 * time.Second
	// writeTimeout bounds a write over all its ways. An instance whose steps are further apart
	// takes itself for one that was suspended.
	writeTimeout = 1800 * time.Millisecond
)

// writeFunc makes all changes or none; see snipeowner.Table.
type writeFunc = func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)

// relay writes rows of ownership. While the store does not answer this instance another one
// makes its writes, so that the owners among those that are cut off from the store keep their
// right to order, which hangs on their renewals.
//
// A store that is slow makes fewer transactions than there are owners. Their writes then go to one
// instance, the joiner, which makes one transaction of those that wait at the same time.
//
// It is safe whatever becomes of a write: each has conditions on the versions of the rows that
// it changes, so that of its copies one takes effect at most, and the right counts from before
// the first of them was sent.
type relay struct {
	// Direct writes to the store.
	Direct writeFunc
	// Others returns the instances that may reach the store, in no order.
	Others func() []netip.AddrPort
	// Joiners returns the instances that may join the writes of all while the store is slow, the
	// first to ask first, and this one's own address; nil for none.
	Joiners func() (joiners []netip.AddrPort, self netip.AddrPort)
	// Ask has another instance make a write. Its error wraps snipeplatform.ErrUnavailable if
	// nothing was done.
	Ask func(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error)
	// Owns reports whether this instance owns engines: who owns none loses nothing by waiting
	// for the store, and has its writes made by others only together with theirs.
	Owns func() bool
	// Lost is told when the store is lost to this instance, and Back when it answers again.
	Lost func(err error)
	Back func()
	// Joined is told of each transaction that holds the writes of several; nil for nobody.
	Joined func(writes int, err error)

	prepared sync.Once // makes batch
	batch    *snipebatch.Writer

	lock   sync.Mutex // guards the fields below
	lost   bool
	slow   bool      // the last write took longer than quickWrite
	silent int       // writes in a row that got no answer at all
	at     time.Time // when the last write ended
	turn   int       // writes since the store was last asked while it is lost
}

// Write makes all changes or none, itself or by another instance.
func (r *relay) Write(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	begun := time.Now()
	version, err := r.join(ctx, operation, changes)
	if snipeplatform.Answered(err) || time.Since(begun) > relayTimeout {
		// Another try has no time left.
		return version, err
	}
	if r.Owns() && !r.directTurn() {
		version, err = r.askOthers(ctx, operation, changes)
		if snipeplatform.Answered(err) {
			return version, err
		}
	}
	version, err = r.writeDirect(ctx, operation, changes)
	if snipeplatform.Answered(err) {
		return version, err
	}
	return r.afterFailure(ctx, operation, changes, err)
}

// afterFailure has a write made by others that the store has not made for this instance. Where they
// do not make it either the error is that of its own try, or wraps ErrUnknown if one of them may have.
func (r *relay) afterFailure(ctx context.Context, operation string, changes []snipeplatform.Change, failure error) (uint64, error) {
	if errors.Is(failure, snipeplatform.ErrUnavailable) {
		version, err := r.join(ctx, operation, changes)
		if snipeplatform.Answered(err) || errors.Is(err, snipeplatform.ErrUnknown) {
			return version, err
		}
	}
	if !r.Owns() {
		return 0, failure
	}
	version, err := r.askOthers(ctx, operation, changes)
	if snipeplatform.Answered(err) || errors.Is(err, snipeplatform.ErrUnknown) {
		return version, err
	}
	return 0, failure
}

// join has a write made in one transaction with those of other owners, if the store is slow. The
// error wraps ErrUnavailable where it is not, or where nobody joins writes.
func (r *relay) join(ctx context.Context, operation string, changes []snipeplatform.Change) (version uint64, err error) {
	err = snipeplatform.ErrUnavailable
	joiners, self := r.joiners()
	if len(joiners) == 0 {
		return 0, err
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for _, joiner := range joiners {
		if joiner == self {
			version, err = r.WriteFor(ctx, operation, changes)
		} else {
			version, err = r.Ask(ctx, joiner, operation, changes)
		}
		if !errors.Is(err, snipeplatform.ErrUnavailable) {
			break
		}
	}
	r.noteJoined(time.Since(begun))
	return version, err
}

// joiners returns the instances to which this one's writes go while the store is slow, and its own
// address; none where it is not.
func (r *relay) joiners() (joiners []netip.AddrPort, self netip.AddrPort) {
	r.lock.Lock()
	slow := r.slow
	r.lock.Unlock()
	if r.Joiners == nil || !slow {
		return nil, netip.AddrPort{}
	}
	return r.Joiners()
}

// noteJoined notes how a joined write went: after one that was quick, or that nobody joined, the
// store is asked itself.
func (r *relay) noteJoined(took time.Duration) {
	if took > quickWrite {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.slow = false
}

// joins reports whether this instance joins the writes of others although the store is slow to it.
func (r *relay) joins() bool {
	r.lock.Lock()
	refuses := r.lost && !r.slow || r.silent >= mostSilent
	r.lock.Unlock()
	if r.Joiners == nil || refuses {
		return false
	}
	joiners, self := r.Joiners()
	return slices.Contains(joiners, self)
}

// joinedWriter returns what makes transactions of several writes.
func (r *relay) joinedWriter() *snipebatch.Writer {
	r.prepared.Do(func() {
		r.batch = &snipebatch.Writer{
			Write: r.writeJoined, Most: snipeowner.MaxEntries, Gather: gatherJoined, Pause: pauseJoined,
			Joined: r.Joined,
		}
	})
	return r.batch
}

// gatherJoined is how long a joined transaction waits for others, by how long the last one took.
func gatherJoined(took time.Duration) time.Duration {
	if took <= quickWrite {
		return 0
	}
	return joinGather
}

// pauseJoined is how long a joined transaction that was refused waits: a store that refuses slowly
// has more to do than it can, and parts of the transaction would be refused as well. One that refuses
// at once turns this instance away.
func pauseJoined(_ error, took time.Duration) time.Duration {
	if took <= quickWrite {
		return 0
	}
	return joinPause
}

// WriteFor makes a write of another instance, or of this one beside them.
func (r *relay) WriteFor(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	if !r.Reached() && !r.joins() {
		return 0, errors.Wrap(snipeplatform.ErrUnavailable, "the store does not answer soon here either")
	}
	return r.joinedWriter().Do(ctx, operation, changes)
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

// writeDirect writes to the store.
func (r *relay) writeDirect(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	return r.writeWithin(ctx, directTimeout, operation, changes)
}

// writeJoined writes to the store what several wait for.
func (r *relay) writeJoined(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error) {
	return r.writeWithin(ctx, joinedTimeout, operation, changes)
}

// writeWithin writes to the store and notes whether it answers in time.
func (r *relay) writeWithin(ctx context.Context, limit time.Duration, operation string, changes []snipeplatform.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begun := time.Now()
	version, err := r.Direct(ctx, operation, changes)
	r.lock.Lock()
	r.at = time.Now()
	r.slow = r.at.Sub(begun) > quickWrite
	if r.silent++; !errors.Is(err, snipeplatform.ErrUnknown) {
		r.silent = 0
	}
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

// ask has one other instance make a write.
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

// mostJoiners is how many instances may join the writes of all: a second one where the first does
// not answer.
const mostJoiners = 2

// joiners returns the instances that join writes while the store is slow: the first in rank that
// renew each second and are not known to be silent. All instances find the same ones.
func (i *Instance) joiners() ([]netip.AddrPort, netip.AddrPort) {
	var all []netip.AddrPort
	for _, other := range i.holder.View().Ranked {
		if other.Leaving || other.Standby || i.peers.silent(other.Peer) {
			continue
		}
		if all = append(all, other.Peer); len(all) == mostJoiners {
			break
		}
	}
	return all, i.Settings.Peers
}

// tellJoined logs a transaction that holds the writes of several instances.
func (i *Instance) tellJoined(writes int, err error) {
	fields := snipelog.Fields{"Writes": writes}
	if err != nil {
		i.Log.Error(snipelog.RenewalsJoined, err, fields)
		return
	}
	i.Log.Log(snipelog.RenewalsJoined, fields)
}

// askWrite has another instance make a write.
func (i *Instance) askWrite(ctx context.Context, peer netip.AddrPort, operation string, changes []snipeplatform.Change) (uint64, error) {
	r := &snipeproto.OwnershipWriteRequest{Operation: operation}
	for _, c := range changes {
		r.Changes = append(r.Changes, &snipeproto.OwnershipChange{Row: c.Sort, Expect: c.Expect, Data: c.Data})
	}
	ctx, cancel := i.peers.ask(ctx, peer)
	defer cancel()
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
	version, err := s.relay.WriteFor(ctx, r.GetOperation(), changes)
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
		Back:    func() { i.Log.Log(snipelog.StoreReached, nil) },
		Joiners: i.joiners,
		Joined:  i.tellJoined,
	}
}
