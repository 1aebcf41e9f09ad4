package snipeentry

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeproto"
)

const (
	// maxWatchWait bounds how long a request of another instance may wait for a change.
	maxWatchWait = 10 * time.Second
	// minPackedRows is the least number of rows at which a page, the result of one read of a table,
	// is compressed. The rows of thousands of upstreams are similar, and dozens of instances
	// request all of them when all start at once.
	minPackedRows = 200
	// packedPageLife is how long one compressed page of a whole table is served to all instances
	// that request the whole table. An instance receives later changes when it reads on from the
	// position of that page (the number of the last change of the store that the page covers).
	packedPageLife = 300 * time.Millisecond
	// maxUnpackedBytes is the size in bytes at which the decompressed rows of a page are rejected.
	maxUnpackedBytes = 64 << 20
)

// errUnpackedTooLarge reports that the rows of a page are larger than a table can be.
var errUnpackedTooLarge = errors.New("packed rows are too large")

// mirrorServer serves this instance's copies of the store's tables to other instances.
type mirrorServer struct {
	mirrors map[string]*snipemirror.Mirror // by table name

	lock sync.Mutex // guards packedPages
	// packedPages holds the last compressed page with all rows of each table, by table name.
	packedPages map[string]packedPage
}

// packedPage is a compressed page and the time at which it was made.
type packedPage struct {
	page   snipemirror.Page // without rows
	rows   []byte           // from packRows
	madeAt time.Time
}

// Watch implements snipeproto.Mirror: it returns the changes of a table after a position. If there
// are none yet, it waits for one for the requested time, at most maxWatchWait. Position 0 requests
// all rows, which may come from a compressed page up to packedPageLife old.
func (s *mirrorServer) Watch(ctx context.Context, r *snipeproto.MirrorWatchRequest) (*snipeproto.MirrorWatchResponse, error) {
	arrived := time.Now()
	m := s.mirrors[r.GetTable()]
	if m == nil {
		return nil, twirp.NotFoundError("no copy of this table")
	}
	if r.GetAfter() == 0 {
		if p, ok := s.cachedPage(r.GetTable()); ok {
			p.page.Age += time.Since(p.madeAt)
			return encodePage(p.page, p.rows, arrived), nil
		}
	}
	wait := min(time.Duration(r.GetWaitMilliseconds())*time.Millisecond, maxWatchWait)
	page, err := m.Watch(ctx, r.GetAfter(), wait)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if len(page.Rows) < minPackedRows {
		return encodePage(page, nil, arrived), nil
	}
	rows, err := packRows(page.Rows)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	page.Rows = nil
	if page.Complete {
		s.cachePage(r.GetTable(), packedPage{page, rows, time.Now()})
	}
	return encodePage(page, rows, arrived), nil
}

// cachedPage returns the compressed page of a whole table if it is younger than packedPageLife.
func (s *mirrorServer) cachedPage(table string) (packedPage, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	p, ok := s.packedPages[table]
	return p, ok && time.Since(p.madeAt) < packedPageLife
}

// cachePage replaces the compressed page of a whole table.
func (s *mirrorServer) cachePage(table string, p packedPage) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.packedPages == nil {
		s.packedPages = make(map[string]packedPage)
	}
	s.packedPages[table] = p
}

// encodePage returns the message for a page that was requested by a message that arrived at a time.
// packed holds the page's rows in compressed form, or is nil if p.Rows holds them.
func encodePage(p snipemirror.Page, packed []byte, arrived time.Time) *snipeproto.MirrorWatchResponse {
	m := &snipeproto.MirrorWatchResponse{
		Position: p.Position, Whole: p.Complete, Rows: encodeRows(p.Rows), Packed: packed,
		// Rounded up, so that a copy does not look younger with each instance that passes it on.
		AgeMilliseconds: (p.Age + time.Millisecond - 1).Milliseconds(),
	}
	if !p.Confirmed.IsZero() {
		// One less because the division rounds a positive number down and a negative one up.
		confirmed := p.Confirmed.Sub(arrived).Milliseconds() - 1
		m.ConfirmedMilliseconds = &confirmed
	}
	return m
}

// decodePage returns the page of a message, whose rows may be compressed. The message answers one that
// was sent at a time.
func decodePage(m *snipeproto.MirrorWatchResponse, sent time.Time) (snipemirror.Page, error) {
	p := snipemirror.Page{
		Position: m.GetPosition(), Complete: m.GetWhole(), Rows: decodeRows(m.GetRows()),
		Age: time.Duration(m.GetAgeMilliseconds()) * time.Millisecond,
	}
	if m.ConfirmedMilliseconds != nil {
		p.Confirmed = sent.Add(time.Duration(m.GetConfirmedMilliseconds()) * time.Millisecond)
	}
	if len(m.GetPacked()) == 0 {
		return p, nil
	}
	var err error
	p.Rows, err = unpackRows(m.GetPacked())
	return p, err
}

func encodeRows(rows []snipemirror.Row) []*snipeproto.MirrorRow {
	all := make([]*snipeproto.MirrorRow, 0, len(rows))
	for _, r := range rows {
		all = append(all, &snipeproto.MirrorRow{
			Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed, Renewed: r.Unchanged,
		})
	}
	return all
}

func decodeRows(rows []*snipeproto.MirrorRow) []snipemirror.Row {
	all := make([]snipemirror.Row, 0, len(rows))
	for _, r := range rows {
		all = append(all, snipemirror.Row{
			Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(), Unchanged: r.GetRenewed(),
		})
	}
	return all
}

// packRows encodes rows as a snipeproto.MirrorRows message and compresses it.
func packRows(rows []snipemirror.Row) ([]byte, error) {
	data, err := proto.Marshal(&snipeproto.MirrorRows{Rows: encodeRows(rows)})
	if err != nil {
		return nil, errors.Wrap(err, "encode rows")
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress rows")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress rows")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress rows")
	}
	return b.Bytes(), nil
}

// unpackRows is the inverse of packRows. It fails if the data are invalid, or maxUnpackedBytes or
// more when decompressed.
func unpackRows(packed []byte) ([]snipemirror.Row, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress rows")
	}
	if len(data) == maxUnpackedBytes {
		return nil, errUnpackedTooLarge
	}
	var rows snipeproto.MirrorRows
	if err := proto.Unmarshal(data, &rows); err != nil {
		return nil, errors.Wrap(err, "decode rows")
	}
	return decodeRows(rows.GetRows()), nil
}
