package snipeentry

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipesignal"
)

const (
	// signalTimeout bounds one message about the signals that upstreams send in their answers. It
	// may be short because a message that is lost does no lasting harm: signals are sent again
	// while they are in force.
	signalTimeout = 300 * time.Millisecond
	// signalPeersPerDomain is how many instances of each failure domain receive signals directly if
	// the loads of engines are gathered. The other instances of the domain receive the signals from
	// the one that gathers the loads, together with the loads.
	signalPeersPerDomain = 2
)

// sourceField is the log field for the origin of a signal, or of the announcement that an upstream
// is leaving.
const sourceField = "Source"

// buildSignals creates the tracker of upstreams' signals.
func (i *Instance) buildSignals() {
	i.signals = &snipesignal.Tracker{Share: i.limitShare, Changed: i.signalChanged, BackoffStarted: i.logBackoff, Invalid: i.logInvalidSignal}
	i.brittle = &snipesignal.BrittleTracker{Changed: i.brittleChanged}
}

// brittleChanged logs and counts that a service has become brittle, or no longer is.
func (i *Instance) brittleChanged(c snipesignal.BrittleChange) {
	fields := snipelog.Fields{serviceField: c.Service, "MaxRefusals": c.MaxRefusals, upstreamField: c.Upstream, sourceField: c.Source}
	if c.Brittle {
		i.meter.Count(signalCounter("Brittle"))
		i.Log.Log(snipelog.ServiceBrittle, fields)
		return
	}
	i.meter.Count(signalCounter("NotBrittle"))
	fields["AfterMilliseconds"] = time.Since(c.Since).Milliseconds()
	fields["Refusals"], fields["Broken"] = c.Refusals, c.Broken
	i.Log.Log(snipelog.ServiceBrittleEnded, fields)
}

// addressKey returns a key that identifies an address in a ranking.
func addressKey(a netip.AddrPort) uint64 {
	b := a.Addr().As16()
	const portBits = 16
	return binary.BigEndian.Uint64(b[:8]) ^ binary.BigEndian.Uint64(b[8:])<<portBits ^ uint64(a.Port())
}

// rankFor returns the rank of an instance, from 0, among the live ones for an upstream, by rendezvous hash. All
// instances that know the same live instances compute the same ranking.
func rankFor(upstream string, self netip.AddrPort, live map[netip.AddrPort]snipeowner.Instance) int {
	key := sniperoute.Hash(upstream)
	own := sniperoute.Score(key, addressKey(self))
	rank := 0
	for peer := range live {
		if peer != self && sniperoute.Score(key, addressKey(peer)) > own {
			rank++
		}
	}
	return rank
}

// signalCounter returns the name of the counter of signals of one kind.
func signalCounter(kind string) string {
	return `snipepitch_upstream_signals_total{signal="` + kind + `"}`
}

// signalChanged logs and counts a change of an upstream's signals. If the upstream now signals that
// it is leaving, signalChanged also marks the upstream as leaving in the directory.
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

// limitChanged logs and counts that an upstream's limit was set, changed or lifted.
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

// logBackoff logs and counts that an upstream asked this instance for a backoff: to send it nothing
// for a time.
func (i *Instance) logBackoff(upstream string, backoff time.Duration) {
	i.meter.Count(signalCounter("Rest"))
	i.Log.Log(snipelog.UpstreamRests, snipelog.Fields{upstreamField: upstream, "RestMilliseconds": backoff.Milliseconds()})
}

// logInvalidSignal logs and counts a signal that cannot be parsed.
func (i *Instance) logInvalidSignal(upstream, text string) {
	i.meter.Count(signalCounter("Wrong"))
	i.Log.Log(snipelog.SignalWrong, snipelog.Fields{upstreamField: upstream, "Value": text})
}

// sendSignals sends other instances the signals that this instance received from upstreams and that
// are due to be sent now, and does not wait for the answers.
func (i *Instance) sendSignals(ctx context.Context) {
	updates, brittle := i.signals.PendingUpdates(), i.brittle.PendingUpdates()
	if len(updates) == 0 && len(brittle) == 0 {
		return
	}
	r := &snipeproto.AdapterSignalRequest{Signals: encodeSignals(updates)}
	r.Brittle, r.BrittleEnded = encodeBrittle(brittle)
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

// signalPeers returns the instances to which signals are sent, all of them other instances that are
// not leaving. If the loads of engines are gathered, they are, in each failure domain, the first
// signalPeersPerDomain by rank that are not on standby. Otherwise they are all.
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

// Signal implements snipeproto.Adapter: it merges the signals that another instance received.
func (s *peerServer) Signal(_ context.Context, r *snipeproto.AdapterSignalRequest) (*snipeproto.AdapterSignalResponse, error) {
	s.signals.Merge(decodeSignals(r.GetSignals()))
	s.brittle.Merge(decodeBrittle(r.GetBrittle(), r.GetBrittleEnded()))
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
