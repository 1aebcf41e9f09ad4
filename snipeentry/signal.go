package snipeentry

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipesignal"
)

const (
	// signalTimeout bounds one message about what upstreams say: it is told again while it stands.
	signalTimeout = 300 * time.Millisecond
	// signalPeersPerDomain is how many instances of a failure domain are told where there are many; the
	// others learn it from them with the loads of engines.
	signalPeersPerDomain = 2
)

// sourceField names in log lines from whom something is known.
const sourceField = "Source"

// buildSignals makes the book of what upstreams say of themselves.
func (i *Instance) buildSignals() {
	i.signals = &snipesignal.Book{Part: i.limitShare, Changed: i.signalChanged, Rested: i.logBackoff, Wrong: i.logInvalidSignal}
}

// limitShare returns this instance's part of an upstream's limit: instances rank for each upstream
// in another order, the same on all of them.
func (i *Instance) limitShare(upstream string, limit float64) snipesignal.Part {
	key := sniperoute.Hash(upstream)
	self := i.Settings.Peers
	own := sniperoute.Score(key, addressKey(self))
	rank := 0
	for peer := range i.holder.View().Live {
		if peer != self && sniperoute.Score(key, addressKey(peer)) > own {
			rank++
		}
	}
	return snipesignal.Divide(limit, i.sharingInstances(), rank)
}

// addressKey tells addresses apart for a rank.
func addressKey(a netip.AddrPort) uint64 {
	b := a.Addr().As16()
	const portBits = 16
	return binary.BigEndian.Uint64(b[:8]) ^ binary.BigEndian.Uint64(b[8:])<<portBits ^ uint64(a.Port())
}

// signalCounter counts what upstreams say, by its kind.
func signalCounter(kind string) string {
	return `snipepitch_upstream_signals_total{signal="` + kind + `"}`
}

// signalChanged takes a change of what an upstream says of itself.
func (i *Instance) signalChanged(c snipesignal.Change) {
	if c.Now.Leaving && !c.Before.Leaving {
		i.meter.Count(signalCounter("Leaving"))
		i.Log.Log(snipelog.UpstreamLeaving, snipelog.Fields{upstreamField: c.Upstream, sourceField: c.Source})
		i.directory.Leave(c.Upstream)
	}
	if c.Now.Limited || c.Before.Limited {
		i.limitChanged(c)
	}
}

// limitChanged logs a change of an upstream's limit.
func (i *Instance) limitChanged(c snipesignal.Change) {
	fields := snipelog.Fields{upstreamField: c.Upstream, sourceField: c.Source}
	if c.Before.Limited {
		fields["Before"] = c.Before.Limit
	}
	if !c.Now.Limited {
		i.meter.Count(signalCounter("Free"))
		i.Log.Log(snipelog.UpstreamFree, fields)
		return
	}
	i.meter.Count(signalCounter("Limited"))
	fields["PerSecond"], fields["Instances"] = c.Now.Limit, i.instances()
	fields["Rank"], fields["IntervalMilliseconds"] = c.Part.Rank, c.Part.Interval.Milliseconds()
	i.Log.Log(snipelog.UpstreamLimited, fields)
}

// logBackoff logs that an upstream wants to be left alone by this instance.
func (i *Instance) logBackoff(upstream string, rest time.Duration) {
	i.meter.Count(signalCounter("Rest"))
	i.Log.Log(snipelog.UpstreamRests, snipelog.Fields{upstreamField: upstream, "RestMilliseconds": rest.Milliseconds()})
}

// logInvalidSignal logs what cannot be understood.
func (i *Instance) logInvalidSignal(upstream, text string) {
	i.meter.Count(signalCounter("Wrong"))
	i.Log.Log(snipelog.SignalWrong, snipelog.Fields{upstreamField: upstream, "Value": text})
}

// sendSignals tells other instances what upstreams have said to this one.
func (i *Instance) sendSignals(ctx context.Context) {
	updates := i.signals.News()
	if len(updates) == 0 {
		return
	}
	r := &snipeproto.AdapterSignalRequest{Signals: encodeSignals(updates)}
	for _, peer := range i.signalPeers() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, signalTimeout)
			defer cancel()
			// Whoever is not reached hears of it from the upstream, or is told again.
			_, _ = i.peers.adapters.client(peer).Signal(ctx, r)
		}()
	}
}

// signalPeers returns the instances that are told what upstreams say: all where there are few, else
// the first ones of each failure domain.
func (i *Instance) signalPeers() []netip.AddrPort {
	var all []netip.AddrPort
	most := len(i.holder.View().Ranked)
	if i.gathersLoads() {
		most = signalPeersPerDomain
	}
	sent := make(map[string]int)
	for _, other := range i.holder.View().Ranked {
		if other.Peer == i.Settings.Peers || other.Leaving || other.Standby && i.gathersLoads() || sent[other.Domain] == most {
			continue
		}
		sent[other.Domain]++
		all = append(all, other.Peer)
	}
	return all
}

// Signal implements snipeproto.Adapter.
func (s *peerServer) Signal(_ context.Context, r *snipeproto.AdapterSignalRequest) (*snipeproto.AdapterSignalResponse, error) {
	s.signals.Learn(decodeSignals(r.GetSignals()))
	return &snipeproto.AdapterSignalResponse{}, nil
}

func encodeSignals(all []snipesignal.Statement) []*snipeproto.UpstreamSignal {
	encoded := make([]*snipeproto.UpstreamSignal, 0, len(all))
	for _, s := range all {
		encoded = append(encoded, &snipeproto.UpstreamSignal{
			Upstream: s.Upstream, Limited: s.Limited, Limit: s.Limit, AgeMilliseconds: s.Age.Milliseconds(),
			Leaving: s.Leaving,
		})
	}
	return encoded
}

func decodeSignals(all []*snipeproto.UpstreamSignal) []snipesignal.Statement {
	decoded := make([]snipesignal.Statement, 0, len(all))
	for _, s := range all {
		decoded = append(decoded, snipesignal.Statement{
			Upstream: s.GetUpstream(),
			State:    snipesignal.State{Limit: s.GetLimit(), Limited: s.GetLimited(), Leaving: s.GetLeaving()},
			Age:      time.Duration(s.GetAgeMilliseconds()) * time.Millisecond,
		})
	}
	return decoded
}
