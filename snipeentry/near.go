package snipeentry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeproto"
)

// copyReadSlack is how much longer than its wait a read of another instance's copy may take. Both
// instances are usually in one failure domain.
const copyReadSlack = 200 * time.Millisecond

// peerCopy returns a function that reads another instance's copy of a table. That instance is the
// one that reads the store for this failure domain, or after each failure the next one in rank. If
// lost is set, because the store does not answer this instance, any other instance will do. It
// returns false if this instance should read the store itself.
func (i *Instance) peerCopy(table string, failures int, lost bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
	readers := i.readers(lost)
	reader, ok := followedReader(readers, i.Settings.Peers, failures, lost)
	if !ok && !lost && failures == 0 {
		reader, ok = i.globalReader()
	}
	if !ok {
		return nil, false
	}
	client := i.peers.mirrors.client(reader)
	return func(ctx context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+copyReadSlack)
		defer cancel()
		answer, err := client.Watch(ctx, &snipeproto.MirrorWatchRequest{
			Table: table, After: after, WaitMilliseconds: wait.Milliseconds(),
		})
		if err != nil {
			return snipemirror.Page{}, err
		}
		return decodePage(answer)
	}, true
}

// maxCopyAges are the ages at which a copy is too old, so that the store is read instead. Each is
// more than the wait and the interval of a read together.
type maxCopyAges struct {
	// Direct applies to copies of an instance that reads the store, where each failure domain has
	// such a reader. Where a single instance reads the store for all domains, First applies to the
	// first instance of each domain, which follows that reader, and Others to the instances that
	// follow a first one. Others is longer, so that after the loss of the single reader only the
	// first instances read the store, and not all.
	Direct, First, Others time.Duration
}

var (
	// tableCopyAges apply to the operators' declarations and to the registry. They are short enough
	// that a change which must be known within two seconds, or within three where a single instance
	// reads for all, is known in time even if the reader loses the store at the worst moment.
	tableCopyAges = maxCopyAges{Direct: 1400 * time.Millisecond, First: 1500 * time.Millisecond, Others: 2100 * time.Millisecond}
	// ownershipCopyAges apply to the ownership rows. The loss of an instance is detected no sooner
	// than its lease ends, so these copies may be older.
	ownershipCopyAges = maxCopyAges{Direct: 2500 * time.Millisecond, First: 2 * time.Second, Others: 2500 * time.Millisecond}
)

// singleReaderFreshness is the shortest freshness with which a single instance reads the store for
// all failure domains.
const singleReaderFreshness = 3 * time.Second

// singleReader reports whether a single instance reads the store for all failure domains.
func (i *Instance) singleReader() bool { return i.Settings.freshness() >= singleReaderFreshness }

// maxCopyAge returns how old this instance's copy may become.
func (i *Instance) maxCopyAge(ages maxCopyAges) time.Duration {
	if !i.singleReader() {
		return ages.Direct
	}
	if readers := i.readers(false); len(readers) > 0 && readers[0] == i.Settings.Peers {
		return ages.First
	}
	return ages.Others
}

// globalReader returns the instance that reads the store for all failure domains, which the first
// instance of every other domain follows. It returns false if each domain has its own reader, or if
// this instance is the global reader.
func (i *Instance) globalReader() (netip.AddrPort, bool) {
	if !i.singleReader() {
		return netip.AddrPort{}, false
	}
	for _, other := range i.holder.View().Ranked {
		if !other.Leaving && !other.Standby {
			return other.Peer, other.Peer != i.Settings.Peers
		}
	}
	return netip.AddrPort{}, false
}

// followedReader returns the reader that an instance follows after a number of failures, and false
// if the instance should read the store itself. As long as the store answers, no instance follows
// one that ranks below itself: two instances that follow each other would both get stale.
func followedReader(readers []netip.AddrPort, self netip.AddrPort, failures int, lost bool) (netip.AddrPort, bool) {
	if lost && len(readers) > 0 {
		return readers[failures%len(readers)], true
	}
	own := slices.Index(readers, self)
	if failures >= len(readers) || own >= 0 && failures >= own {
		return netip.AddrPort{}, false
	}
	return readers[failures], true
}

// readers returns the instances whose copies may be read, best first. They renew their rows and are
// neither leaving nor on standby; the first in rank of this failure domain reads the store for the
// domain. If lost is set, the instances of other domains follow, and then the seeds of the
// settings, for an instance that knows no others yet.
func (i *Instance) readers(lost bool) []netip.AddrPort {
	var readers, remote []netip.AddrPort
	for _, other := range i.holder.View().Ranked {
		switch {
		case other.Leaving || other.Standby, lost && other.Peer == i.Settings.Peers:
		case other.Domain == i.Settings.Domain:
			readers = append(readers, other.Peer)
		case lost:
			remote = append(remote, other.Peer)
		}
	}
	if !lost {
		return readers
	}
	readers = append(readers, remote...)
	for _, seed := range i.Settings.Seeds {
		if seed != i.Settings.Peers && !slices.Contains(readers, seed) {
			readers = append(readers, seed)
		}
	}
	return readers
}
