package snipetree

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
)

// Rows of the tree: the head and one row for each branch.
const (
	partition    = "Settings"
	headSort     = "Head"
	platformSort = "Platform"
	teamPrefix   = "Team/"
)

// Errors of the store.
var (
	// ErrConflict: somebody else's edit came first; nothing was written.
	ErrConflict = errors.New("settings were edited by somebody else")
	// ErrUnknownBranch: there is no such branch.
	ErrUnknownBranch = errors.New("unknown branch")
)

// head is the document of the head row.
type head struct {
	Revision uint64
	// Branches has the version of each branch's row.
	Branches map[string]uint64
}

// Store follows the settings in the table and accepts edits. Its exported
// fields are set before Run.
type Store struct {
	// Table is the platform's table.
	Table snipeplatform.Table
	// Poll is the time between two reads of the head row.
	Poll time.Duration
	// Log takes the store's events.
	Log *snipelog.Logger
	// Operation returns a new identifier for a write.
	Operation func() string

	current atomic.Pointer[Tree]

	lock sync.Mutex // guards the fields below; never held during a request
	head head
	rows map[string]branchRow
}

type branchRow struct {
	version  uint64
	platform *Platform
	branch   *Branch
}

// Current returns the snapshot in force; nil before the first read.
func (s *Store) Current() *Tree { return s.current.Load() }

// Run follows the table until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(s.Poll)
	defer t.Stop()
	for {
		if err := s.Refresh(ctx); err != nil && ctx.Err() == nil {
			s.Log.Error(snipelog.SettingsReadFailed, err, nil)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Refresh reads the head row and the branches that changed since the last
// read. It returns ErrNotFound of snipeplatform while there are no settings.
func (s *Store) Refresh(ctx context.Context) error {
	row, err := s.Table.Get(ctx, snipeplatform.Key{Partition: partition, Sort: headSort})
	if err != nil {
		return errors.Wrap(err, "read head")
	}
	var h head
	if err := json.Unmarshal(row.Data, &h); err != nil {
		return errors.Wrap(err, "decode head")
	}
	if t := s.Current(); t != nil && h.Revision <= t.Revision {
		return nil
	}
	changed, err := s.readChanged(ctx, h)
	if err != nil {
		return err
	}
	s.adopt(h, changed)
	return nil
}

func (s *Store) readChanged(ctx context.Context, h head) (map[string]branchRow, error) {
	s.lock.Lock()
	known := s.rows
	s.lock.Unlock()
	rows := map[string]branchRow{}
	for name, version := range h.Branches {
		if r, ok := known[name]; ok && r.version >= version {
			rows[name] = r
			continue
		}
		row, err := s.Table.Get(ctx, snipeplatform.Key{Partition: partition, Sort: name})
		if err != nil {
			return nil, errors.Wrapf(err, "read branch %s", name)
		}
		r, err := decodeBranch(name, row)
		if err != nil {
			return nil, err
		}
		rows[name] = r
	}
	return rows, nil
}

func decodeBranch(name string, row snipeplatform.Row) (branchRow, error) {
	r := branchRow{version: row.Version}
	if name == platformSort {
		r.platform = &Platform{}
		if err := snipejson.Decode(row.Data, r.platform); err != nil {
			return r, errors.Wrap(err, "platform branch")
		}
		return r, nil
	}
	r.branch = &Branch{}
	if err := snipejson.Decode(row.Data, r.branch); err != nil {
		return r, errors.Wrapf(err, "branch %s", name)
	}
	return r, nil
}

// adopt puts the rows in force unless a higher revision already is.
func (s *Store) adopt(h head, rows map[string]branchRow) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if t := s.current.Load(); t != nil && h.Revision <= t.Revision {
		return
	}
	platform := &Platform{}
	teams := map[string]*Branch{}
	for name, r := range rows {
		if name == platformSort {
			platform = r.platform
			continue
		}
		teams[strings.TrimPrefix(name, teamPrefix)] = r.branch
	}
	s.head, s.rows = h, rows
	s.current.Store(NewTree(h.Revision, platform, teams))
	s.Log.Log(snipelog.SettingsInForce, snipelog.Fields{"Revision": h.Revision})
}

// BranchVersion returns the version of a branch as last read; 0 when there is
// none. The branch is a team's name, or empty for the platform.
func (s *Store) BranchVersion(team string) uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.head.Branches[branchSort(team)]
}

