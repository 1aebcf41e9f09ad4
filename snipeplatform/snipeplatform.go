// Package snipeplatform implements the clients of the platform's table service (the DynamoDB
// protocol) and of its instance list. The rest of the project does not depend on these formats.
//
// Other packages use a table through Table, a struct of functions that tests replace with a fake.
// Every row has a version that grows with each write, and every write is conditional on the
// versions that the writer has read.
//
// A write has one of three results: done, not done (ErrConflict, ErrUnavailable), or unknown
// (ErrUnknown), in which case it may have taken effect. An unknown result is never reported as not
// done: a writer that receives ErrUnknown reads the rows again and looks for the identifier of its
// operation.
package snipeplatform

import (
	"context"

	"github.com/go-faster/errors"
)

// Errors of the table service. Errors with more detail wrap these.
var (
	// ErrNotFound is returned if the row does not exist.
	ErrNotFound = errors.New("row not found")
	// ErrConflict is returned if a condition of a write did not hold. Nothing was written.
	ErrConflict = errors.New("write conflict")
	// ErrUnavailable is returned if a read failed, or if the service did not accept a write, in
	// which case nothing was written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrNotRead is returned if the table has not been read yet.
	ErrNotRead = errors.New("table not read yet")
	// ErrHistoryGone is returned if the service no longer keeps the changes after the requested
	// position, which is the number of a transaction.
	ErrHistoryGone = errors.New("history is gone")
	// ErrUnknown is returned if the outcome of a write is unknown. It may have taken effect.
	ErrUnknown = errors.New("write outcome unknown")
)

// IsDefinite reports whether err, the result of a write, is a definite answer of the table: the
// write was done, or a condition did not hold.
func IsDefinite(err error) bool { return err == nil || errors.Is(err, ErrConflict) }

// Key identifies a row.
type Key struct {
	// Partition is the group of rows that List returns together.
	Partition string
	// Sort identifies the row within its partition and determines its position in a list.
	Sort string
}

// Row is one row of the table.
type Row struct {
	Key
	// Version grows with each write. In a table that counts the writes of each row it starts at 1
	// and grows by one; in a table that counts all writes together it can grow by more.
	Version uint64
	// Operation identifies the write that created this version.
	Operation string
	// Data is the row's JSON document.
	Data []byte
}

// Change is the change of one row in a transaction.
type Change struct {
	Key
	// Expect is the version that the row must have. 0 requires that the row does not exist.
	Expect uint64
	// Data is the new document. If it is nil, the row is left unchanged and only its version is
	// checked.
	Data []byte
	// Delete removes the row, whatever Data holds.
	Delete bool
}

// Table is the platform's transactional table service.
type Table struct {
	// Get reads one row with a consistent read.
	Get func(ctx context.Context, key Key) (Row, error)
	// List reads all rows of a partition with consistent reads, in the order of Sort.
	List func(ctx context.Context, partition string) ([]Row, error)
	// Write applies all changes or none. The operation identifies the write: it is stored in each
	// written row, and a repeated write with the same operation has no further effect.
	Write func(ctx context.Context, operation string, changes []Change) error
}
