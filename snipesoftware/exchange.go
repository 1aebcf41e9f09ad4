package snipesoftware

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// copies is the number of other instances that are told an origin.
	copies = 2
	// batchTime is how long origins wait for others that are told to the same instance.
	batchTime = 50 * time.Millisecond
	// maxBatch bounds the origins of one message.
	maxBatch = 512
	// tellTimeout bounds a message with origins, which is told to another instance if it fails.
	tellTimeout = 500 * time.Millisecond
	// maxTells bounds the instances that are tried for one copy of an origin.
	maxTells = 3
	// failurePause is how long an instance is told no origins after a message to it failed.
	failurePause = 2 * time.Second
	// maxAsked bounds the instances that are asked for an origin. Views of who is live differ by a few
	// instances, and an instance that was told is among the first ones in the view of any other.
	maxAsked = 8
	// maxAsking bounds the questions of this instance that are in progress. Callers choose how many streams
	// they name.
	maxAsking = 256
	// askTimeout bounds the question for an origin, for which a caller waits.
	askTimeout = 300 * time.Millisecond
	// endedTime is how long after its end a stream is told when the origins of its service begin to be
	// told: its caller may not have received the end.
	endedTime = 5 * time.Second
	// maxStreams bounds the streams of this instance that run or have just ended.
	maxStreams = 1 << 14
)

var (
	// ErrUnknown is returned for a stream whose version nobody who was asked knows.
	ErrUnknown = errors.New("the software version of the stream is not known")
	// ErrUnanswered is returned if nobody who answered knows the version, and some did not answer.
	ErrUnanswered = errors.New("instances that may know the software version of the stream do not answer")
	// ErrRefused is returned for a stream that the caller must not take up.
	ErrRefused = errors.New("the stream cannot be taken up by this request")
)

// Member is another live instance.
type Member struct {
	// ID identifies one start of the instance.
	ID string
	// Domain is its failure domain.
	Domain string
}

// Exchange keeps the origins of streams at this instance and a few others. Exported fields are set
// before the first call. It is safe for concurrent use.
type Exchange struct {
	// Domain is the failure domain of this instance.
	Domain string
	// Releases is what is known of the versions of services.
	Releases *Releases
	// Members returns the other live instances.
	Members func() []Member
	// Tell sends origins to a member.
	Tell func(ctx context.Context, member string, origins []Origin) error
	// Ask asks a member for the version of a stream.
	Ask func(ctx context.Context, member string, k Key) (Version, Answer, error)
	// Stored returns what the store tells of a stream that nobody who was asked knows; nil if nothing is stored. An error
	// means that the store could not be asked.
	Stored func(ctx context.Context, k Key) (Version, Answer, error)
	// Begun is called when a stream of a service with several versions begins, and must not block; nil for none.
	Begun func()
	// Lost is called with the number of origins that no member could be told; nil for none.
	Lost func(n int)

	// Held holds the origins that others have told, and those that this instance has told or is to tell.
	Held Origins

	lock sync.Mutex // guards the fields below
	// streams holds the streams of this instance that run or have just ended.
	streams map[Key]*stream
	// queued holds the origins that wait to be told, by member.
	queued      map[string][]queuedOrigin
	flushing    bool
	failedUntil map[string]time.Time

	asking atomic.Int64
}

// stream is a stream of this instance.
type stream struct {
	service string
	version Version
	endedAt time.Time // zero while it runs
	toldAt  time.Time // zero if its origin was not told
}

// queuedOrigin is an origin that waits to be told, and how many members were tried.
type queuedOrigin struct {
	Origin
	tells int
}

// Begin records that a stream begins, or is taken up, at this instance. It returns at once.
func (e *Exchange) Begin(service string, o Origin) {
	e.begin(service, o)
	if e.Begun != nil && e.Releases.Several(service) {
		e.Begun()
	}
}

