package snipetree

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
)

// Errors of the store.
var (
	// ErrConflict means that the edit was not accepted, because another edit came first: the
	// branch is not at the expected version, or every attempt met a
	// conflict with another edit.
	ErrConflict = errors.New("settings were edited by somebody else")
	// ErrUnknownBranch means that the branch does not exist.
	ErrUnknownBranch = errors.New("unknown branch")
	// ErrUnknownVersion means that the history does not contain the version of the branch.
	ErrUnknownVersion = errors.New("unknown version of a branch")
)

// FreshFor is how long an instance may admit calls after the table or a peer last confirmed
// that its settings are in force, and after it learned of a higher revision that it has not
// read since. An instance that is cut off from both, or was frozen,
// admits no calls after that time until its settings are confirmed again. FreshFor is less
// than the 19 s within which a change must be in force everywhere.
const FreshFor = 15 * time.Second

const (
	tickInterval    = 250 * time.Millisecond
	requestTimeout  = 3 * time.Second
	peersPerRefresh = 3
	// maxConcurrentReads limits the documents that are read concurrently.
	maxConcurrentReads = 8
)

// Store follows the settings in the table and accepts edits. Its exported fields are set
// before its first use.
type Store struct {
	// Table is the platform's table.
	Table snipeplatform.Table
	// Poll is the average time between two reads of the revision row.
	Poll time.Duration
	// Log receives the store's events.
	Log *snipelog.Logger
	// Operation returns a new identifier for a write.
	Operation func() string
	// Peers returns the addresses of up to n random live peers; nil if the instance never has
	// peers.
	Peers func(n int) []netip.AddrPort
	// HTTP sends requests to peers.
	HTTP snipeproto.HTTPClient
	// AnnouncedRevision returns the highest revision that any instance has announced; nil if revisions
	// are not announced.
	AnnouncedRevision func() uint64
	// Announce announces a revision that was accepted here; nil if revisions are not announced.
	Announce func(revision uint64)
	// Jitter returns a random duration up to the given limit, so that instances do not all
	// read at once when a revision is announced. If it is nil, half the limit is used.
	Jitter func(limit time.Duration) time.Duration

	current atomic.Pointer[Tree]
	// confirmedAt is the time at which the revision in force was last confirmed, and
	// behindSince the time since which a higher one is known, in nanoseconds since start; 0
	// if there is no such time.
	start       time.Time
	once        sync.Once
	confirmedAt atomic.Int64
	behindSince atomic.Int64

	refreshing sync.Mutex // serializes refreshes; held during requests

	lock sync.Mutex // guards the fields below; never held during a request
	head head
	docs map[string]*document
}

// Current returns the snapshot in force; nil before the first read.
func (s *Store) Current() *Tree { return s.current.Load() }

// Admitting returns the snapshot in force for new calls; nil if the instance may not admit
// calls: before the first read, while it is cut off, and after it was frozen.
func (s *Store) Admitting() *Tree {
	if !s.Fresh() {
		return nil
	}
	return s.Current()
}

// Fresh reports whether the revision in force was confirmed within FreshFor and no higher
// revision has been known for that long.
func (s *Store) Fresh() bool {
	now := s.now()
	confirmedAt, behindSince := s.confirmedAt.Load(), s.behindSince.Load()
	if confirmedAt == 0 || now-confirmedAt > int64(FreshFor) {
		return false
	}
	return behindSince == 0 || now-behindSince < int64(FreshFor)
}

// now returns the nanoseconds since the store's start, at least 1.
func (s *Store) now() int64 {
	s.once.Do(func() { s.start = time.Now() })
	return int64(time.Since(s.start)) + 1
}

