package snipeslot

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// retiredPartition is the partition that holds one row for each engine that
// ignores fencing numbers.
const retiredPartition = "GivenUp"

// retiredDocument is the JSON document of a row.
type retiredDocument struct {
	// Fence is the fencing number of the owner that wrote the row.
	Fence uint64
	// Aliases are the retired aliases, which no later owner may use.
	Aliases []string
}

// RetiredRecord stores the list of retired aliases of one engine in the table.
// Each write checks the owner row in the same transaction: an owner that has lost
// the engine can no longer add to the list, so the list that the next owner
// reads after its takeover is final.
type RetiredRecord struct {
	// Table is the platform's table.
	Table snipeplatform.Table
	// Engine is the engine's name and Fence the fencing number of the ownership.
	Engine string
	Fence  uint64
	// Owner is the check of the owner row that each write includes.
	Owner snipeplatform.Change
	// Operation returns a unique identifier for a write.
	Operation func() string

	version uint64
}

func (r *RetiredRecord) key() snipeplatform.Key {
	return snipeplatform.Key{Partition: retiredPartition, Sort: r.Engine}
}

// Read returns the list that the last owner committed, or nil if there is
// none. It must be called before Commit, which expects the row version read
// here.
func (r *RetiredRecord) Read(ctx context.Context) ([]string, error) {
	row, err := r.Table.Get(ctx, r.key())
	if errors.Is(err, snipeplatform.ErrNotFound) {
		r.version = 0
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read given-up aliases of %s", r.Engine)
	}
	r.version = row.Version
	var g retiredDocument
	if err := json.Unmarshal(row.Data, &g); err != nil {
		return nil, errors.Wrapf(err, "given-up aliases of %s", r.Engine)
	}
	return g.Aliases, nil
}

// Commit replaces the committed list by aliases. It returns an error unless the
// write is known to have taken effect. It is not safe for concurrent use.
func (r *RetiredRecord) Commit(ctx context.Context, aliases []string) error {
	data, err := json.Marshal(retiredDocument{Fence: r.Fence, Aliases: aliases})
	if err != nil {
		return errors.Wrap(err, "encode given-up aliases")
	}
	operation := r.Operation()
	changes := []snipeplatform.Change{{Key: r.key(), Expect: r.version, Data: data}, r.Owner}
	err = r.Table.Write(ctx, operation, changes)
	if err == nil {
		r.version++
		return nil
	}
	if errors.Is(err, snipeplatform.ErrUnavailable) {
		return errors.Wrapf(err, "write given-up aliases of %s", r.Engine)
	}
	return r.confirm(ctx, operation, err)
}

// confirm reads the row after a write that was refused or whose outcome is
// unknown. It returns nil if the row holds this write, whose reply was lost,
// and an error that wraps cause otherwise.
func (r *RetiredRecord) confirm(ctx context.Context, operation string, cause error) error {
	row, err := r.Table.Get(ctx, r.key())
	if err != nil {
		return errors.Wrapf(cause, "read given-up aliases of %s back: %v", r.Engine, err)
	}
	r.version = row.Version
	if row.Operation == operation {
		return nil
	}
	return errors.Wrapf(cause, "write given-up aliases of %s", r.Engine)
}
