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
	// signalTimeout bounds one message about upstreams' signals. A lost message is made up for:
	// signals are sent again while they are in force.
	signalTimeout = 300 * time.Millisecond
	// signalPeersPerDomain is how many instances of each failure domain receive signals directly if
	// there are many instances. The others receive them from these together with the loads of
	// engines.
	signalPeersPerDomain = 2
)

// sourceField is the log field for the origin of a signal.
const sourceField = "Source"

// buildSignals creates the tracker of upstreams' signals.
func (i *Instance) buildSignals() {
	i.signals = &snipesignal.Tracker{Share: i.limitShare, Changed: i.signalChanged, BackoffStarted: i.logBackoff, Invalid: i.logInvalidSignal}
}

// limitShare returns this instance's share of an upstream's limit. The ranking of the instances
// differs between upstreams, but all instances compute the same one.
func (i *Instance) limitShare(upstream string, limit float64) snipesignal.Share {
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

// addressKey returns a key that identifies an address in a ranking.
func addressKey(a netip.AddrPort) uint64 {
	b := a.Addr().As16()
	const portBits = 16
	return binary.BigEndian.Uint64(b[:8]) ^ binary.BigEndian.Uint64(b[8:])<<portBits ^ uint64(a.Port())
}

// signalCounter returns the name of the counter of signals of one kind.
func signalCounter(kind string) string {
	return `snipepitch_upstream_signals_total{signal="` + kind + `"}`
}

// signalChanged handles a change of an upstream's signals.
func (i *Instance) signalChanged(c snipesignal.Change) {
	if c.Now.Leaving && !c.Before.Leaving {
		i.meter.Count(signalCounter("Leaving"))
		i.Log.Log(snipelog.UpstreamLeaving, snipelog.Fields{upstreamField: c.Upstream, sourceField: c.Source})
		i.directory.MarkLeaving(c.Upstream)
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
	fields["Rank"], fields["IntervalMilliseconds"] = c.Share.Rank, c.Share.Interval.Milliseconds()
	i.Log.Log(snipelog.UpstreamLimited, fields)
}

// logBackoff logs that an upstream asked this instance for a backoff.
func (i *Instance) logBackoff(upstream string, backoff time.Duration) {
	i.meter.Count(signalCounter("Rest"))
	i.Log.Log(snipelog.UpstreamRests, snipelog.Fields{upstreamField: upstream, "RestMilliseconds": backoff.Milliseconds()})
}

// logInvalidSignal logs a signal that cannot be parsed.
func (i *Instance) logInvalidSignal(upstream, text string) {
	i.meter.Count(signalCounter("Wrong"))
	i.Log.Log(snipelog.SignalWrong, snipelog.Fields{upstreamField: upstream, "Value": text})
}

// sendSignals sends the signals that this instance received from upstreams to other instances.
func (i *Instance) sendSignals(ctx context.Context) {
	updates := i.signals.PendingUpdates()
	if len(updates) == 0 {
		return
	}
	r := &snipeproto.AdapterSignalRequest{Signals: encodeSignals(updates)}
	for _, peer := range i.signalPeers() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, signalTimeout)
			defer cancel()
			// An instance that is not reached receives the signal from the upstream itself, or with
			// a later message.
			_, _ = i.peers.adapters.client(peer).Signal(ctx, r)
		}()
	}
}

// signalPeers returns the instances to which signals are sent: all if there are few, otherwise the
// first ones of each failure domain.
func (i *Instance) signalPeers() []netip.AddrPort {
	var all []netip.AddrPort
	maxPerDomain := len(i.holder.View().Ranked)
	if i.gathersLoads() {
		maxPerDomain = signalPeersPerDomain
	}
	sent := make(map[string]int)
	for _, other := range i.holder.View().Ranked {
		if other.Peer == i.Settings.Peers || other.Leaving || other.Standby && i.gathersLoads() || sent[other.Domain] == maxPerDomain {
			continue
		}
		sent[other.Domain]++
		all = append(all, other.Peer)
	}
	return all
}

// Signal implements snipeproto.Adapter.
func (s *peerServer) Signal(_ context.Context, r *snipeproto.AdapterSignalRequest) (*snipeproto.AdapterSignalResponse, error) {
	s.signals.Merge(decodeSignals(r.GetSignals()))
	return &snipeproto.AdapterSignalResponse{}, nil
}

func encodeSignals(all []snipesignal.Update) []*snipeproto.UpstreamSignal {
	encoded := make([]*snipeproto.UpstreamSignal, 0, len(all))
	for _, s := range all {
		encoded = append(encoded, &snipeproto.UpstreamSignal{
			Upstream: s.Upstream, Limited: s.Limited, Limit: s.Limit, AgeMilliseconds: s.Age.Milliseconds(),
			Leaving: s.Leaving,
		})
	}
	return encoded
}

func decodeSignals(all []*snipeproto.UpstreamSignal) []snipesignal.Update {
	decoded := make([]snipesignal.Update, 0, len(all))
	for _, s := range all {
		decoded = append(decoded, snipesignal.Update{
			Upstream: s.GetUpstream(),
			State:    snipesignal.State{Limit: s.GetLimit(), Limited: s.GetLimited(), Leaving: s.GetLeaving()},
			Age:      time.Duration(s.GetAgeMilliseconds()) * time.Millisecond,
		})
	}
	return decoded
}
