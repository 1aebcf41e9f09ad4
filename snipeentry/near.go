package snipeentry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeproto"
)

// nearSlack is how much longer than its wait a read of another instance's copy may
// take: both are in one failure domain.
const nearSlack = 200 * time.Millisecond

// near returns how to read another instance's copy of a table: that of the instance
// which reads the store for this failure domain, or of the next one in rank after
// each failure. It is false when this instance is to read the store itself; when the
// store does not answer it, any other instance will do.
func (i *Instance) near(table string, failures int, lost bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
	readers := i.readers(lost)
	reader, ok := leader(readers, i.Settings.Peers, failures, lost)
	if !ok && !lost && failures == 0 {
		reader, ok = i.root()
	}
	if !ok {
		return nil, false
	}
	client := i.peers.mirrors.of(reader)
	return func(ctx context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+nearSlack)
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

// copyAges are how old a copy may become before the store is read itself: more than a read's
// wait and pace together.
type copyAges struct {
	// Direct is for copies of an instance that reads the store, where each failure domain has
	// one. Where one instance reads the store for all domains, First is for the first instance
	// of a domain, which follows it, and Others for those that follow the first: these wait
	// longer, so that the loss of the one reader makes the first instances read the store and
	// not all.
	Direct, First, Others time.Duration
}

var (
	// feedAges are those of what operators declare and of the registry: so short that what
	// must be known within two seconds, or within three where one reads for all, is known when
	// the reader loses the store at the worst moment.
	feedAges = copyAges{Direct: 1400 * time.Millisecond, First: 1500 * time.Millisecond, Others: 2100 * time.Millisecond}
	// ownershipAges are those of the rows of ownership, by which nobody's death is told sooner
	// than by the lease.
	ownershipAges = copyAges{Direct: 2500 * time.Millisecond, First: 2 * time.Second, Others: 2500 * time.Millisecond}
)

// oneReaderFrom is the least time for knowledge to spread with which one instance reads the
// store for all failure domains.
const oneReaderFrom = 3 * time.Second

// oneReader reports whether one instance reads the store for all failure domains.
func (i *Instance) oneReader() bool { return i.Settings.freshness() >= oneReaderFrom }

// copyAge returns how old this instance's copy may become.
func (i *Instance) copyAge(ages copyAges) time.Duration {
	if !i.oneReader() {
		return ages.Direct
	}
	if readers := i.readers(false); len(readers) > 0 && readers[0] == i.Settings.Peers {
		return ages.First
	}
	return ages.Others
}

// root returns the instance that reads the store for all failure domains, for the first
// instance of another domain; false where each domain reads for itself.
func (i *Instance) root() (netip.AddrPort, bool) {
	if !i.oneReader() {
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
func leader(readers []netip.AddrPort, self netip.AddrPort, failures int, lost bool) (netip.AddrPort, bool) {
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
	var readers, far []netip.AddrPort
	for _, other := range i.holder.View().Ranked {
		switch {
		case other.Leaving || other.Standby, lost && other.Peer == i.Settings.Peers:
		case other.Domain == i.Settings.Domain:
			readers = append(readers, other.Peer)
		case lost:
			far = append(far, other.Peer)
		}
	}
	if !lost {
		return readers
	}
	readers = append(readers, far...)
	for _, seed := range i.Settings.Seeds {
		if seed != i.Settings.Peers && !slices.Contains(readers, seed) {
			readers = append(readers, seed)
		}
	}
	return readers
}
