package snipeslot

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// givenPartition holds one row for each engine that ignores fencing numbers.
const givenPartition = "GivenUp"

// given is the document of a row.
type given struct {
	// Fence is the fencing number of the owner that wrote it.
	Fence uint64
	// Aliases are those that no successor may use.
	Aliases []string
}

// Record keeps the list of given-up aliases of one engine in the table. Its
// writes check the owner row in the same transaction: an owner that has lost
// the engine cannot add to the list any more, so that what a successor reads
// after its takeover is final.
type Record struct {
	// Table is the platform's table.
	Table snipeplatform.Table
	// Engine is the engine's name and Fence the ownership.
	Engine string
	Fence  uint64
	// Owner is the check of the owner row.
	Owner snipeplatform.Change
	// Operation returns a new identifier for a write.
	Operation func() string

	version uint64
}

func (r *Record) key() snipeplatform.Key {
	return snipeplatform.Key{Partition: givenPartition, Sort: r.Engine}
}

// Inherit returns what the last owner has written. It comes before GiveUp.
func (r *Record) Inherit(ctx context.Context) ([]string, error) {
	row, err := r.Table.Get(ctx, r.key())
	if errors.Is(err, snipeplatform.ErrNotFound) {
		r.version = 0
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read given-up aliases of %s", r.Engine)
	}
	r.version = row.Version
	var g given
	if err := json.Unmarshal(row.Data, &g); err != nil {
		return nil, errors.Wrapf(err, "given-up aliases of %s", r.Engine)
	}
	return g.Aliases, nil
}

// GiveUp writes the list. It returns an error unless the write is known to
// have taken effect. It is not safe for concurrent use.
func (r *Record) GiveUp(ctx context.Context, aliases []string) error {
	data, err := json.Marshal(given{Fence: r.Fence, Aliases: aliases})
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
// unknown. A write of this ownership whose reply was lost is seen here.
func (r *Record) confirm(ctx context.Context, operation string, cause error) error {
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
