package snipeentry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeproto"
)

// copyReadSlack is how much longer than its wait for a change a read of another instance's copy may
// take. It may be short because both instances are usually in one failure domain.
const copyReadSlack = 200 * time.Millisecond

// peerCopy returns a function that reads another instance's copy of a table. A reader is an
// instance whose copy may be read (see readers). The other instance is the first reader by rank of
// this failure domain, and after each of failures consecutive failures the next one by rank. If
// this instance is itself the first reader of its domain, the other instance is the global reader.
// If lost is set, because the store does not answer this instance, the other instance may be of any
// domain. peerCopy returns false if this instance should read the store itself.
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
		sent := time.Now()
		answer, err := client.Watch(ctx, &snipeproto.MirrorWatchRequest{
			Table: table, After: after, WaitMilliseconds: wait.Milliseconds(),
		})
		if err != nil {
			return snipemirror.Page{}, err
		}
		return decodePage(answer, sent)
	}, true
}

// maxCopyAges are the ages, counted from the read of the store, at which another instance's copy is
// too old, so that the store is read instead. Each age exceeds the sum of the wait and the interval
// of a read, because a copy gets as old as that sum without any failure.
type maxCopyAges struct {
	// Direct applies if the first instance by rank of each failure domain reads the store, and the
	// other instances of the domain read that instance's copy.
	//
	// First and Others apply if a single instance reads the store for all domains. First applies to
	// the first instance by rank of each domain, which reads the single reader's copy. Others
	// applies to the other instances of the domain, which read the first instance's copy. Others is
	// longer than First, so that after the loss of the single reader only the first instances read
	// the store.
	Direct, First, Others time.Duration
}

var (
	// tableCopyAges apply to the operators' declarations and to the registry. Even if the instance
	// that reads the store loses it at the worst moment, each change is known within two seconds,
	// or within three if a single instance reads the store for all domains.
	tableCopyAges = maxCopyAges{Direct: 1400 * time.Millisecond, First: 1500 * time.Millisecond, Others: 2100 * time.Millisecond}
	// ownershipCopyAges apply to the ownership rows. These copies may be older, because the loss of
	// an instance is detected no sooner than the instance's lease ends.
	ownershipCopyAges = maxCopyAges{Direct: 2500 * time.Millisecond, First: 2 * time.Second, Others: 2500 * time.Millisecond}
)

// singleReaderStaleness is compared with the time within which the settings demand that changes are
// known (Settings.maxStaleness). If they allow this time or more, one instance reads the store for
// all failure domains. If they demand less, each domain has its own reader, because tableCopyAges
// guarantees only three seconds with a single reader.
const singleReaderStaleness = 3 * time.Second

// singleReader reports whether a single instance reads the store for all failure domains.
func (i *Instance) singleReader() bool { return i.Settings.maxStaleness() >= singleReaderStaleness }

// maxCopyAge returns the age at which another instance's copy is too old for this instance, which
// depends on the instance from which this one reads.
func (i *Instance) maxCopyAge(ages maxCopyAges) time.Duration {
	if !i.singleReader() {
		return ages.Direct
	}
	if readers := i.readers(false); len(readers) > 0 && readers[0] == i.Settings.Peers {
		return ages.First
	}
	return ages.Others
}

// globalReader returns the instance that alone reads the store for all failure domains: the highest
// in rank that is neither leaving nor on standby. The first instance by rank of every other domain
// reads that instance's copy. globalReader returns false if each domain has its own reader, if this
// instance is the global reader, or if none is known.
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

// followedReader returns the reader whose copy the instance self reads (follows) after a number of
// consecutive failures, or false if the instance should read the store itself. As long as the store
// answers (lost is false), no instance follows a reader that ranks below the instance: two
// instances that follow each other would both get stale. If lost is set, the readers are tried in
// turn without end.
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

// readers returns the addresses of the instances whose copies may be read, best first: the live
// instances of this failure domain, by rank (the order of snipeowner.View.Ranked), that are neither
// leaving nor on standby. The first of them reads the store, or the global reader's copy, for the
// domain; it may be this instance. If lost is set, this instance is left out, and the instances of
// other domains follow, then the seeds of the settings, for an instance that knows no others yet.
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
