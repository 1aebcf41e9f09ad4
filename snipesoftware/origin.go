package snipesoftware

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// KeySize is the size of a Key in bytes: half of it for the attempt, half for who may take its
// stream up.
const KeySize = 16

// ErrKey is returned for bytes that are no key.
var ErrKey = errors.New("not the key of a stream")

// Key identifies a stream: the attempt that brought its first event, and who may take it up.
type Key struct {
	attempt, owner [KeySize / 2]byte
}

// Stream is what a Key is derived from.
type Stream struct {
	// Attempt is the identifier of the attempt that brought the first event.
	Attempt string
	// Only a request of the same workspace, route, service, model and adapter may take the stream up.
	Workspace, Route, Service, Model, Adapter string
}

// Key returns the key of the stream.
func (s Stream) Key() Key {
	return Key{attempt: digest(s.Attempt), owner: digest(s.Workspace, s.Route, s.Service, s.Model, s.Adapter)}
}

// digest returns a hash of texts that differs if any of them does.
func digest(texts ...string) (d [KeySize / 2]byte) {
	h := sha256.New()
	for _, t := range texts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(t)))
		h.Write(size[:])
		h.Write([]byte(t))
	}
	copy(d[:], h.Sum(nil))
	return d
}

// Bytes returns the encoding of the key.
func (k Key) Bytes() []byte { return append(k.attempt[:], k.owner[:]...) }

// KeyFrom returns the key that Bytes has encoded. Its errors wrap ErrKey.
func KeyFrom(data []byte) (Key, error) {
	var k Key
	if len(data) != KeySize {
		return k, errors.Wrapf(ErrKey, "%d bytes", len(data))
	}
	copy(k.attempt[:], data)
	copy(k.owner[:], data[len(k.attempt):])
	return k, nil
}

// hash returns a hash of the key by which instances are ranked for it.
func (k Key) hash() uint64 {
	return binary.BigEndian.Uint64(k.attempt[:]) ^ binary.BigEndian.Uint64(k.owner[:])
}

// Origin is the version at which a stream began.
type Origin struct {
	Key     Key
	Version Version
}

// Answer is what an instance knows of a stream.
type Answer uint8

// The answers about a stream.
const (
	// Unknown means that the instance knows nothing of the stream.
	Unknown Answer = iota
	// Known means that it knows the version.
	Known
	// Refused means that the stream must not be taken up: the attempt's stream is somebody else's, or it
	// is not clear at which version it began.
	Refused
)

// maxOrigins bounds the origins that an instance holds.
const maxOrigins = 1 << 16

// Origins holds the origins of streams, up to a number and for a time. The zero value is ready to
// use. It is safe for concurrent use.
type Origins struct {
	lock    sync.Mutex // guards the fields below
	origins map[Key]originEntry
	// attempts counts the origins by attempt.
	attempts map[[KeySize / 2]byte]int
	// order holds the keys in the order in which they were put. A key that was put again is there twice,
	// and its older place counts no more.
	order []orderedKey
}

// originEntry is an origin that is held, and when it was put last.
type originEntry struct {
	version   Version
	ambiguous bool
	putAt     time.Time
}

// orderedKey is a key with the time at which it was put.
type orderedKey struct {
	key   Key
	putAt time.Time
}

// Put records an origin, or renews it. A stream that is said to have begun at two versions is refused
// from then on.
func (o *Origins) Put(all ...Origin) {
	now := time.Now()
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.origins == nil {
		o.origins, o.attempts = make(map[Key]originEntry), make(map[[KeySize / 2]byte]int)
	}
	for _, n := range all {
		e, held := o.origins[n.Key]
		if !held {
			o.attempts[n.Key.attempt]++
			e.version = n.Version
		}
		e.ambiguous = e.ambiguous || e.version != n.Version
		e.putAt = now
		o.origins[n.Key] = e
		o.order = append(o.order, orderedKey{n.Key, now})
	}
	o.drop(now)
}

// drop removes the origins that are too old or too many. The lock is held.
func (o *Origins) drop(now time.Time) {
	n := 0
	for ; n < len(o.order); n++ {
		k := o.order[n]
		if len(o.order)-n <= maxOrigins && now.Sub(k.putAt) < originRetention {
			break
		}
		if e := o.origins[k.key]; !e.putAt.Equal(k.putAt) {
			continue // it was put again
		}
		delete(o.origins, k.key)
		if o.attempts[k.key.attempt]--; o.attempts[k.key.attempt] == 0 {
			delete(o.attempts, k.key.attempt)
		}
	}
	if n > 0 {
		o.order = o.order[n:]
	}
}

// Get returns what is known of a stream.
func (o *Origins) Get(k Key) (Version, Answer) {
	o.lock.Lock()
	defer o.lock.Unlock()
	e, held := o.origins[k]
	switch {
	case held && time.Since(e.putAt) >= originRetention:
		return "", Unknown
	case held && e.ambiguous, !held && o.attempts[k.attempt] > 0:
		return "", Refused
	case held:
		return e.version, Known
	}
	return "", Unknown
}

// Len returns the number of origins held.
func (o *Origins) Len() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	return len(o.origins)
}