// begin records a stream, and has its origin told if it is to be.
func (e *Exchange) begin(service string, o Origin) {
	tells := e.Releases.TellsOrigins(service)
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.streams == nil {
		e.streams = make(map[Key]*stream)
	}
	s := &stream{service: service, version: o.Version}
	if old := e.streams[o.Key]; old != nil && old.version != o.Version {
		e.Held.Put(Origin{o.Key, old.version}, o)
	}
	if tells || len(e.streams) >= maxStreams {
		e.tellStream(o.Key, s)
	}
	if len(e.streams) < maxStreams {
		e.streams[o.Key] = s
	}
}

// End records that this instance has no more part in a stream.
func (e *Exchange) End(k Key) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if s := e.streams[k]; s != nil {
		s.endedAt = time.Now()
	}
}

// tellStream has the origin of a stream held here and told to others. The lock is held.
func (e *Exchange) tellStream(k Key, s *stream) {
	o := Origin{k, s.version}
	e.Held.Put(o)
	s.toldAt = time.Now()
	for _, m := range e.holders(k) {
		e.enqueue(m.ID, queuedOrigin{Origin: o})
	}
}

// Step tells the origins of the streams of each service whose origins have begun to be told, tells those
// of streams that go on running again, and forgets streams that ended a while ago. It is to be called
// several times a second.
func (e *Exchange) Step() {
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	tells := make(map[string]bool)
	for k, s := range e.streams {
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) >= endedTime {
			delete(e.streams, k)
			continue
		}
		if _, known := tells[s.service]; !known {
			tells[s.service] = e.Releases.TellsOrigins(s.service)
		}
		if tells[s.service] && now.Sub(s.toldAt) >= retellTime && (s.endedAt.IsZero() || s.toldAt.IsZero()) {
			e.tellStream(k, s)
		}
	}
}

// Get returns what this instance knows of a stream.
func (e *Exchange) Get(k Key) (Version, Answer) {
	if v, answer := e.Held.Get(k); answer != Unknown {
		return v, answer
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if s := e.streams[k]; s != nil {
		return s.version, Known
	}
	return "", Unknown
}

// enqueue has an origin told to a member with the next batch. The lock is held.
func (e *Exchange) enqueue(member string, o queuedOrigin) {
	if e.queued == nil {
		e.queued, e.failedUntil = make(map[string][]queuedOrigin), make(map[string]time.Time)
	}
	e.queued[member] = append(e.queued[member], o)
	if !e.flushing {
		e.flushing = true
		time.AfterFunc(batchTime, e.flush)
	}
}

// holders returns the members that are to hold an origin: the first by rank in two failure domains
// other than this instance's, as far as there are such. The lock is held.
func (e *Exchange) holders(k Key) []Member {
	ranked := rank(k, e.Members())
	now := time.Now()
	ranked = slices.DeleteFunc(ranked, func(m Member) bool { return now.Before(e.failedUntil[m.ID]) })
	var chosen []Member
	domains := map[string]bool{e.Domain: true}
	for _, m := range ranked {
		if len(chosen) < copies && !domains[m.Domain] {
			domains[m.Domain] = true
			chosen = append(chosen, m)
		}
	}
	for _, m := range ranked {
		if len(chosen) < copies && !slices.Contains(chosen, m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// rank returns the members in the order in which they are to hold an origin, by rendezvous hash.
func rank(k Key, members []Member) []Member {
	type scored struct {
		Member
		score uint64
	}
	key := k.hash()
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{m, sniperoute.Score(key, sniperoute.Hash(m.ID))})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Member, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.Member)
	}
	return ranked
}

// flush sends the batches that are queued.
func (e *Exchange) flush() {
	e.lock.Lock()
	queued := e.queued
	e.queued, e.flushing = make(map[string][]queuedOrigin), false
	e.lock.Unlock()
	for member, origins := range queued {
		for batch := range slices.Chunk(origins, maxBatch) {
			go e.tell(member, batch)
		}
	}
}

// tell sends a batch to a member. If it fails, others are told in its place.
func (e *Exchange) tell(member string, batch []queuedOrigin) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	origins := make([]Origin, 0, len(batch))
	for _, o := range batch {
		origins = append(origins, o.Origin)
	}
	if e.Tell(ctx, member, origins) == nil {
		return
	}
	e.lock.Lock()
	e.failedUntil[member] = time.Now().Add(failurePause)
	lost := 0
	for _, o := range batch {
		if !e.tellAnother(o) {
			lost++
		}
	}
	e.lock.Unlock()
	if lost > 0 && e.Lost != nil {
		e.Lost(lost)
	}
}

