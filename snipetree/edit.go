package snipetree

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipetime"
)

// Entry is one accepted edit in the history.
type Entry struct {
	// Revision is the one that the edit made, Edit identifies it.
	Revision uint64
	Edit     string
	// Team is the branch; empty for the platform's.
	Team string
	// Version is the branch's version since the edit.
	Version uint64
	// Accepted is when, by the clock of the instance that accepted it.
	Accepted time.Time
	// Hash and Parts name the document.
	Hash  string
	Parts int
}

// Edit replaces one branch.
type Edit struct {
	// ID identifies the edit. Sending it again, through any instance, finds
	// out whether it was accepted, and does not make it twice.
	ID string
	// Team is the branch's team; empty for the platform's branch.
	Team string
	// Expect is the version that the branch must have.
	Expect uint64
	// Document is the branch's new document.
	Document []byte
}

// Apply makes an edit that is not sent again; see ApplyEdit.
func (s *Store) Apply(ctx context.Context, team string, expect uint64, data []byte) (uint64, error) {
	return s.ApplyEdit(ctx, Edit{ID: s.Operation(), Team: team, Expect: expect, Document: data})
}

// ApplyEdit makes an edit and returns the new revision. ErrInvalid and
// ErrConflict mean that nothing was written. ErrUnknown of snipeplatform means
// that the edit may be or become accepted; sending it again finds out.
func (s *Store) ApplyEdit(ctx context.Context, e Edit) (uint64, error) {
	if len(e.Document) > maxDocument {
		return 0, invalid("document", "too large")
	}
	if err := checkBranch(e.Team, e.Document); err != nil {
		return 0, err
	}
	packed, hash, err := pack(e.Document)
	if err != nil {
		return 0, err
	}
	if parts(packed) > maxParts {
		return 0, invalid("document", "too large")
	}
	name := branchSort(e.Team)
	ref := branchRef{Version: e.Expect + 1, Edit: e.ID, Hash: hash, Parts: parts(packed)}
	// Only edits of other branches make an attempt fail, and each failure is
	// somebody's success; the bound keeps one request finite.
	const attempts = 20
	for n := range attempts {
		revision, err := s.try(ctx, name, ref, newDocument(name, packed))
		if !errors.Is(err, snipeplatform.ErrConflict) {
			return revision, err
		}
		if !snipetime.Sleep(ctx, s.jitter(time.Duration(n+1)*20*time.Millisecond)) {
			return 0, err
		}
	}
	return 0, errors.Wrapf(ErrConflict, "%d attempts", attempts)
}

