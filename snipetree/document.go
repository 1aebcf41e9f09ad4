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

// Rows of the tree. The revision row is small, as it is read all the time; the
// head row names the document of each branch; documents are immutable and
// stored under their hashes; the history has a row for each version of a branch.
const (
	partition          = "Settings"
	revisionSort       = "Revision"
	headSort           = "Head"
	historyPrefix      = "SettingsHistory/"
	documentsPartition = "SettingsDocuments"
	platformSort       = "Platform"
	teamPrefix         = "Team/"
)

// Bounds of rows and documents, in bytes.
const (
	// maxRow is what a row may hold; the table service takes 400 KiB.
	maxRow = 350 << 10
	// maxParts is over how many rows a document is spread.
	maxParts = 32
	// maxDocument bounds a branch before compression.
	maxDocument = 64 << 20
)

var (
	revisionKey = snipeplatform.Key{Partition: partition, Sort: revisionSort}
	headKey     = snipeplatform.Key{Partition: partition, Sort: headSort}
)

// branchRef says which document a branch has.
type branchRef struct {
	// Version counts the edits of the branch; Edit identifies the last one.
	Version uint64
	Edit    string
	// Hash names the document, Parts is over how many rows it is spread.
	Hash  string
	Parts int
	// Revision is the one that the branch's last edit made.
	Revision uint64
}

// head is the document of the head row.
type head struct {
	Revision uint64
	Branches map[string]branchRef
}

// clone returns a copy that can be edited.
func (h head) clone() head {
	c := head{Revision: h.Revision, Branches: make(map[string]branchRef, len(h.Branches)+1)}
	for name, r := range h.Branches {
		c.Branches[name] = r
	}
	return c
}

func decodeHead(data []byte) (head, error) {
	var h head
	if err := json.Unmarshal(data, &h); err != nil {
		return h, errors.Wrap(err, "decode head")
	}
	return h, nil
}

// document is a branch's document with what it decodes to. It never changes.
type document struct {
	// packed is the compressed document.
	packed []byte
	// platform or branch is set unless wrong says why not.
	platform *Platform
	branch   *Branch
	wrong    error
}

// pack compresses a document and returns its hash.
func pack(data []byte) (packed []byte, hash string, err error) {
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

func hashOf(packed []byte) string {
	sum := sha256.Sum256(packed)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxDocument))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	return data, nil
}

// newDocument decodes a compressed document. A document that cannot be decoded
// is kept as wrong, so that it blocks its own branch alone.
func newDocument(name string, packed []byte) *document {
	d := &document{packed: packed}
	data, err := unpack(packed)
	if err != nil {
		d.wrong = err
		return d
	}
	if name == platformSort {
		d.platform = &Platform{}
		d.wrong = snipejson.Decode(data, d.platform)
		return d
	}
	d.branch = &Branch{}
	d.wrong = snipejson.Decode(data, d.branch)
	return d
}

func partKey(hash string, part int) snipeplatform.Key {
	return snipeplatform.Key{Partition: documentsPartition, Sort: hash + "/" + strconv.Itoa(part)}
}

// historyKey returns the row of a branch's version in the history.
func historyKey(name string, version uint64) snipeplatform.Key {
	return snipeplatform.Key{Partition: historyPrefix + name, Sort: fmt.Sprintf("%020d", version)}
}

// parts returns over how many rows a document is spread.
func parts(packed []byte) int { return max(1, (len(packed)+maxRow-1)/maxRow) }

// writeDocument stores a document. It is there already if it was ever stored.
func (s *Store) writeDocument(ctx context.Context, hash string, packed []byte) error {
	for n := range parts(packed) {
		data := packed[n*maxRow : min((n+1)*maxRow, len(packed))]
		changes := []snipeplatform.Change{{Key: partKey(hash, n), Data: data}}
		err := patient(ctx, func() error { return s.Table.Settle(ctx, s.Operation(), changes) })
		if err != nil && !errors.Is(err, snipeplatform.ErrConflict) {
			return errors.Wrapf(err, "store part %d", n)
		}
	}
	return nil
}

// readDocument reads a document from the table.
func (s *Store) readDocument(ctx context.Context, name string, ref branchRef) (*document, error) {
	var packed []byte
	for n := range min(ref.Parts, maxParts) {
		var row snipeplatform.Row
		err := patient(ctx, func() (err error) {
			row, err = s.Table.Get(ctx, partKey(ref.Hash, n))
			return err
		})
		if err != nil {
			return nil, errors.Wrapf(err, "read branch %s", name)
		}
		packed = append(packed, row.Data...)
	}
	if hashOf(packed) != ref.Hash {
		return nil, errors.Wrapf(snipeplatform.ErrUnavailable, "branch %s: document %s is damaged", name, ref.Hash)
	}
	return newDocument(name, packed), nil
}
