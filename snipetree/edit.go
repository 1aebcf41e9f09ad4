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
	// Revision is the revision that the edit created, Edit the identifier of the edit.
	Revision uint64
	Edit     string
	// Team is the team of the branch; empty for the platform's branch.
	Team string
	// Version is the branch's version after the edit.
	Version uint64
	// Accepted is the time of acceptance by the clock of the instance that accepted the edit.
	Accepted time.Time
	// Hash and Parts identify the document, as in branchRef.
	Hash  string
	Parts int
}

// Edit is a request to replace the document of one branch.
type Edit struct {
	// ID identifies the edit. Sending an edit again, through any instance, returns
	// whether it was accepted, and never applies it twice.
	ID string
	// Team is the branch's team; empty for the platform's branch.
	Team string
	// Expect is the version that the branch must have.
	Expect uint64
	// Document is the branch's new document.
	Document []byte
}

// Apply makes an edit under a new identifier, so that it cannot be sent again; see ApplyEdit.
func (s *Store) Apply(ctx context.Context, team string, expect uint64, data []byte) (uint64, error) {
	return s.ApplyEdit(ctx, Edit{ID: s.Operation(), Team: team, Expect: expect, Document: data})
}

// ApplyEdit makes an edit and returns the revision that it created. ErrInvalid and ErrConflict mean
// that the edit was not accepted. snipeplatform.ErrUnknown means that the edit may have
// been accepted or may still be; sending it again returns the outcome.
func (s *Store) ApplyEdit(ctx context.Context, e Edit) (uint64, error) {
	if len(e.Document) > maxDocument {
		return 0, invalid("document", "too large")
	}
	if err := checkBranch(e.Team, e.Document); err != nil {
		return 0, err
	}
	compressed, hash, err := compress(e.Document)
	if err != nil {
		return 0, err
	}
	if partCount(compressed) > maxParts {
		return 0, invalid("document", "too large")
	}
	name := branchName(e.Team)
	ref := branchRef{Version: e.Expect + 1, Edit: e.ID, Hash: hash, Parts: partCount(compressed)}
	// A conflict means that another edit was accepted and has replaced the head that this
	// attempt read. If that edit was of the same branch, the next attempt refuses this
	// one; otherwise it can succeed. The bound keeps one request finite.
	const attempts = 20
	for n := range attempts {
		revision, err := s.tryEdit(ctx, name, ref, newDocument(name, compressed))
		if !errors.Is(err, snipeplatform.ErrConflict) {
			return revision, err
		}
		if !snipetime.Sleep(ctx, s.jitter(time.Duration(n+1)*20*time.Millisecond)) {
			return 0, err
		}
	}
	return 0, errors.Wrapf(ErrConflict, "%d attempts", attempts)
}

// retryUnavailable calls step up to three times while it fails with
// snipeplatform.ErrUnavailable, because the table sometimes refuses requests.
func retryUnavailable(ctx context.Context, step func() error) error {
	const tries, wait = 3, 50 * time.Millisecond
	for n := 1; ; n++ {
		err := step()
		if !errors.Is(err, snipeplatform.ErrUnavailable) || n == tries || !snipetime.Sleep(ctx, time.Duration(n)*wait) {
			return err
		}
	}
}

// checkBranch decodes the document of a team's branch, or of the platform's if team is empty, and
// checks it without regard to other branches.
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

// tryEdit attempts the edit on the current head.
func (s *Store) tryEdit(ctx context.Context, name string, ref branchRef, d *document) (uint64, error) {
	var h head
	err := retryUnavailable(ctx, func() (err error) {
		h, err = s.readHead(ctx)
		return err
	})
	if err != nil {
		return 0, err
	}
	last := h.Branches[name]
	if last.Version == ref.Version && last.Edit == ref.Edit {
		// This edit is already in force; only its reply was lost.
		return last.Revision, s.catchUp(ctx, h)
	}
	if last.Version > ref.Version {
		// This edit may have been accepted before the branch was edited again.
		if e, err := s.historyEntry(ctx, name, ref.Version); err == nil && e.Edit == ref.Edit {
			return e.Revision, nil
		}
	}
	if last.Version != ref.Version-1 {
		return 0, errors.Wrapf(ErrConflict, "branch %s has version %d, not %d", name, last.Version, ref.Version-1)
	}
	// The check needs all branches at the revision of this head.
	if err := s.catchUp(ctx, h); err != nil {
		return 0, err
	}
	if err := s.checkCrossBranch(h.Revision, name, d); err != nil {
		return 0, err
	}
	if err := s.writeDocument(ctx, ref.Hash, d.compressed); err != nil {
		return 0, err
	}
	revision, err := s.commit(ctx, h, name, ref)
	if err != nil {
		return 0, err
	}
	s.activateAccepted(h, name, ref, revision, d)
	return revision, nil
}