// Run refreshes the settings until ctx ends, and then returns nil: once every Poll on average,
// sooner after the announcement of a higher revision, and at every tick while Fresh reports
// false. Errors are logged.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	due := time.Now()
	var lastAnnounced uint64
	for {
		now := time.Now()
		if n := s.announcedRevision(); n > s.revision() && n != lastAnnounced {
			// A new revision was announced. Read it soon, but not on all instances at once.
			lastAnnounced = n
			due = earlier(due, now.Add(s.jitter(s.Poll/2)))
		}
		if !now.Before(due) || !s.Fresh() {
			s.refreshAndLog(ctx)
			due = time.Now().Add(s.Poll/2 + s.jitter(s.Poll))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// jitter returns a random duration up to limit, or half of limit if Jitter is nil.
func (s *Store) jitter(limit time.Duration) time.Duration {
	if s.Jitter == nil {
		return limit / 2
	}
	return s.Jitter(limit)
}

func (s *Store) announcedRevision() uint64 {
	if s.AnnouncedRevision == nil {
		return 0
	}
	return s.AnnouncedRevision()
}

func (s *Store) revision() uint64 {
	if t := s.Current(); t != nil {
		return t.Revision
	}
	return 0
}

func (s *Store) refreshAndLog(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, 3*requestTimeout)
	defer cancel()
	if err := s.Refresh(bounded); err != nil && ctx.Err() == nil {
		s.Log.Error(snipelog.SettingsReadFailed, err, nil)
	}
}

// Refresh reads the highest revision in the table and puts it in force. It also asks some peers if
// the table cannot be read, if a higher revision was announced than the table returned, and
// if this instance admits no calls because it has just started, or was cut off or frozen.
// It returns snipeplatform.ErrNotFound while there are no settings.
func (s *Store) Refresh(ctx context.Context) error {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	startedAt, admitting := s.now(), s.Fresh()
	err := s.refreshFromTable(ctx)
	reached := err == nil || errors.Is(err, snipeplatform.ErrNotFound)
	if !reached || !admitting || s.announcedRevision() > s.revision() {
		if s.refreshFromPeers(ctx) {
			reached, err = true, nil
		}
	}
	if reached {
		s.confirm(startedAt, admitting)
	}
	return err
}

// confirm records that a refresh which began at startedAt has confirmed the revision in
// force, and whether a higher revision is known. An instance that admits no calls starts to
// admit them only at the highest revision that it knows of.
func (s *Store) confirm(startedAt int64, admitting bool) {
	if s.announcedRevision() <= s.revision() {
		s.behindSince.Store(0)
		s.confirmedAt.Store(startedAt)
		return
	}
	if admitting {
		s.behindSince.CompareAndSwap(0, startedAt)
		s.confirmedAt.Store(startedAt)
	}
}

func (s *Store) refreshFromTable(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	row, err := s.Table.Get(bounded, revisionKey)
	if err != nil {
		return errors.Wrap(err, "read revision")
	}
	// Each edit writes the revision row once, so its version equals the revision.
	if s.Current() != nil && row.Version <= s.revision() {
		return nil
	}
	h, ok := s.headFromReport(row)
	if !ok {
		if h, err = s.readHead(bounded); err != nil {
			return err
		}
	}
	return s.applyHead(ctx, h, s.readDocument)
}

func (s *Store) readHead(ctx context.Context) (head, error) {
	row, err := s.Table.Get(ctx, headKey)
	if errors.Is(err, snipeplatform.ErrNotFound) {
		return head{Branches: map[string]branchRef{}}, nil
	}
	if err != nil {
		return head{}, errors.Wrap(err, "read head")
	}
	return decodeHead(row.Data)
}

// documentReader reads the document of one branch.
type documentReader func(ctx context.Context, name string, ref branchRef) (*document, error)

// applyHead reads the missing documents of a head and then puts it in force.
func (s *Store) applyHead(ctx context.Context, h head, read documentReader) error {
	if s.Current() != nil && h.Revision <= s.revision() {
		return nil
	}
	docs, missing := s.cachedDocuments(h)
	var lock sync.Mutex // guards docs and readErr
	var readErr error
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentReads)
	for name, ref := range missing {
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			d, err := read(ctx, name, ref)
			lock.Lock()
			defer lock.Unlock()
			if err != nil {
				readErr = err
				return
			}
			docs[ref.Hash] = d
		})
	}
	wait.Wait()
	if readErr != nil {
		return readErr
	}
	return s.activate(h, docs)
}

// cachedDocuments returns the documents of h that this store holds, by hash, and the
// branches of h whose documents it does not hold.
func (s *Store) cachedDocuments(h head) (docs map[string]*document, missing map[string]branchRef) {
	s.lock.Lock()
	defer s.lock.Unlock()
	docs, missing = map[string]*document{}, map[string]branchRef{}
	for name, ref := range h.Branches {
		if d, ok := s.docs[ref.Hash]; ok {
			docs[ref.Hash] = d
			continue
		}
		missing[name] = ref
	}
	return docs, missing
}

// activate puts a head in force unless its revision or a higher one already is. A branch
// whose document cannot be decoded keeps its previous settings, and is left out if it has none. If
// the branch is the platform's and there is no previous snapshot, activate fails.
func (s *Store) activate(h head, docs map[string]*document) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	old := s.current.Load()
	if old != nil && h.Revision <= old.Revision {
		return nil
	}
	platform, teams, undecodable := &Platform{}, map[string]*Branch{}, []string(nil)
	for name, ref := range h.Branches {
		d := docs[ref.Hash]
		switch {
		case d.decodeErr != nil:
			s.Log.Error(snipelog.SettingsBranchWrong, d.decodeErr, snipelog.Fields{"Branch": name})
			undecodable = append(undecodable, name)
			if !keepPrevious(old, name, &platform, teams) {
				return errors.Wrapf(d.decodeErr, "branch %s", name)
			}
		case name == platformBranchName:
			platform = d.platform
		default:
			teams[teamOf(name)] = d.branch
		}
	}
	t := NewTree(h.Revision, platform, teams)
	t.Undecodable = undecodable
	s.head, s.docs = h, docs
	s.current.Store(t)
	s.Log.Log(snipelog.SettingsInForce, snipelog.Fields{"Revision": h.Revision})
	return nil
}

// keepPrevious copies a branch from the old snapshot, if the branch is in it. It returns false
// if the branch is the platform's and there is no old snapshot.
func keepPrevious(old *Tree, name string, platform **Platform, teams map[string]*Branch) bool {
	if name == platformBranchName {
		if old == nil {
			return false
		}
		*platform = old.Platform
		return true
	}
	if old != nil && old.Teams[teamOf(name)] != nil {
		teams[teamOf(name)] = old.Teams[teamOf(name)]
	}
	return true
}

// BranchVersion returns the version of a team's branch in the head in force, which is the number
// of its edits; 0 if there is no such branch. An empty team stands for the platform's branch.
func (s *Store) BranchVersion(team string) uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.head.Branches[branchName(team)].Version
}

// encodedHead returns the revision of the head in force and the encoded head.
func (s *Store) encodedHead() (uint64, []byte, error) {
	s.lock.Lock()
	h := s.head
	s.lock.Unlock()
	data, err := json.Marshal(h)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode head")
	}
	return h.Revision, data, nil
}
