package snipeinstance

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipepeer"
	"snipepitch.example/snipepitch/snipequarantine"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipetime"
	"snipepitch.example/snipepitch/snipeupstream"
)

const (
	// quarantineTopic is the membership topic on which instances announce crash records.
	quarantineTopic = "Quarantine"
	// quarantineHold is how long after its last crash a fingerprint is remembered and, if it is in
	// quarantine, refused.
	quarantineHold = time.Hour
	// clearedTTL is how long the record of a cleared suspect is announced.
	clearedTTL = time.Minute
	// settleTime is how long no suspect starts after a crash or a change of the members. It is
	// longer than an update takes to reach every instance and an attempt takes to move to a new
	// coordinator.
	settleTime = 3 * time.Second
	// lingerTime is the assumed upper bound of the time for which an upstream keeps executing a call
	// that was abandoned.
	lingerTime = 5 * time.Second
	// mergeInterval is the time between two polls of announced crash records.
	mergeInterval = 200 * time.Millisecond
	// membersMaxAge is how long a computed list of members is reused.
	membersMaxAge = 200 * time.Millisecond
)

// quarantine connects the quarantine guard to the membership, the owners and the upstreams of this
// instance. A crash record belongs to a fingerprint, the hash of a call's team, target and body;
// the call is a suspect after it was in flight at an upstream that crashed.
type quarantine struct {
	instance *Instance
	guard    *snipequarantine.Guard
	self     string

	lock    sync.Mutex // guards view, listed and members
	view    *snipelease.View
	listed  time.Time // when members was computed
	members []snipequarantine.Member
	// versions holds the version of the last merged announcement (snipemember.Digest) by origin and
	// key. Only the goroutine of loop accesses it.
	versions map[string]uint64
}

// memberID identifies one process of an instance; a restart changes it.
func memberID(m snipelease.Instance) string { return m.Name + "/" + m.Incarnation }

func (i *Instance) buildQuarantine() {
	q := &quarantine{instance: i, self: memberID(i.holder.Self), versions: map[string]uint64{}}
	client := &snipequarantine.Client{
		HTTP:    &snipepeer.SecretClient{Client: i.forward.Pooled, Secret: i.Config.PeerSecret},
		Address: q.address,
	}
	registry := &snipequarantine.Registry{Self: q.self, SettleTime: settleTime, Linger: lingerTime, Retention: quarantineHold}
	q.guard = &snipequarantine.Guard{
		Registry: registry, Members: q.liveMembers, Begin: client.Begin, Finish: client.Finish, Replicate: client.Replicate,
		Spread: q.announce, Run: i.execute, Isolation: &snipequarantine.Isolation{Linger: lingerTime},
		Mark: mark, Survived: q.survived, Log: i.Log,
	}
	registry.Announce = q.guard.Announce
	i.quarantine = q
}

// liveMembers returns the instances in the view of the lease holder that the membership does not
// consider dead, and always this one. The result is reused for membersMaxAge while the view stays
// the same.
func (q *quarantine) liveMembers() []snipequarantine.Member {
	v := q.instance.holder.View()
	q.lock.Lock()
	defer q.lock.Unlock()
	if v == q.view && time.Since(q.listed) < membersMaxAge {
		return q.members
	}
	q.view, q.listed = v, time.Now()
	all := []snipequarantine.Member{snipequarantine.NewMember(q.self, q.instance.Config.Domain)}
	for name, m := range v.Instances {
		known, ok := q.instance.members.Member(name)
		if memberID(m) != q.self && (!ok || known.Live()) {
			all = append(all, snipequarantine.NewMember(memberID(m), m.Domain))
		}
	}
	q.members = all
	return all
}

// address returns the peer address of a member, and false if its process is no longer in the view.
func (q *quarantine) address(member string) (netip.AddrPort, bool) {
	name, _, _ := strings.Cut(member, "/")
	m, ok := q.instance.holder.View().Instances[name]
	return m.PeerAddress, ok && memberID(m) == member
}