// activateAccepted puts in force here an edit that this instance accepted, before it
// announces the revision, so that other instances can fetch it from this instance if the
// table fails.
func (s *Store) activateAccepted(old head, name string, ref branchRef, revision uint64, d *document) {
	h := old.clone()
	ref.Revision, h.Revision = revision, revision
	h.Branches[name] = ref
	docs, missing := s.cachedDocuments(h)
	delete(missing, name)
	docs[ref.Hash] = d
	if len(missing) == 0 {
		if err := s.activate(h, docs); err != nil {
			s.Log.Error(snipelog.SettingsReadFailed, err, nil)
		}
	}
	if s.Announce != nil {
		s.Announce(revision)
	}
}

// catchUp reads the documents that this instance lacks until the revision of a head, or a
// higher one, is in force here. It does nothing for revision 0.
func (s *Store) catchUp(ctx context.Context, h head) error {
	if h.Revision == 0 || s.revision() >= h.Revision {
		return nil
	}
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	return s.applyHead(ctx, h, s.readDocument)
}

// commit writes the new head, the revision and the history entry in one transaction. The
// versions of the head row and of the revision row equal the revision.
func (s *Store) commit(ctx context.Context, old head, name string, ref branchRef) (uint64, error) {
	h := old.clone()
	h.Revision++
	ref.Revision = h.Revision
	h.Branches[name] = ref
	headData, err := json.Marshal(h)
	if err != nil {
		return 0, errors.Wrap(err, "encode head")
	}
	if len(headData) > maxRow {
		return 0, invalid("branches", "too many")
	}
	entry, err := json.Marshal(Entry{
		Revision: h.Revision, Edit: ref.Edit, Team: teamOrEmpty(name), Version: ref.Version, Accepted: time.Now().UTC(),
		Hash: ref.Hash, Parts: ref.Parts,
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode history")
	}
	reportData, err := s.nextReport(ctx, old.Revision, change{Branch: name, branchRef: ref})
	if err != nil {
		return 0, err
	}
	operation, changes := s.Operation(), []snipeplatform.Change{
		{Key: revisionKey, Expect: old.Revision, Data: reportData},
		{Key: headKey, Expect: old.Revision, Data: headData},
		{Key: historyKey(name, ref.Version), Data: entry},
	}
	err = retryUnavailable(ctx, func() error { return s.Table.Settle(ctx, operation, changes) })
	if err != nil {
		return 0, errors.Wrapf(err, "write revision %d", h.Revision)
	}
	s.Log.Log(snipelog.SettingsAccepted, snipelog.Fields{"Revision": h.Revision, "Branch": name})
	return h.Revision, nil
}

func teamOrEmpty(name string) string {
	if name == platformBranchName {
		return ""
	}
	return teamOf(name)
}

// History returns the accepted edits of a branch, the most recent one first; an empty team
// stands for the platform's branch.
func (s *Store) History(ctx context.Context, team string) ([]Entry, error) {
	rows, err := s.Table.List(ctx, historyPrefix+branchName(team))
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

// historyEntry returns the history entry of a version of a branch, or ErrUnknownVersion.
func (s *Store) historyEntry(ctx context.Context, name string, version uint64) (Entry, error) {
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

// Document returns the document of a version of the branch; an empty team stands for the
// platform's branch. It returns ErrUnknownVersion if the history lacks the version.
func (s *Store) Document(ctx context.Context, team string, version uint64) ([]byte, error) {
	name := branchName(team)
	e, err := s.historyEntry(ctx, name, version)
	if err != nil {
		return nil, err
	}
	d, err := s.readDocument(ctx, name, branchRef{Hash: e.Hash, Parts: e.Parts})
	if err != nil {
		return nil, err
	}
	return decompress(d.compressed)
}

// Rollback applies the document of an earlier version to the branch again, as a new
// version and revision, if the branch is still at version expect. The document is checked
// like that of any other edit.
func (s *Store) Rollback(ctx context.Context, team string, expect, version uint64) (uint64, error) {
	data, err := s.Document(ctx, team, version)
	if err != nil {
		return 0, err
	}
	return s.Apply(ctx, team, expect, data)
}
