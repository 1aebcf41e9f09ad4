package snipeentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
)

// nearSlack is how much longer than its wait a read of another instance's copy may
// take: both are in one failure domain.
const nearSlack = 500 * time.Millisecond

// near returns how to read another instance's copy of a table: that of the instance
// which reads the store for this failure domain. It is false when that is this one,
// or when no other is known.
func (i *Instance) near(table string) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
	reader, ok := i.reader()
	if !ok || reader == i.Settings.Peers {
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

// reader returns the instance that reads the store for this failure domain: the
// first in rank of those that renew their rows and stay.
func (i *Instance) reader() (netip.AddrPort, bool) {
	var best netip.AddrPort
	var rank uint64
	for peer, other := range i.holder.View().Live {
		if other.Domain != i.Settings.Domain || other.Leaving || other.Standby {
			continue
		}
		if r := snipeowner.Rank(netip.AddrPort{}, peer); !best.IsValid() || r > rank {
			best, rank = peer, r
		}
	}
	return best, best.IsValid()
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
		Position: p.Position, Whole: p.Whole, AgeMilliseconds: p.Age.Milliseconds(),
	}
	for _, row := range p.Rows {
		answer.Rows = append(answer.Rows, &snipeproto.MirrorRow{
			Key: row.Key, Value: row.Value, Version: row.Version, Removed: row.Removed,
		})
	}
	return answer, nil
}
