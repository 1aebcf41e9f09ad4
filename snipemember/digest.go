package snipemember

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipelog"
)

// Bounds of digests.
const (
	// MaxData bounds the data of a digest, and MaxName its topic and its key, in bytes.
	MaxData = 512
	MaxName = 200
	// MaxOriginDigests bounds the digests kept of one origin. MaxDigests is the total from which on
	// no new digests of other instances are accepted; it does not bound those of this instance.
	MaxOriginDigests = 64
	MaxDigests       = 4096
	// MaxTTL bounds the lifetime of a digest.
	MaxTTL = time.Hour
	// versionShift is the number of low bits of a version that count the announcements of one run
	// of the process. The bits above hold the incarnation at its start.
	versionShift = 20
)

// Digest is a small announcement that one instance distributes to all others. It is not a hash.
type Digest struct {
	// Origin is the instance that announced the digest. Topic and Key identify the subject.
	Origin string
	Topic  string
	Key    string
	// Version grows with each announcement of the origin, over its topics and keys together.
	Version uint64
	// Data is the announcement. It must not be modified.
	Data []byte
}

// digestKey identifies a digest: a later version replaces an earlier one with the same key.
type digestKey struct{ origin, topic, key string }

// queueName returns the name of a changed digest in Membership.queue.
func (k digestKey) queueName() string { return "d/" + k.origin + "/" + k.topic + "/" + k.key }

// digest is a Digest and the time at which it is removed here.
type digest struct {
	Digest
	expires time.Time
}

func (d *digest) id() digestKey { return digestKey{d.Origin, d.Topic, d.Key} }

// Announce distributes data under a topic and a key to all instances for the duration ttl. A later
// announcement under the same topic and key replaces an earlier one. Announcing the same data again
// while more than half of ttl is left sends nothing. An announcement that exceeds a bound is not
// sent; its refusal is logged. Announce does not wait for the announcement to be sent.
func (n *Membership) Announce(topic, key string, data []byte, ttl time.Duration) {
	n.start()
	if len(data) > MaxData || len(topic) > MaxName || len(key) > MaxName || ttl <= 0 || ttl > MaxTTL {
		n.Log.Log(snipelog.DigestRefused, snipelog.Fields{"Topic": topic, "Bytes": len(data)})
		return
	}
	now := time.Now()
	n.lock.Lock()
	defer n.lock.Unlock()
	id := digestKey{n.self.Name, topic, key}
	old, known := n.digests[id]
	if known && bytes.Equal(old.Data, data) && old.expires.Sub(now) > ttl/2 {
		return
	}
	if !known && n.digestCount(n.self.Name) >= MaxOriginDigests {
		n.Log.Log(snipelog.DigestRefused, snipelog.Fields{"Topic": topic, "Digests": MaxOriginDigests})
		return
	}
	n.lastVersion++
	n.digests[id] = &digest{
		Digest:  Digest{Origin: n.self.Name, Topic: topic, Key: key, Version: n.lastVersion, Data: bytes.Clone(data)},
		expires: now.Add(ttl),
	}
	n.enqueueDigest(id)
	n.wakePusher()
}

// digestCount returns the number of digests of an origin that are known here. The lock is held.
func (n *Membership) digestCount(origin string) int {
	total := 0
	for k := range n.digests {
		if k.origin == origin {
			total++
		}
	}
	return total
}

// Digests returns the digests of a topic that have not expired, including those of this instance,
// ordered by origin and key.
func (n *Membership) Digests(topic string) []Digest {
	n.start()
	now := time.Now()
	n.lock.Lock()
	defer n.lock.Unlock()
	var all []Digest
	for k, d := range n.digests {
		if k.topic == topic && now.Before(d.expires) {
			all = append(all, d.Digest)
		}
	}
	slices.SortFunc(all, func(a, b Digest) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Key, b.Key))
	})
	return all
}

// mergeDigest merges a received digest and reports whether it was new. A digest of another instance
// that exceeds MaxOriginDigests or MaxDigests is dropped. The lock is held.
func (n *Membership) mergeDigest(d *digest) bool {
	id := d.id()
	old, known := n.digests[id]
	if known && old.Version >= d.Version {
		return false
	}
	if d.Origin == n.self.Name {
		// The digest is from an earlier start of this instance, whose clock was ahead.
		if d.Version > n.lastVersion {
			n.lastVersion = d.Version
			n.reannounce(id)
		}
		return false
	}
	if !known && (len(n.digests) >= MaxDigests || n.digestCount(d.Origin) >= MaxOriginDigests) {
		return false
	}
	n.digests[id] = d
	n.enqueueDigest(id)
	return true
}

// reannounce gives this instance's own digest a version above all earlier ones and queues it. It
// does nothing if this process has announced no such digest. The lock is held.
func (n *Membership) reannounce(id digestKey) {
	own, ok := n.digests[id]
	if !ok {
		return
	}
	n.lastVersion++
	renewed := *own
	renewed.Version = n.lastVersion
	n.digests[id] = &renewed
	n.enqueueDigest(id)
}