func branchSort(team string) string {
	if team == "" {
		return platformSort
	}
	return teamPrefix + team
}

// Apply replaces the branch of a team, or the platform's when team is empty,
// provided that it still has the version expect. It returns the new revision.
// ErrInvalid and ErrConflict mean that nothing was written.
func (s *Store) Apply(ctx context.Context, team string, expect uint64, data []byte) (uint64, error) {
	if err := checkBranch(team, data); err != nil {
		return 0, err
	}
	operation := s.Operation()
	const attempts = 10
	for range attempts {
		revision, err := s.try(ctx, operation, team, expect, data)
		if !errors.Is(err, snipeplatform.ErrConflict) {
			return revision, err
		}
		// Only the head moved: somebody edited another branch. Each attempt is
		// a write of its own, since the head's new content differs.
		operation = s.Operation()
	}
	return 0, errors.Wrapf(ErrConflict, "%d attempts", attempts)
}

func checkBranch(team string, data []byte) error {
	if team == "" {
		p := &Platform{}
		if err := snipejson.Decode(data, p); err != nil {
			return errors.Wrap(ErrInvalid, err.Error())
		}
		return p.Check()
	}
	if err := snipecall.CheckName(team); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	b := &Branch{}
	if err := snipejson.Decode(data, b); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	return b.Check()
}

func (s *Store) try(ctx context.Context, operation, team string, expect uint64, data []byte) (uint64, error) {
	headKey := snipeplatform.Key{Partition: partition, Sort: headSort}
	h := head{Branches: map[string]uint64{}}
	row, err := s.Table.Get(ctx, headKey)
	switch {
	case errors.Is(err, snipeplatform.ErrNotFound):
	case err != nil:
		return 0, errors.Wrap(err, "read head")
	default:
		if err := json.Unmarshal(row.Data, &h); err != nil {
			return 0, errors.Wrap(err, "decode head")
		}
	}
	name := branchSort(team)
	if h.Branches[name] != expect {
		return 0, errors.Wrapf(ErrConflict, "branch %s has version %s, not %s", name,
			strconv.FormatUint(h.Branches[name], 10), strconv.FormatUint(expect, 10))
	}
	h.Revision++
	h.Branches[name] = expect + 1
	document, err := json.Marshal(h)
	if err != nil {
		return 0, errors.Wrap(err, "encode head")
	}
	err = s.Table.Write(ctx, operation, []snipeplatform.Change{
		{Key: headKey, Expect: row.Version, Data: document},
		{Key: snipeplatform.Key{Partition: partition, Sort: name}, Expect: expect, Data: data},
	})
	if errors.Is(err, snipeplatform.ErrUnknown) {
		err = s.confirm(ctx, operation, name, expect)
	}
	if err != nil {
		return 0, err
	}
	s.Log.Log(snipelog.SettingsAccepted, snipelog.Fields{"Revision": h.Revision, "Branch": name})
	return h.Revision, nil
}

// confirm reads the branch's row to find out whether an operation whose reply
// was lost took effect.
func (s *Store) confirm(ctx context.Context, operation, name string, expect uint64) error {
	row, err := s.Table.Get(ctx, snipeplatform.Key{Partition: partition, Sort: name})
	switch {
	case err == nil && row.Operation == operation:
		return nil
	case err == nil && row.Version > expect+1:
		return errors.Wrapf(snipeplatform.ErrUnknown, "branch %s was edited again since", name)
	case err == nil || errors.Is(err, snipeplatform.ErrNotFound):
		return errors.Wrapf(snipeplatform.ErrUnknown, "branch %s: not in effect yet", name)
	}
	return errors.Wrapf(snipeplatform.ErrUnknown, "branch %s: read back: %v", name, err)
}
