package snipeentry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeproto"
)

// copyReadSlack is how much longer than its wait a read of another instance's copy may
// take: both are in one failure domain.
const copyReadSlack = 200 * time.Millisecond

// near returns how to read another instance's copy of a table: that of the instance
// which reads the store for this failure domain, or of the next one in rank after
// each failure. It is false when this instance is to read the store itself; when the
// store does not answer it, any other instance will do.
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

// maxCopyAges are how old a copy may become before the store is read itself: more than a read's
// wait and pace together.
type maxCopyAges struct {
	// Direct is for copies of an instance that reads the store, where each failure domain has
	// one. Where one instance reads the store for all domains, First is for the first instance
	// of a domain, which follows it, and Others for those that follow the first: these wait
	// longer, so that the loss of the one reader makes the first instances read the store and
	// not all.
	Direct, First, Others time.Duration
}

var (
	// tableCopyAges are those of what operators declare and of the registry: so short that what
	// must be known within two seconds, or within three where one reads for all, is known when
	// the reader loses the store at the worst moment.
	tableCopyAges = maxCopyAges{Direct: 1400 * time.Millisecond, First: 1500 * time.Millisecond, Others: 2100 * time.Millisecond}
	// ownershipCopyAges are those of the rows of ownership, by which nobody's death is told sooner
	// than by the lease.
	ownershipCopyAges = maxCopyAges{Direct: 2500 * time.Millisecond, First: 2 * time.Second, Others: 2500 * time.Millisecond}
)

// singleReaderFreshness is the least time for knowledge to spread with which one instance reads the
// store for all failure domains.
const singleReaderFreshness = 3 * time.Second

// singleReader reports whether one instance reads the store for all failure domains.
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

// root returns the instance that reads the store for all failure domains, for the first
// instance of another domain; false where each domain reads for itself.
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

// leader returns which of the readers an instance follows after so many have failed;
// false when it is to read the store itself. As long as the store answers nobody follows
// one that is behind itself in rank: two that follow each other would both grow old.
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

// readers returns the instances whose copies may be read, the best first: of those
// that renew their rows and stay, the first in rank of this failure domain reads the
// store for it. An instance that the store does not answer may ask them all, and
// those that its settings name when it knows of nobody yet.
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
