package snipestand

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RowStore emulates the store of the co-operative platform: rows in tables, conditional
// transactions, and a feed of changes. It serves the HTTP calls of the store. Tests and the
// demonstration write the rows of operators through Put.
type RowStore struct {
	lock      sync.Mutex // guards the fields below
	rows      map[rowName]storedRow
	version   uint64
	compacted uint64        // the feed no longer serves changes up to this version
	changed   chan struct{} // closed and replaced at each change
	mode      StoreMode
}

// StoreMode is how a store treats calls, and which fault it emulates.
type StoreMode uint8

// The modes of a store.
const (
	// StoreNormal is the normal mode.
	StoreNormal StoreMode = iota
	// StoreRefuses answers 503 and does not execute the call.
	StoreRefuses
	// StoreSilent accepts calls and never answers them, nor does it execute them.
	StoreSilent
	// StoreLosesAnswers executes calls and closes the connection without an answer.
	StoreLosesAnswers
)

// rowName identifies a row.
type rowName struct {
	Table, Part, Key string
}

// storedRow is a row as it is stored and sent. The store keeps a removed row, marked as Removed, so
// that feeds report its removal.
type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// storedPage is the body of an answer.
type storedPage struct {
	Rows    []storedRow `json:"rows"`
	HasMore bool        `json:"hasMore"`
	Version uint64      `json:"ver"`
	Now     int64       `json:"nowMs"`
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	return &RowStore{rows: make(map[rowName]storedRow), changed: make(chan struct{})}
}

// SetMode sets how the store treats the calls from now on.
func (s *RowStore) SetMode(m StoreMode) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.mode = m
}

// Compact discards the changes so far. A feed that asks for changes after an earlier version is
// answered 410.
func (s *RowStore) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.compacted = s.version
	s.wake()
}

// Put writes a row without a condition, as operators do. The value is encoded as JSON. A nil value
// removes the row.
func (s *RowStore) Put(table, key string, value any) error {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			return err
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.version++
	s.set(rowName{Table: table, Key: key}, data)
	s.wake()
	return nil
}

// PutBytes writes a row as another writer may, with any bytes as its value.
func (s *RowStore) PutBytes(table, part, key string, value []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.version++
	s.set(rowName{Table: table, Part: part, Key: key}, value)
	s.wake()
}

// Rows returns the number of rows of a table, without the removed ones.
func (s *RowStore) Rows(table string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := 0
	for name, r := range s.rows {
		if name.Table == table && !r.Removed {
			n++
		}
	}
	return n
}

// set stores the value of a row at the current version; nil marks the row as removed. The lock is
// held.
func (s *RowStore) set(n rowName, value []byte) {
	s.rows[n] = storedRow{
		Table: n.Table, Part: n.Part, Key: n.Key, Value: value, Version: s.version, Removed: value == nil,
	}
}

// wake wakes all waiting feeds. The lock is held.
func (s *RowStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the handler of the store's calls, which applies the mode of the store.
func (s *RowStore) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/rows-get", s.get)
	m.HandleFunc("GET /api/rows-feed", s.feed)
	m.HandleFunc("POST /api/rows-tx", s.transact)
	m.HandleFunc("POST /Put", s.put)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.lock.Lock()
		mode := s.mode
		s.lock.Unlock()
		switch mode {
		case StoreRefuses:
			w.WriteHeader(http.StatusServiceUnavailable)
		case StoreSilent:
			// The server detects the end of the connection only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case StoreLosesAnswers:
			m.ServeHTTP(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			m.ServeHTTP(w, r)
		}
	})
}

// discardWriter is a response writer that drops the answer.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardWriter) WriteHeader(int) {}

// page returns an answer with the given rows. The lock is held.
func (s *RowStore) page(rows []storedRow) storedPage {
	if rows == nil {
		rows = []storedRow{}
	}
	return storedPage{Rows: rows, Version: s.version, Now: time.Now().UnixMilli()}
}

// get answers with the rows of one part of a table (the second component of a row's name) whose keys
// are at least "from" and below "to", in the order of keys. An empty "to" sets no upper bound.
func (s *RowStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.lock.Lock()
	defer s.lock.Unlock()
	var rows []storedRow
	for n, row := range s.rows {
		in := n.Table == q.Get("table") && n.Part == q.Get("part") && n.Key >= q.Get("from")
		if in && !row.Removed && (q.Get("to") == "" || n.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, s.page(rows))
}

// answer writes a JSON answer. It ignores an error, which means that the caller has disconnected.
func (s *RowStore) answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// feed answers with the changes of a table after a version. If there are none, it waits for the
// next change, at most for the time that the request states. It answers 410 at once if the changes
// after that version have been discarded; see Compact.
func (s *RowStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page, status, changed := s.since(q.Get("table"), after)
		if status != http.StatusOK || len(page.Rows) > 0 {
			s.answer(w, status, page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the rows of a table that changed after a version, the status of the answer, and a
// channel that is closed at the next change.
func (s *RowStore) since(table string, after uint64) (storedPage, int, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if after < s.compacted {
		return s.page(nil), http.StatusGone, s.changed
	}
	var rows []storedRow
	for n, row := range s.rows {
		if n.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storedRow) int { return cmp.Compare(a.Version, b.Version) })
	return s.page(rows), http.StatusOK, s.changed
}

// storedTransaction is the body of a transaction.
type storedTransaction struct {
	Conditions []storedRow `json:"precondition"`
	Writes     []storedRow `json:"writes"`
	Removes    []storedRow `json:"remove"`
}

// transact makes all writes and removals if every condition holds. Otherwise it answers 412 with
// the current rows of the conditions. Version 0 in a condition means that the row must not exist.
func (s *RowStore) transact(w http.ResponseWriter, r *http.Request) {
	var t storedTransaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	var current []storedRow
	holds := true
	for _, c := range t.Conditions {
		row := s.rows[rowName{c.Table, c.Part, c.Key}]
		if row.Removed {
			row.Version = 0
		}
		holds = holds && row.Version == c.Version
		current = append(current, row)
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, s.page(current))
		return
	}
	s.version++
	for _, row := range t.Writes {
		s.set(rowName{row.Table, row.Part, row.Key}, row.Value)
	}
	for _, row := range t.Removes {
		s.set(rowName{row.Table, row.Part, row.Key}, nil)
	}
	s.wake()
	s.answer(w, http.StatusOK, s.page(nil))
}

// put writes a row on behalf of the operators of the demonstration. The query names the table and
// the key, the body is the value.
func (s *RowStore) put(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := s.Put(r.URL.Query().Get("table"), r.URL.Query().Get("key"), value); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}