// announce publishes a crash record. A record without open crashes is published for clearedTTL
// only, which is long enough to replace the earlier announcements.
func (q *quarantine) announce(f snipequarantine.Fingerprint, record []byte, ttl time.Duration) {
	if !q.guard.Registry.IsSuspect(f) {
		ttl = clearedTTL
	}
	q.instance.members.Announce(quarantineTopic, f.String(), record, min(ttl, quarantineHold))
}

// mergeAnnouncements merges the records that instances have announced into the registry.
func (q *quarantine) mergeAnnouncements() {
	digests := q.instance.members.Digests(quarantineTopic)
	versions := make(map[string]uint64, len(digests))
	for _, d := range digests {
		key := d.Origin + "/" + d.Key
		versions[key] = d.Version
		if q.versions[key] == d.Version {
			continue
		}
		f, err := snipequarantine.ParseFingerprint(d.Key)
		if err == nil {
			err = q.guard.Registry.Merge(f, d.Data)
		}
		if err != nil {
			q.instance.Log.Error(snipelog.RecordRefused, err, snipelog.Fields{"Origin": d.Origin})
		}
	}
	q.versions = versions
}

// loop merges announced crash records until ctx ends.
func (q *quarantine) loop(ctx context.Context) error {
	return snipetime.Every(ctx, mergeInterval, func(context.Context) { q.mergeAnnouncements() })
}

// serviceMark is the mark of calls to plain services, which are up if they accept a connection.
const serviceMark = "service"

// mark returns what identifies the call at its upstream: the prefix of the aliases of its adapter,
// or serviceMark for a plain service.
func mark(c *snipecall.Call) string {
	if c.Service != "" {
		return serviceMark
	}
	return c.Adapter.String() + "#"
}

// survived reports whether an upstream is up and, for an engine, still has an alias that matches
// the mark. The mark is a whole alias or, if it ends with #, a prefix.
func (q *quarantine) survived(ctx context.Context, upstream, mark string) bool {
	t := q.instance.settings.Current()
	if mark == serviceMark {
		return q.acceptsConnection(ctx, upstream)
	}
	settings, ok := t.Platform.Engines[upstream]
	if !ok {
		return false
	}
	e := &snipeupstream.Engine{Name: upstream, Address: settings.Address, Fresh: q.instance.dispatch.Fresh}
	names, err := e.Aliases(ctx)
	if err != nil {
		return false
	}
	for _, n := range names {
		if n == mark || strings.HasSuffix(mark, "#") && strings.HasPrefix(n, mark) {
			return true
		}
	}
	return false
}

// acceptsConnection reports whether an upstream of a plain service accepts a connection.
func (q *quarantine) acceptsConnection(ctx context.Context, upstream string) bool {
	for _, s := range q.instance.settings.Current().Platform.Services {
		u, ok := s.Upstreams[upstream]
		if !ok {
			continue
		}
		var d net.Dialer
		connection, err := d.DialContext(ctx, "tcp", u.Address.String())
		if err != nil {
			return false
		}
		// The connection carried no data, so its error does not matter.
		_ = connection.Close()
		return true
	}
	return false
}

// isolate marks all candidates of a suspect unusable except the upstream on which the suspect runs
// in isolation. Calls that are not suspects, and calls to plain services, keep their candidates.
func (q *quarantine) isolate(c *snipecall.Call, all []sniperoute.Candidate) []sniperoute.Candidate {
	if records, _ := q.guard.Registry.Counts(); records == 0 || c.Service != "" {
		return all
	}
	f := snipequarantine.FingerprintOf(c)
	if !q.guard.Registry.IsSuspect(f) {
		return all
	}
	var usable []string
	for _, k := range all {
		if k.Usable && !k.Excluded {
			usable = append(usable, k.Name)
		}
	}
	name, ok := snipequarantine.IsolationUpstream(f, usable)
	for n := range all {
		all[n].Usable = all[n].Usable && ok && all[n].Name == name
	}
	return all
}