// patient repeats a step that the table refuses at times.
func patient(ctx context.Context, step func() error) error {
	const tries, wait = 3, 50 * time.Millisecond
	for n := 1; ; n++ {
		err := step()
		if !errors.Is(err, snipeplatform.ErrUnavailable) || n == tries || !snipetime.Sleep(ctx, time.Duration(n)*wait) {
			return err
		}
	}
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

// try makes the edit on the head as it is now.
func (s *Store) try(ctx context.Context, name string, ref branchRef, d *document) (uint64, error) {
	var h head
	err := patient(ctx, func() (err error) {
		h, err = s.readHead(ctx)
		return err
	})
	if err != nil {
		return 0, err
	}
	last := h.Branches[name]
	if last.Version == ref.Version && last.Edit == ref.Edit {
		// This very edit is in effect: its reply was lost.
		return last.Revision, s.follow(ctx, h)
	}
	if last.Version > ref.Version {
		// It may have been in effect before somebody edited the branch again.
		if e, err := s.entry(ctx, name, ref.Version); err == nil && e.Edit == ref.Edit {
			return e.Revision, nil
		}
	}
	if last.Version != ref.Version-1 {
		return 0, errors.Wrapf(ErrConflict, "branch %s has version %d, not %d", name, last.Version, ref.Version-1)
	}
	// The check needs all branches as they are at this head.
	if err := s.follow(ctx, h); err != nil {
		return 0, err
	}
	if err := s.checkAcross(h.Revision, name, d); err != nil {
		return 0, err
	}
	if err := s.writeDocument(ctx, ref.Hash, d.packed); err != nil {
		return 0, err
	}
	revision, err := s.commit(ctx, h, name, ref)
	if err != nil {
		return 0, err
	}
	s.accepted(h, name, ref, revision, d)
	return revision, nil
}

// accepted puts an edit that was accepted here in force here, before others
// learn of it: they can then take it from this instance if the table fails.
func (s *Store) accepted(old head, name string, ref branchRef, revision uint64, d *document) {
	h := old.clone()
	ref.Revision, h.Revision = revision, revision
	h.Branches[name] = ref
	docs, missing := s.known(h)
	delete(missing, name)
	docs[ref.Hash] = d
	if len(missing) == 0 {
		if err := s.adopt(h, docs); err != nil {
			s.Log.Error(snipelog.SettingsReadFailed, err, nil)
		}
	}
	if s.Announce != nil {
		s.Announce(revision)
	}
}

// follow makes sure that a head which was read is in force here.
func (s *Store) follow(ctx context.Context, h head) error {
	if h.Revision == 0 || s.revision() >= h.Revision {
		return nil
	}
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	return s.take(ctx, h, s.readDocument)
}

// commit writes the new head, revision and history in one transaction. The
// versions of the head and revision rows equal the revision.
func (s *Store) commit(ctx context.Context, old head, name string, ref branchRef) (uint64, error) {
	h := old.clone()
	h.Revision++
	ref.Revision = h.Revision
	h.Branches[name] = ref
	document, err := json.Marshal(h)
	if err != nil {
		return 0, errors.Wrap(err, "encode head")
	}
	if len(document) > maxRow {
		return 0, invalid("branches", "too many")
	}
	entry, err := json.Marshal(Entry{
		Revision: h.Revision, Edit: ref.Edit, Team: teamName(name), Version: ref.Version, Accepted: time.Now().UTC(),
		Hash: ref.Hash, Parts: ref.Parts,
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode history")
	}
	feed, err := s.report(ctx, old.Revision, change{Branch: name, branchRef: ref})
	if err != nil {
		return 0, err
	}
	operation, changes := s.Operation(), []snipeplatform.Change{
		{Key: revisionKey, Expect: old.Revision, Data: feed},
		{Key: headKey, Expect: old.Revision, Data: document},
		{Key: historyKey(name, ref.Version), Data: entry},
	}
	err = patient(ctx, func() error { return s.Table.Settle(ctx, operation, changes) })
	if err != nil {
		return 0, errors.Wrapf(err, "write revision %d", h.Revision)
	}
	s.Log.Log(snipelog.SettingsAccepted, snipelog.Fields{"Revision": h.Revision, "Branch": name})
	return h.Revision, nil
}

func teamName(name string) string {
	if name == platformSort {
		return ""
	}
	return teamOf(name)
}

// History returns the accepted edits of a branch, the last one first.
func (s *Store) History(ctx context.Context, team string) ([]Entry, error) {
	rows, err := s.Table.List(ctx, historyPrefix+branchSort(team))
	if err != nil {
		return nil, errors.Wrap(err, "read history")
	}
	all := make([]Entry, 0, len(rows))
	for n := len(rows) - 1; n >= 0; n-- {
		var e Entry
		if err := json.Unmarshal(rows[n].Data, &e); err != nil {
			return nil, errors.Wrapf(err, "history %s", rows[n].Sort)
		}
		all = append(all, e)
	}
	return all, nil
}

// entry returns the edit that made a version of a branch.
func (s *Store) entry(ctx context.Context, name string, version uint64) (Entry, error) {
	var e Entry
	row, err := s.Table.Get(ctx, historyKey(name, version))
	if errors.Is(err, snipeplatform.ErrNotFound) {
		return e, errors.Wrapf(ErrUnknownVersion, "%s, version %d", name, version)
	}
	if err != nil {
		return e, errors.Wrap(err, "read history")
	}
	if err := json.Unmarshal(row.Data, &e); err != nil {
		return e, errors.Wrap(err, "decode history")
	}
	return e, nil
}

// Document returns the branch's document of an earlier version.
func (s *Store) Document(ctx context.Context, team string, version uint64) ([]byte, error) {
	name := branchSort(team)
	e, err := s.entry(ctx, name, version)
	if err != nil {
		return nil, err
	}
	d, err := s.readDocument(ctx, name, branchRef{Hash: e.Hash, Parts: e.Parts})
	if err != nil {
		return nil, err
	}
	return unpack(d.packed)
}

// Rollback makes the document of an earlier version the branch's document
// again, as a new version and revision, provided that the branch still has the
// version expect. The old document is checked like any other edit.
func (s *Store) Rollback(ctx context.Context, team string, expect, version uint64) (uint64, error) {
	data, err := s.Document(ctx, team, version)
	if err != nil {
		return 0, err
	}
	return s.Apply(ctx, team, expect, data)
}
