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
	// quarantineTopic is the topic of announced crashes.
	quarantineTopic = "Quarantine"
	// quarantineHold is how long a fingerprint is remembered, and refused once
	// it is in quarantine, after its last crash.
	quarantineHold = time.Hour
	// clearedTTL is how long it is announced that a suspect is cleared.
	clearedTTL = time.Minute
	// settleTime is longer than news take to reach every instance and attempts
	// to move to a new coordinator.
	settleTime = 3 * time.Second
	// lingerTime bounds how long an upstream executes a call that was given up.
	lingerTime = 5 * time.Second
	// absorbInterval is the time between two looks at announced crashes.
	absorbInterval = 200 * time.Millisecond
	// membersAge is how long the list of members is used.
	membersAge = 200 * time.Millisecond
)

// quarantine is this instance's part of the quarantine.
type quarantine struct {
	instance *Instance
	guard    *snipequarantine.Guard
	self     string

	lock    sync.Mutex // guards the fields below
	view    *snipelease.View
	when    time.Time
	members []snipequarantine.Member
	seen    map[string]uint64 // version of the last digest by origin and key
}

// memberID names one run of an instance's process.
func memberID(m snipelease.Instance) string { return m.Name + "/" + m.Incarnation }

func (i *Instance) buildQuarantine() {
	q := &quarantine{instance: i, self: memberID(i.holder.Self), seen: map[string]uint64{}}
	client := &snipequarantine.Client{
		HTTP:    &snipepeer.SecretClient{Client: i.forward.HTTP, Secret: i.Config.PeerSecret},
		Address: q.address,
	}
	registry := &snipequarantine.Registry{Self: q.self, Settle: settleTime, Linger: lingerTime, Hold: quarantineHold}
	q.guard = &snipequarantine.Guard{
		Registry: registry, Members: q.list, Begin: client.Begin, Finish: client.Finish, Replicate: client.Replicate,
		Spread: q.spread, Run: i.execute, Isolation: &snipequarantine.Isolation{Linger: lingerTime},
		Mark: mark, Survived: q.survived, Log: i.Log,
	}
	registry.Announce = q.guard.Announce
	i.quarantine = q
}

// list returns the members, this instance among them.
func (q *quarantine) list() []snipequarantine.Member {
	v := q.instance.holder.View()
	q.lock.Lock()
	defer q.lock.Unlock()
	if v == q.view && time.Since(q.when) < membersAge {
		return q.members
	}
	q.view, q.when = v, time.Now()
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

func (q *quarantine) address(member string) (netip.AddrPort, bool) {
	name, _, _ := strings.Cut(member, "/")
	m, ok := q.instance.holder.View().Instances[name]
	return m.PeerAddress, ok && memberID(m) == member
}

// spread announces a record. One without open crashes only has to overtake the
// earlier ones.
func (q *quarantine) spread(f snipequarantine.Fingerprint, record []byte, ttl time.Duration) {
	if !q.guard.Registry.Suspects(f) {
		ttl = clearedTTL
	}
	q.instance.members.Announce(quarantineTopic, f.String(), record, min(ttl, quarantineHold))
}

// absorb takes what the others have announced.
func (q *quarantine) absorb() {
	digests := q.instance.members.Digests(quarantineTopic)
	seen := make(map[string]uint64, len(digests))
	for _, d := range digests {
		key := d.Origin + "/" + d.Key
		seen[key] = d.Version
		if q.seen[key] == d.Version {
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
	q.seen = seen
}

// run keeps the quarantine's knowledge of members and crashes.
func (q *quarantine) run(ctx context.Context) error {
	return snipetime.Every(ctx, absorbInterval, func(context.Context) { q.absorb() })
}

// dialMark stands for a plain service: a connection proves that it is up.
const dialMark = "service"

// mark returns the beginning of the aliases of the call's adapter.
func mark(c *snipecall.Call) string {
	if c.Service != "" {
		return dialMark
	}
	return c.Adapter.String() + "#"
}

// survived reports whether an upstream is up and still has the mark.
func (q *quarantine) survived(ctx context.Context, upstream, mark string) bool {
	t := q.instance.settings.Current()
	if mark == dialMark {
		return q.answers(ctx, upstream)
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

// answers reports whether an upstream of a plain service takes connections.
func (q *quarantine) answers(ctx context.Context, upstream string) bool {
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
		// Nothing was sent on it.
		_ = connection.Close()
		return true
	}
	return false
}

// isolate leaves of the candidates of a suspect only those where suspects run.
func (q *quarantine) isolate(c *snipecall.Call, all []sniperoute.Candidate) []sniperoute.Candidate {
	if records, _ := q.guard.Registry.Counts(); records == 0 || c.Service != "" {
		return all
	}
	f := snipequarantine.FingerprintOf(c)
	if !q.guard.Registry.Suspects(f) {
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
