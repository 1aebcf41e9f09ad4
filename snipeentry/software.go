package snipeentry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesoftware"
)

const (
	// softwarePrefix begins the keys of the rows of releases, which lie in the ownership table because all
	// instances follow it.
	softwarePrefix = "software/"
	// softwareRankDelay is how long each instance waits, by its rank, before it writes a row that another
	// one has not written; maxSoftwareDelay bounds it.
	softwareRankDelay = 200 * time.Millisecond
	maxSoftwareDelay  = 3 * time.Second
	// softwareRetry is the time between two writes of rows: by then the rows that were written are read.
	softwareRetry = time.Second
	// maxSoftwareRows bounds the rows of one write.
	maxSoftwareRows = 32
)

// softwareAnnouncer writes the rows of releases. It is safe for concurrent use.
type softwareAnnouncer struct {
	lock sync.Mutex // guards the fields below
	// dueSince is since when rows are due; zero if none is.
	dueSince time.Time
	nextAt   time.Time
	busy     bool
	// versions holds the software versions of the upstreams in snapshot.
	snapshot *snipedirectory.Snapshot
	versions map[string][]snipesoftware.Version
}

// registered returns the software versions of each service's upstreams; see softwareVersions. It counts them
// anew only if the directory has changed.
func (a *softwareAnnouncer) registered(s *snipedirectory.Snapshot) map[string][]snipesoftware.Version {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.snapshot != s {
		a.snapshot, a.versions = s, softwareVersions(s)
	}
	return a.versions
}

// starts reports whether a write begins now, given whether rows are due and how long this instance leaves
// them to others.
func (a *softwareAnnouncer) starts(now time.Time, due bool, delay time.Duration) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	switch {
	case !due:
		a.dueSince = time.Time{}
		return false
	case a.dueSince.IsZero():
		a.dueSince = now
	}
	if a.busy || now.Before(a.nextAt) || now.Sub(a.dueSince) < delay {
		return false
	}
	a.busy, a.nextAt = true, now.Add(softwareRetry)
	return true
}

func (a *softwareAnnouncer) ended() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.busy = false
}

// buildSoftware creates what knows the software versions of services and of streams.
func (i *Instance) buildSoftware() {
	i.releases = &snipesoftware.Releases{Clock: bootClock}
	i.streams = &snipesoftware.Exchange{
		Domain: i.Settings.Domain, Releases: i.releases, Members: i.streamMembers, Tell: i.tellStreams, Ask: i.askStream,
		Lost: func(n int) { i.meter.Add("snipepitch_stream_origins_lost_total", n) },
	}
	i.meter.Gauge("snipepitch_stream_origins", func() float64 { return float64(i.streams.Held.Len()) })
}

// gatewaySoftware returns the functions by which the gateway asks for software versions.
func (i *Instance) gatewaySoftware() snipegateway.Software {
	return snipegateway.Software{
		Await:    func(ctx context.Context, service string) { i.releases.Await(ctx.Done(), service) },
		MayBegin: i.releases.MayBegin, Find: i.streams.Find, Begin: i.streams.Begin, End: i.streams.End,
	}
}

// applySoftware applies the rows of releases among the ownership rows that were read, and records when the
// store held them.
func (i *Instance) applySoftware(rows []snipemirror.Row) {
	for _, r := range rows {
		service, ok := strings.CutPrefix(r.Key, softwarePrefix)
		if !ok || r.Removed || r.Unchanged {
			continue
		}
		row, err := snipesoftware.DecodeRow(r.Value)
		if err != nil {
			i.Log.Error(snipelog.OwnershipRowWrong, err, snipelog.Fields{"Row": r.Key})
			i.releases.ApplyUnreadable(service, r.Version)
			continue
		}
		i.releases.Apply(service, row, r.Version)
	}
	i.releases.Confirm(i.tables.ownership.Mirror.Confirmed())
}

// announceSoftware has the rows of releases written that are due, as soon as those of higher rank had the time
// to do it, and does not wait for it.
func (i *Instance) announceSoftware(ctx context.Context) {
	if _, known := i.tables.ownership.Mirror.Position(); !known || i.directory.Snapshot() == nil {
		return
	}
	complete := i.tables.directory.Mirror.Age() < maxOwnershipAge
	due := i.releases.Due(i.announcer.registered(i.directory.Snapshot()), complete)
	if !i.announcer.starts(time.Now(), len(due) > 0, i.softwareDelay()) {
		return
	}
	go func() {
		defer i.announcer.ended()
		i.writeSoftware(ctx, due[:min(len(due), maxSoftwareRows)])
	}()
}

// softwareDelay returns how long this instance leaves the writing of rows to those of higher rank.
func (i *Instance) softwareDelay() time.Duration {
	rank := slices.IndexFunc(i.holder.View().Ranked, func(other snipeowner.Instance) bool { return other.Peer == i.Settings.Peers })
	return min(time.Duration(max(rank, 0))*softwareRankDelay, maxSoftwareDelay)
}

