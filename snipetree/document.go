package snipetree

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipeplatform"
)

// Rows of the tree. A revision is the number of edits accepted so far, of all branches. The
// revision row is small because it is read in every poll. The head row names the document of each
// branch. Documents are immutable and stored under their hashes. The history has a row for each
// version of a branch.
const (
	partition          = "Settings"
	revisionSort       = "Revision"
	headSort           = "Head"
	historyPrefix      = "SettingsHistory/"
	documentsPartition = "SettingsDocuments"
	platformBranchName = "Platform"
	teamPrefix         = "Team/"
)

// Limits of rows and documents, in bytes except for maxParts.
const (
	// maxRow limits the data of a row; the table service accepts 400 KiB.
	maxRow = 350 << 10
	// maxParts limits the number of rows over which a document is spread.
	maxParts = 32
	// maxDocument limits a branch before compression.
	maxDocument = 64 << 20
)

var (
	revisionKey = snipeplatform.Key{Partition: partition, Sort: revisionSort}
	headKey     = snipeplatform.Key{Partition: partition, Sort: headSort}
)

// branchRef identifies a branch's document.
type branchRef struct {
	// Version counts the edits of the branch; Edit identifies the last one.
	Version uint64
	Edit    string
	// Hash names the document, Parts is the number of rows over which it is spread.
	Hash  string
	Parts int
	// Revision is the revision that the branch's last edit created.
	Revision uint64
}

// head is the document of the head row.
type head struct {
	Revision uint64
	Branches map[string]branchRef
}

// clone returns a copy whose Branches can be modified.
func (h head) clone() head {
	c := head{Revision: h.Revision, Branches: make(map[string]branchRef, len(h.Branches)+1)}
	for name, r := range h.Branches {
		c.Branches[name] = r
	}
	return c
}

// decodeHead decodes the data of the head row.
func decodeHead(data []byte) (head, error) {
	var h head
	if err := json.Unmarshal(data, &h); err != nil {
		return h, errors.Wrap(err, "decode head")
	}
	return h, nil
}

// document is a branch's document in compressed and in decoded form. It is immutable.
type document struct {
	// compressed is the document as it is stored.
	compressed []byte
	// platform or branch holds the decoded document; it is valid only if decodeErr is nil.
	platform  *Platform
	branch    *Branch
	decodeErr error
}

// compress compresses a document and returns the result and the hash of the compressed form.
func compress(data []byte) (compressed []byte, hash string, err error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return nil, "", errors.Wrap(err, "compress")
	}
	if _, err := w.Write(data); err != nil {
		return nil, "", errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, "", errors.Wrap(err, "compress")
	}
	return b.Bytes(), hashOf(b.Bytes()), nil
}

func hashOf(compressed []byte) string {
	sum := sha256.Sum256(compressed)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// decompress returns a document's text, cut off at maxDocument.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxDocument))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	return data, nil
}

// newDocument decodes a compressed document. A document that cannot be decoded is kept
// with its error, so that it blocks only its own branch.
func newDocument(name string, compressed []byte) *document {
	d := &document{compressed: compressed}
	data, err := decompress(compressed)
	if err != nil {
		d.decodeErr = err
		return d
	}
	if name == platformBranchName {
		d.platform = &Platform{}
		d.decodeErr = snipejson.Decode(data, d.platform)
		return d
	}
	d.branch = &Branch{}
	d.decodeErr = snipejson.Decode(data, d.branch)
	return d
}

func partKey(hash string, part int) snipeplatform.Key {
	return snipeplatform.Key{Partition: documentsPartition, Sort: hash + "/" + strconv.Itoa(part)}
}

// historyKey returns the key of the history row of a branch's version.
func historyKey(name string, version uint64) snipeplatform.Key {
	return snipeplatform.Key{Partition: historyPrefix + name, Sort: fmt.Sprintf("%020d", version)}
}

// partCount returns the number of rows over which a document is spread.
func partCount(compressed []byte) int { return max(1, (len(compressed)+maxRow-1)/maxRow) }

// writeDocument stores a document. A conflict means that the part is already stored: documents
// are immutable and stored under their hashes.
func (s *Store) writeDocument(ctx context.Context, hash string, compressed []byte) error {
	for n := range partCount(compressed) {
		data := compressed[n*maxRow : min((n+1)*maxRow, len(compressed))]
		changes := []snipeplatform.Change{{Key: partKey(hash, n), Data: data}}
		err := retryUnavailable(ctx, func() error { return s.Table.Settle(ctx, s.Operation(), changes) })
		if err != nil && !errors.Is(err, snipeplatform.ErrConflict) {
			return errors.Wrapf(err, "store part %d", n)
		}
	}
	return nil
}

// readDocument reads a document from the table. If the parts do not match the hash, it returns
// an error that wraps snipeplatform.ErrUnavailable; a document that cannot be decoded is no error.
func (s *Store) readDocument(ctx context.Context, name string, ref branchRef) (*document, error) {
	var compressed []byte
	for n := range min(ref.Parts, maxParts) {
		var row snipeplatform.Row
		err := retryUnavailable(ctx, func() (err error) {
			row, err = s.Table.Get(ctx, partKey(ref.Hash, n))
			return err
		})
		if err != nil {
			return nil, errors.Wrapf(err, "read branch %s", name)
		}
		compressed = append(compressed, row.Data...)
	}
	if hashOf(compressed) != ref.Hash {
		return nil, errors.Wrapf(snipeplatform.ErrUnavailable, "branch %s: document %s is damaged", name, ref.Hash)
	}
	return newDocument(name, compressed), nil
}
