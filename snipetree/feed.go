package snipetree

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// window is how many of the last edits the revision row reports, so that it
// stays within one read unit of 4 KiB.
const window = 24

// change is one edit in the report.
type change struct {
	Branch string
	branchRef
}

// report is the document of the revision row: the last edits in the order of
// their revisions, without gaps. Whoever is behind by no more than the window
// brings its head up to date from it; whoever is further behind reads the head
// row, which names all branches.
type report struct {
	Changes []change
}

// report returns the report after one more edit on a revision.
func (s *Store) report(ctx context.Context, revision uint64, last change) ([]byte, error) {
	var r report
	var row snipeplatform.Row
	err := patient(ctx, func() (err error) {
		row, err = s.Table.Get(ctx, revisionKey)
		return err
	})
	switch {
	case errors.Is(err, snipeplatform.ErrNotFound):
	case err != nil:
		return nil, errors.Wrap(err, "read report")
	case row.Version != revision || json.Unmarshal(row.Data, &r) != nil:
		// The edit will meet a conflict, or the report begins anew.
		r = report{}
	}
	r.Changes = append(r.Changes, last)
	r.Changes = r.Changes[max(0, len(r.Changes)-window):]
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode report")
	}
	return data, nil
}

// follows returns the head at the revision row's version, made from the head
// that is here and the report; false when the report does not reach back.
func (s *Store) follows(row snipeplatform.Row) (head, bool) {
	var r report
	if err := json.Unmarshal(row.Data, &r); err != nil {
		return head{}, false
	}
	s.lock.Lock()
	h := s.head.clone()
	s.lock.Unlock()
	if h.Revision == 0 {
		return head{}, false
	}
	for _, c := range r.Changes {
		if c.Revision <= h.Revision {
			continue
		}
		if c.Revision != h.Revision+1 {
			return head{}, false
		}
		h.Branches[c.Branch] = c.branchRef
		h.Revision = c.Revision
	}
	return h, h.Revision == row.Version
}
