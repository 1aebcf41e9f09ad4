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
	// ErrConflict: somebody else's edit came first; nothing was written.
	ErrConflict = errors.New("settings were edited by somebody else")
	// ErrUnknownBranch: there is no such branch.
	ErrUnknownBranch = errors.New("unknown branch")
	// ErrUnknownVersion: the history has no such version of the branch.
	ErrUnknownVersion = errors.New("unknown version of a branch")
)

// FreshFor is how long an instance may admit calls after it last heard, from
// the table or from a peer, that its settings are in force. An instance that
// is cut off from both, or was frozen, admits none after that time until it
// has heard again. It is below the 19 s in which a change must be in force
// everywhere.
const FreshFor = 15 * time.Second

const (
	tick        = 250 * time.Millisecond
	requestTime = 3 * time.Second
	askedPeers  = 3
	// reading is how many documents are read from the table at once.
	reading = 8
)

// Store follows the settings in the table and accepts edits. Its exported
// fields are set before Run.
type Store struct {
	// Table is the platform's table.
	Table snipeplatform.Table
	// Poll is the time between two reads of the revision row.
	Poll time.Duration
	// Log takes the store's events.
	Log *snipelog.Logger
	// Operation returns a new identifier for a write.
	Operation func() string
	// Peers returns up to n random live peers; nil when there are none ever.
	Peers func(n int) []netip.AddrPort
	// HTTP sends requests to peers.
	HTTP snipeproto.HTTPClient
	// Noticed returns the highest revision that was announced; nil for none.
	Noticed func() uint64
	// Announce announces a revision that was accepted here; nil for none.
	Announce func(revision uint64)
	// Jitter returns a random time up to the given one, so that instances do
	// not all read at once when a revision is announced; nil for none.
	Jitter func(most time.Duration) time.Duration

	current atomic.Pointer[Tree]
	// confirmed is when the revision in force was last confirmed, and behind
	// since when a higher one is known; in nanoseconds since start.
	start     time.Time
	once      sync.Once
	confirmed atomic.Int64
	behind    atomic.Int64

	refreshing sync.Mutex // held during a refresh, which makes requests

	lock sync.Mutex // guards the fields below; never held during a request
	head head
	docs map[string]*document
}

// Current returns the snapshot in force; nil before the first read.
func (s *Store) Current() *Tree { return s.current.Load() }

// Admitting returns the snapshot in force for new calls; nil before the first
// read, and while the instance is cut off or has just been frozen.
func (s *Store) Admitting() *Tree {
	if !s.Fresh() {
		return nil
	}
	return s.Current()
}

// Fresh reports whether the revision in force was confirmed within FreshFor,
// and no higher one has been known for longer than that.
func (s *Store) Fresh() bool {
	now := s.now()
	confirmed, behind := s.confirmed.Load(), s.behind.Load()
	if confirmed == 0 || now-confirmed > int64(FreshFor) {
		return false
	}
	return behind == 0 || now-behind < int64(FreshFor)
}

// now returns the nanoseconds since the store's start, at least 1.
func (s *Store) now() int64 {
	s.once.Do(func() { s.start = time.Now() })
	return int64(time.Since(s.start)) + 1
}

