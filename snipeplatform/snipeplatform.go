// Package snipeplatform is the only package that knows the platform's formats:
// the table service (the DynamoDB protocol), the object store (the S3
// protocol) and the instance list.
//
// Towards the rest of the project a table is the typed Table below, a set of
// function fields, so that tests put a fake in its place. Every row has a
// version that grows by one with each write; every write is conditional on the
// versions that its author has read. A write has three results: done, not done
// (ErrConflict, ErrUnavailable) and unknown (ErrUnknown: it may have taken
// effect). Unknown is never folded into not done: whoever gets it reads the
// rows again and looks for the operation's identifier.
package snipeplatform

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of the table service.
var (
	// ErrNotFound: the row does not exist.
	ErrNotFound = errors.New("row not found")
	// ErrConflict: a condition did not hold; nothing was written.
	ErrConflict = errors.New("write conflict")
	// ErrUnavailable: the service did not take the request; nothing was written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnread: the table has not been read yet.
	ErrUnread = errors.New("table not read yet")
	// ErrHistory: the changes since the position asked for are no longer kept.
	ErrHistory = errors.New("history is gone")
	// ErrUnknown: the request may have taken effect.
	ErrUnknown = errors.New("write outcome unknown")
)

// Answered reports whether the table has answered a write.
func Answered(err error) bool { return err == nil || errors.Is(err, ErrConflict) }

// Key names a row.
type Key struct {
	// Partition groups rows that are listed together.
	Partition string
	// Sort orders rows within their partition.
	Sort string
}

// Row is one row of the table.
type Row struct {
	Key
	// Version grows with each write: by one from 1 on in a table that counts for
	// each row, by more in one that counts all writes together.
	Version uint64
	// Operation identifies the write that made this version.
	Operation string
	// Data is the row's JSON document.
	Data []byte
}

// Change is one part of a transaction.
type Change struct {
	Key
	// Expect is the version that the row must have; 0 means that it must not
	// exist.
	Expect uint64
	// Data is the new document. Nil leaves the row as it is: the change only
	// checks the version.
	Data []byte
	// Delete removes the row instead.
	Delete bool
}

// Table is the platform's transactional table service.
type Table struct {
	// Get reads one row, consistently.
	Get func(ctx context.Context, key Key) (Row, error)
	// List reads all rows of a partition, consistently, in the order of Sort.
	List func(ctx context.Context, partition string) ([]Row, error)
	// Write makes all changes or none. The operation identifies the write:
	// it is stored in each changed row, and sending the same operation again
	// does nothing more.
	Write func(ctx context.Context, operation string, changes []Change) error
}
