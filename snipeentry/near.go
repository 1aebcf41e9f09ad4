package snipeentry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeowner"
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
	reader, ok := leader(i.readers(lost), i.Settings.Peers, failures, lost)
	if !ok {
		return nil, false
	}
	client := i.peers.mirror(reader)
	return func(ctx context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+nearSlack)
		defer cancel()
		answer, err := client.Watch(ctx, &snipeproto.MirrorWatchRequest{
			Table: table, After: after, WaitMilliseconds: wait.Milliseconds(),
		})
		if err != nil {
			return snipemirror.Page{}, err
		}
		return decodePage(answer), nil
	}, true
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
	var near, far []snipeowner.Instance
	for peer, other := range i.holder.View().Live {
		switch {
		case other.Leaving || other.Standby, lost && peer == i.Settings.Peers:
		case other.Domain == i.Settings.Domain:
			near = append(near, other)
		case lost:
			far = append(far, other)
		}
	}
	readers := addresses(near)
	if !lost {
		return readers
	}
	readers = append(readers, addresses(far)...)
	for _, seed := range i.Settings.Seeds {
		if seed != i.Settings.Peers && !slices.Contains(readers, seed) {
			readers = append(readers, seed)
		}
	}
	return readers
}

// addresses returns where instances are reached, the first in rank first.
func addresses(all []snipeowner.Instance) []netip.AddrPort {
	slices.SortFunc(all, func(a, b snipeowner.Instance) int {
		if a.Before(b) {
			return -1
		}
		return 1
	})
	peers := make([]netip.AddrPort, 0, len(all))
	for _, a := range all {
		peers = append(peers, a.Peer)
	}
	return peers
}

func decodePage(m *snipeproto.MirrorWatchResponse) snipemirror.Page {
	p := snipemirror.Page{
		Position: m.GetPosition(), Whole: m.GetWhole(),
		Age: time.Duration(m.GetAgeMilliseconds()) * time.Millisecond,
	}
	for _, r := range m.GetRows() {
		p.Rows = append(p.Rows, snipemirror.Row{
			Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(),
		})
	}
	return p
}

// maxNearWait bounds the wait that another instance may ask for.
const maxNearWait = 10 * time.Second

// mirrorServer serves this instance's copies to others.
type mirrorServer struct {
	mirrors map[string]*snipemirror.Mirror
}

// Watch implements snipeproto.Mirror.
func (s *mirrorServer) Watch(ctx context.Context, r *snipeproto.MirrorWatchRequest) (*snipeproto.MirrorWatchResponse, error) {
	m := s.mirrors[r.GetTable()]
	if m == nil {
		return nil, twirp.NotFoundError("no copy of this table")
	}
	wait := min(time.Duration(r.GetWaitMilliseconds())*time.Millisecond, maxNearWait)
	p, err := m.Watch(ctx, r.GetAfter(), wait)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	answer := &snipeproto.MirrorWatchResponse{
		Position: p.Position, Whole: p.Whole,
		// Rounded up: a copy must not look younger with each instance that passes it on.
		AgeMilliseconds: (p.Age + time.Millisecond - 1).Milliseconds(),
	}
	for _, row := range p.Rows {
		answer.Rows = append(answer.Rows, &snipeproto.MirrorRow{
			Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Removed,
		})
	}
	return answer, nil
}