// Run follows the settings until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	due := time.Now()
	var seen uint64
	for {
		now := time.Now()
		if n := s.noticed(); n > s.revision() && n != seen {
			// Announced: read soon, but not all instances at once.
			seen = n
			due = earlier(due, now.Add(s.jitter(s.Poll/2)))
		}
		if !now.Before(due) || !s.Fresh() {
			s.refreshLogged(ctx)
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

func (s *Store) jitter(most time.Duration) time.Duration {
	if s.Jitter == nil {
		return most / 2
	}
	return s.Jitter(most)
}

func (s *Store) noticed() uint64 {
	if s.Noticed == nil {
		return 0
	}
	return s.Noticed()
}

func (s *Store) revision() uint64 {
	if t := s.Current(); t != nil {
		return t.Revision
	}
	return 0
}

func (s *Store) refreshLogged(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, 3*requestTime)
	defer cancel()
	if err := s.Refresh(bounded); err != nil && ctx.Err() == nil {
		s.Log.Error(snipelog.SettingsReadFailed, err, nil)
	}
}

// Refresh takes the highest revision of the table. It asks some peers, too,
// when the table cannot be read, when a higher revision is known than the
// table shows, and when this instance admits no calls: it has just started, or
// was cut off or frozen. It returns ErrNotFound of snipeplatform while there
// are no settings.
func (s *Store) Refresh(ctx context.Context) error {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	began, admitting := s.now(), s.Fresh()
	err := s.refreshFromTable(ctx)
	reached := err == nil || errors.Is(err, snipeplatform.ErrNotFound)
	if !reached || !admitting || s.noticed() > s.revision() {
		if s.refreshFromPeers(ctx) {
			reached, err = true, nil
		}
	}
	if reached {
		s.confirm(began, admitting)
	}
	return err
}

// confirm notes that the revision in force was confirmed by somebody asked
// at a time, and whether a higher one is known. An instance that admits no
// calls begins to do so only with the highest revision that it knows of.
func (s *Store) confirm(began int64, admitting bool) {
	if s.noticed() <= s.revision() {
		s.behind.Store(0)
		s.confirmed.Store(began)
		return
	}
	if admitting {
		s.behind.CompareAndSwap(0, began)
		s.confirmed.Store(began)
	}
}

func (s *Store) refreshFromTable(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	row, err := s.Table.Get(bounded, revisionKey)
	if err != nil {
		return errors.Wrap(err, "read revision")
	}
	// Each edit writes the revision row once: its version is the revision.
	if s.Current() != nil && row.Version <= s.revision() {
		return nil
	}
	h, ok := s.follows(row)
	if !ok {
		if h, err = s.readHead(bounded); err != nil {
			return err
		}
	}
	return s.take(ctx, h, s.readDocument)
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

// reader reads one document.
type reader func(ctx context.Context, name string, ref branchRef) (*document, error)

// take puts a head in force, once all its documents are here.
func (s *Store) take(ctx context.Context, h head, read reader) error {
	if s.Current() != nil && h.Revision <= s.revision() {
		return nil
	}
	docs, missing := s.known(h)
	var lock sync.Mutex // guards docs and failed
	var failed error
	var wait sync.WaitGroup
	slots := make(chan struct{}, reading)
	for name, ref := range missing {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			d, err := read(ctx, name, ref)
			lock.Lock()
			defer lock.Unlock()
			if err != nil {
				failed = err
				return
			}
			docs[ref.Hash] = d
		})
	}
	wait.Wait()
	if failed != nil {
		return failed
	}
	return s.adopt(h, docs)
}

// known returns the documents of h that are here, and the branches of h whose
// documents are not.
func (s *Store) known(h head) (docs map[string]*document, missing map[string]branchRef) {
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

// adopt puts a head in force unless a higher revision already is. A branch
// whose document is wrong keeps what it had; without a platform branch there
// is nothing to put in force.
func (s *Store) adopt(h head, docs map[string]*document) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	old := s.current.Load()
	if old != nil && h.Revision <= old.Revision {
		return nil
	}
	platform, teams, wrong := &Platform{}, map[string]*Branch{}, []string(nil)
	for name, ref := range h.Branches {
		d := docs[ref.Hash]
		switch {
		case d.wrong != nil:
			s.Log.Error(snipelog.SettingsBranchWrong, d.wrong, snipelog.Fields{"Branch": name})
			wrong = append(wrong, name)
			if !keep(old, name, &platform, teams) {
				return errors.Wrapf(d.wrong, "branch %s", name)
			}
		case name == platformSort:
			platform = d.platform
		default:
			teams[teamOf(name)] = d.branch
		}
	}
	t := NewTree(h.Revision, platform, teams)
	t.Wrong = wrong
	s.head, s.docs = h, docs
	s.current.Store(t)
	s.Log.Log(snipelog.SettingsInForce, snipelog.Fields{"Revision": h.Revision})
	return nil
}

// keep takes a branch from the old snapshot; false when it is the platform's
// and there is no old one.
func keep(old *Tree, name string, platform **Platform, teams map[string]*Branch) bool {
	if name == platformSort {
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

// BranchVersion returns the version of a branch as last read; 0 when there is
// none. The branch is a team's name, or empty for the platform.
func (s *Store) BranchVersion(team string) uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.head.Branches[branchSort(team)].Version
}

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
