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
	// MaxData bounds the data of a digest and MaxName its topic and its key,
	// in bytes.
	MaxData = 512
	MaxName = 200
	// MaxOwn bounds the digests of one origin and MaxDigests all of them.
	MaxOwn     = 64
	MaxDigests = 4096
	// MaxTTL bounds the life of a digest.
	MaxTTL = time.Hour
	// versionShift leaves room for the announcements of one incarnation.
	versionShift = 20
)

// Digest is a small announcement of one instance.
type Digest struct {
	// Origin is the instance that announced it, Topic and Key say what about.
	Origin string
	Topic  string
	Key    string
	// Version grows with each announcement of the origin.
	Version uint64
	// Data is the announcement; it is not changed by anyone.
	Data []byte
}

type digestKey struct{ origin, topic, key string }

func (k digestKey) queueName() string { return "d/" + k.origin + "/" + k.topic + "/" + k.key }

type digest struct {
	Digest
	until time.Time
}

func (d *digest) id() digestKey { return digestKey{d.Origin, d.Topic, d.Key} }

// Announce tells all instances the data under a topic and a key for a time. A
// later announcement under the same topic and key replaces it. Announcing the
// same data again before half of the time is over sends nothing. What is
// outside the bounds is not announced, with an event.
func (n *Node) Announce(topic, key string, data []byte, ttl time.Duration) {
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
	if known && bytes.Equal(old.Data, data) && old.until.Sub(now) > ttl/2 {
		return
	}
	if !known && n.count(n.self.Name) >= MaxOwn {
		n.Log.Log(snipelog.DigestRefused, snipelog.Fields{"Topic": topic, "Digests": MaxOwn})
		return
	}
	n.version++
	n.digests[id] = &digest{
		Digest: Digest{Origin: n.self.Name, Topic: topic, Key: key, Version: n.version, Data: bytes.Clone(data)},
		until:  now.Add(ttl),
	}
	n.enqueueDigest(id)
	n.signal()
}

// count returns how many digests an origin has here. The lock is held.
func (n *Node) count(origin string) int {
	total := 0
	for k := range n.digests {
		if k.origin == origin {
			total++
		}
	}
	return total
}

// Digests returns the digests of a topic that count now, those of this
// instance among them, ordered by origin and key.
func (n *Node) Digests(topic string) []Digest {
	n.start()
	now := time.Now()
	n.lock.Lock()
	defer n.lock.Unlock()
	var all []Digest
	for k, d := range n.digests {
		if k.topic == topic && now.Before(d.until) {
			all = append(all, d.Digest)
		}
	}
	slices.SortFunc(all, func(a, b Digest) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Key, b.Key))
	})
	return all
}

// mergeDigest takes a digest from news and reports whether it was new. The
// lock is held.
func (n *Node) mergeDigest(d *digest) bool {
	id := d.id()
	old, known := n.digests[id]
	if known && old.Version >= d.Version {
		return false
	}
	if d.Origin == n.self.Name {
		// Of an earlier start of this instance, whose clock was ahead.
		if d.Version > n.version {
			n.version = d.Version
			n.announceAgain(id)
		}
		return false
	}
	if !known && (len(n.digests) >= MaxDigests || n.count(d.Origin) >= MaxOwn) {
		return false
	}
	n.digests[id] = d
	n.enqueueDigest(id)
	return true
}

// announceAgain gives an own digest a version above all earlier ones.
func (n *Node) announceAgain(id digestKey) {
	own, ok := n.digests[id]
	if !ok {
		return
	}
	n.version++
	renewed := *own
	renewed.Version = n.version
	n.digests[id] = &renewed
	n.enqueueDigest(id)
}