// writeSoftware writes rows of releases. If another instance has written one of them meanwhile, nothing is
// written; the rows are read soon, and what is still due then is written.
func (i *Instance) writeSoftware(ctx context.Context, due []snipesoftware.RowChange) {
	changes := make([]snipeplatform.Change, 0, len(due))
	for _, c := range due {
		data, err := json.Marshal(c.Row)
		if err != nil {
			panic(err) // rows consist of strings and booleans
		}
		key := snipeplatform.Key{Partition: snipeowner.Partition, Sort: softwarePrefix + c.Service}
		changes = append(changes, snipeplatform.Change{Key: key, Expect: c.Position, Data: data})
	}
	position, err := i.relay.Write(ctx, i.Operation(), changes)
	if err != nil {
		i.Log.Error(snipelog.SoftwareNotAnnounced, err, snipelog.Fields{"Rows": len(due)})
		return
	}
	for _, c := range due {
		i.releases.Apply(c.Service, c.Row, position)
		i.Log.Log(snipelog.SoftwareAnnounced, snipelog.Fields{"Service": c.Service, "Row": c.Row, "Added": c.Added, "Dropped": c.Dropped, positionField: position})
	}
}

// softwareVersions returns the versions of each service's upstreams, those with most upstreams first.
func softwareVersions(s *snipedirectory.Snapshot) map[string][]snipesoftware.Version {
	counts := make(map[serviceSoftware]int)
	versions := make(map[string][]snipesoftware.Version)
	for u := range s.All() {
		k := serviceSoftware{u.Service, u.Software}
		if counts[k]++; counts[k] == 1 {
			versions[u.Service] = append(versions[u.Service], u.Software)
		}
	}
	for service, all := range versions {
		slices.SortFunc(all, func(a, b snipesoftware.Version) int {
			if d := counts[serviceSoftware{service, b}] - counts[serviceSoftware{service, a}]; d != 0 {
				return d
			}
			return strings.Compare(string(a), string(b))
		})
	}
	return versions
}

// streamMembers returns the other live instances that are not leaving.
func (i *Instance) streamMembers() []snipesoftware.Member {
	ranked := i.holder.View().Ranked
	members := make([]snipesoftware.Member, 0, len(ranked))
	for _, other := range ranked {
		if other.Peer != i.Settings.Peers && !other.Leaving {
			members = append(members, snipesoftware.Member{ID: memberID(other.Peer, other.Incarnation), Domain: other.Domain})
		}
	}
	return members
}

// tellStreams sends origins of streams to another instance.
func (i *Instance) tellStreams(ctx context.Context, member string, origins []snipesoftware.Origin) error {
	_, err := i.peers.streams.client(memberAddress(member)).Tell(ctx, encodeOrigins(origins))
	return err
}

// askStream asks another instance for the version of a stream.
func (i *Instance) askStream(ctx context.Context, member string, k snipesoftware.Key) (snipesoftware.Version, snipesoftware.Answer, error) {
	answer, err := i.peers.streams.client(memberAddress(member)).Ask(ctx, &snipeproto.StreamAskRequest{Key: k.Bytes()})
	switch {
	case err != nil:
		return "", snipesoftware.Unknown, err
	case answer.GetRefused():
		return "", snipesoftware.Refused, nil
	case answer.GetKnown():
		return snipesoftware.Version(answer.GetSoftware()), snipesoftware.Known, nil
	}
	return "", snipesoftware.Unknown, nil
}

// streamServer serves the messages of other instances about the software versions of streams.
type streamServer struct{ streams *snipesoftware.Exchange }

// Tell implements snipeproto.Stream.
func (s *streamServer) Tell(_ context.Context, r *snipeproto.StreamTellRequest) (*snipeproto.StreamTellResponse, error) {
	origins, err := decodeOrigins(r)
	if err != nil {
		return nil, twirp.InvalidArgumentError("origins", err.Error())
	}
	s.streams.Held.Put(origins...)
	return &snipeproto.StreamTellResponse{}, nil
}

// Ask implements snipeproto.Stream.
func (s *streamServer) Ask(_ context.Context, r *snipeproto.StreamAskRequest) (*snipeproto.StreamAskResponse, error) {
	k, err := snipesoftware.KeyFrom(r.GetKey())
	if err != nil {
		return nil, twirp.InvalidArgumentError("key", err.Error())
	}
	v, answer := s.streams.Get(k)
	return &snipeproto.StreamAskResponse{
		Known: answer == snipesoftware.Known, Software: string(v), Refused: answer == snipesoftware.Refused,
	}, nil
}

// encodeOrigins returns the message for origins.
func encodeOrigins(origins []snipesoftware.Origin) *snipeproto.StreamTellRequest {
	keys := make(map[snipesoftware.Version][]byte)
	for _, o := range origins {
		keys[o.Version] = append(keys[o.Version], o.Key.Bytes()...)
	}
	r := &snipeproto.StreamTellRequest{}
	for v, k := range keys {
		r.Origins = append(r.Origins, &snipeproto.StreamOrigins{Software: string(v), Keys: k})
	}
	return r
}

// decodeOrigins returns the origins of a message. Its errors wrap snipesoftware.ErrKey.
func decodeOrigins(r *snipeproto.StreamTellRequest) ([]snipesoftware.Origin, error) {
	var origins []snipesoftware.Origin
	for _, o := range r.GetOrigins() {
		for data := range slices.Chunk(o.GetKeys(), snipesoftware.KeySize) {
			k, err := snipesoftware.KeyFrom(data)
			if err != nil {
				return nil, err
			}
			origins = append(origins, snipesoftware.Origin{Key: k, Version: snipesoftware.Version(o.GetSoftware())})
		}
	}
	return origins, nil
}