// tellAnother queues an origin for another member after one could not be told, and reports whether
// there is one to try. The member may have the origin already. The lock is held.
func (e *Exchange) tellAnother(o queuedOrigin) bool {
	if o.tells++; o.tells >= maxTells {
		return false
	}
	holders := e.holders(o.Key)
	if len(holders) == 0 {
		return false
	}
	// The last one has most likely been chosen in place of the member that failed.
	e.enqueue(holders[len(holders)-1].ID, o)
	return true
}

// reply is the answer of one member about a stream.
type reply struct {
	version Version
	answer  Answer
	err     error
}

// Find returns the version at which a stream began: from what this instance holds, from the sole
// version of the service, from other instances, or from the store. Its errors wrap ErrUnknown, ErrUnanswered or
// ErrRefused.
func (e *Exchange) Find(ctx context.Context, service string, k Key) (Version, error) {
	switch v, answer := e.Get(k); answer {
	case Known:
		return v, nil
	case Refused:
		return "", ErrRefused
	default:
	}
	if v, ok := e.Releases.Sole(service); ok {
		return v, nil
	}
	v, err := e.ask(ctx, k)
	if err == nil || errors.Is(err, ErrRefused) || e.Stored == nil {
		return v, err
	}
	stored, answer, storeErr := e.Stored(ctx, k)
	switch {
	case storeErr != nil:
		return "", ErrUnanswered
	case answer == Known:
		return stored, nil
	case answer == Refused:
		return "", ErrRefused
	}
	return "", err
}

// severalOrigins returns the origins of the streams of this instance that run or have just ended, of services with several
// versions. Those that run come first.
func (e *Exchange) severalOrigins(most int) []Origin {
	e.lock.Lock()
	defer e.lock.Unlock()
	if !e.Releases.anySeveral() {
		return nil
	}
	several := make(map[string]bool)
	var origins, ended []Origin
	for k, s := range e.streams {
		if _, known := several[s.service]; !known {
			several[s.service] = e.Releases.Several(s.service)
		}
		switch {
		case !several[s.service]:
		case s.endedAt.IsZero():
			origins = append(origins, Origin{k, s.version})
		default:
			ended = append(ended, Origin{k, s.version})
		}
	}
	origins = append(origins, ended...)
	return origins[:min(len(origins), most)]
}

// ask asks the members that may hold an origin, all at once, and returns with the first that does.
func (e *Exchange) ask(ctx context.Context, k Key) (Version, error) {
	defer e.asking.Add(-1)
	if e.asking.Add(1) > maxAsking {
		return "", ErrUnanswered
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	members := rank(k, e.Members())
	members = members[:min(len(members), maxAsked)]
	replies := make(chan reply, len(members))
	for _, m := range members {
		go func() {
			v, answer, err := e.Ask(ctx, m.ID, k)
			replies <- reply{v, answer, err}
		}()
	}
	result := ErrUnknown
	if len(members) == 0 {
		result = ErrUnanswered
	}
	for range members {
		switch r := <-replies; {
		case r.err != nil:
			result = ErrUnanswered
		case r.answer == Known:
			return r.version, nil
		case r.answer == Refused:
			return "", ErrRefused
		}
	}
	return "", result
}
