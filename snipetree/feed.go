package snipetree

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// maxReportedEdits is the number of most recent edits in the revision row. It keeps the row
// within one read unit of 4 KiB.
const maxReportedEdits = 24

// change is one edit in the report.
type change struct {
	Branch string
	branchRef
}

// report is the document of the revision row: the most recent edits in the order of their
// revisions, without gaps. An instance that is behind by at most maxReportedEdits revisions
// updates its head from the report. An instance that is further behind reads the head row,
// which names all branches.
type report struct {
	Changes []change
}

// nextReport returns the encoded report with the edit last added, which is made on the given
// revision.
func (s *Store) nextReport(ctx context.Context, revision uint64, last change) ([]byte, error) {
	var r report
	var row snipeplatform.Row
	err := retryUnavailable(ctx, func() (err error) {
		row, err = s.Table.Get(ctx, revisionKey)
		return err
	})
	switch {
	case errors.Is(err, snipeplatform.ErrNotFound):
	case err != nil:
		return nil, errors.Wrap(err, "read report")
	case row.Version != revision || json.Unmarshal(row.Data, &r) != nil:
		// Either the edit will fail with a conflict, or the read was stale or the report
		// cannot be decoded. In the last two cases the report starts anew with this edit.
		r = report{}
	}
	r.Changes = append(r.Changes, last)
	r.Changes = r.Changes[max(0, len(r.Changes)-maxReportedEdits):]
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode report")
	}
	return data, nil
}

// headFromReport returns the head at the revision of the revision row, derived from the head
// in force and the row's report; false if the report does not cover all edits in between.
func (s *Store) headFromReport(row snipeplatform.Row) (head, bool) {
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
