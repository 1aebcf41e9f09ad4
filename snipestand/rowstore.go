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

// RowStore is the store of the co-operative platform: rows in tables, changed
// under conditions, with a feed of changes. It serves the store's HTTP calls;
// tests and the demonstration write operators' rows through Put.
type RowStore struct {
	lock    sync.Mutex // guards the fields below
	rows    map[rowName]storedRow
	version uint64
	floor   uint64 // changes up to here are no longer told
	changed chan struct{}
	mode    StoreMode
}

// StoreMode is how a store misbehaves.
type StoreMode uint8

// The modes.
const (
	// StoreServes is the usual one.
	StoreServes StoreMode = iota
	// StoreRefuses answers 503 and does nothing.
	StoreRefuses
	// StoreSilent takes calls and answers none.
	StoreSilent
	// StoreLosesAnswers makes writes and closes the connection.
	StoreLosesAnswers
)

type rowName struct {
	Table, Part, Key string
}

type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

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

// SetMode makes the store misbehave, or behave again.
func (s *RowStore) SetMode(m StoreMode) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.mode = m
}

// Compact forgets the changes so far: feeds that ask for them are refused.
func (s *RowStore) Compact() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.floor = s.version
	s.wake()
}

// Put writes a row without a condition, as operators do. The value is encoded as
// JSON; a nil one removes the row.
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

// Rows returns the number of rows of a table.
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

// set stores a value, or a mark that the row is removed. The lock is held.
func (s *RowStore) set(n rowName, value []byte) {
	s.rows[n] = storedRow{
		Table: n.Table, Part: n.Part, Key: n.Key, Value: value, Version: s.version, Removed: value == nil,
	}
}

// wake wakes all feeds. The lock is held.
func (s *RowStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the handler of the store's calls.
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
			// Read, so that the end of the connection is seen.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case StoreLosesAnswers:
			m.ServeHTTP(discarded{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			m.ServeHTTP(w, r)
		}
	})
}

// discarded is an answer that nobody gets.
type discarded struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discarded) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discarded) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d discarded) WriteHeader(int) {}

func (s *RowStore) page(rows []storedRow) storedPage {
	if rows == nil {
		rows = []storedRow{}
	}
	return storedPage{Rows: rows, Version: s.version, Now: time.Now().UnixMilli()}
}

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

// answer writes JSON. A caller that has gone away gets nothing.
func (s *RowStore) answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

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
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page, status, changed := s.since(q.Get("table"), after)
		if status != http.StatusOK || len(page.Rows) > 0 {
			s.answer(w, status, page)
			return
		}
		select {
		case <-changed:
		case <-limit:
			s.answer(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns what has changed after a version, and a channel that is closed at
// the next change.
func (s *RowStore) since(table string, after uint64) (storedPage, int, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if after < s.floor {
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

type storedTransaction struct {
	Conditions []storedRow `json:"precondition"`
	Writes     []storedRow `json:"writes"`
	Removes    []storedRow `json:"remove"`
}

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

// put writes a row for operators of the demonstration: the query names it, the
// body is its value.
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
