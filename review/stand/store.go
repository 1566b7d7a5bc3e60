package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings and on the page of the protocol.
const (
	txTime       = 5 * time.Millisecond
	rowBytes     = 65536
	maxEntries   = 100
	maxCallBytes = 1 << 20
	maxPageRows  = 500
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"nowMs"`
}

type rowName struct{ table, part, key string }

// store is the platform's store in memory.
type store struct {
	record *record
	began  time.Time
	// transacting serializes the transactions.
	transacting sync.Mutex

	mu      sync.Mutex
	rows    map[rowName]row
	log     []row
	version uint64
	changed chan struct{}
	// writer is the client that last wrote under a condition.
	writer string
	// refused are the clients that get 503.
	refused map[string]bool
}

func newStore(r *record) *store {
	return &store{record: r, began: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{}), refused: map[string]bool{}}
}

// put writes a row as operators and workers do; a nil value removes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value, Deleted: value == nil})
}

func (s *store) apply(r row) {
	r.Version = s.version
	name := rowName{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// lastWriter returns the client that last wrote under a condition.
func (s *store) lastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// refuse makes the store answer a client with 503, or serve it again.
func (s *store) refuse(client string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[client] = on
}

// handler serves one client, which has a port of its own.
func (s *store) handler(client string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(client, w, r) })
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refused := s.refused[client]
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

type transaction struct {
	Conditions []row `json:"expectRev"`
	Writes     []row `json:"writes"`
	Removals   []row `json:"remove"`
}

// fault returns why the store rejects a transaction, or "".
func (t transaction) fault(size int) string {
	entries := len(t.Conditions) + len(t.Writes) + len(t.Removals)
	switch {
	case entries > maxEntries:
		return "more than 100 entries: " + strconv.Itoa(entries)
	case size > maxCallBytes:
		return "more than 1 MB: " + strconv.Itoa(size)
	}
	for _, w := range t.Writes {
		if len(w.Value) > rowBytes {
			return "a value of more than rowBytes: " + w.Table + "/" + w.Key + " " + strconv.Itoa(len(w.Value))
		}
	}
	return ""
}

func (s *store) transact(client string, w http.ResponseWriter, r *http.Request) {
	var t transaction
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &t)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if fault := t.fault(len(body)); fault != "" {
		s.record.log("store: 400 to a transaction of %s: %s", client, fault)
		reply(w, http.StatusBadRequest, map[string]string{"error": fault})
		return
	}
	s.transacting.Lock()
	time.Sleep(txTime)
	defer s.transacting.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, c := range t.Conditions {
		x := s.rows[rowName{c.Table, c.Part, c.Key}]
		failed = failed || x.Version != c.Version
		if x.Version != 0 {
			current = append(current, x)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, page{Rows: current, Version: s.version, NowMS: s.now()})
		return
	}
	s.version++
	for _, x := range t.Writes {
		s.apply(row{Table: x.Table, Part: x.Part, Key: x.Key, Value: x.Value})
	}
	for _, x := range t.Removals {
		s.apply(row{Table: x.Table, Part: x.Part, Key: x.Key, Deleted: true})
	}
	if len(t.Conditions) > 0 {
		s.writer = client
	}
	reply(w, http.StatusOK, page{Rows: []row{}, Version: s.version, NowMS: s.now()})
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() + 1000 }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	p := page{Version: s.version, Rows: []row{}, NowMS: s.now()}
	for name, x := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") &&
			(q.Get("to") == "" || name.key < q.Get("to")) {
			p.Rows = append(p.Rows, x)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i, x := range p.Rows {
		if size += len(x.Value); i == limit || i > 0 && size > maxCallBytes {
			p.Rows, p.HasMore = p.Rows[:i], true
			break
		}
	}
	reply(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := page{Version: s.version, Rows: []row{}, NowMS: s.now()}
		from, _ := slices.BinarySearchFunc(s.log, after+1, func(x row, v uint64) int {
			if x.Version < v {
				return -1
			}
			return 1
		})
		for _, x := range s.log[from:] {
			if x.Table == q.Get("table") {
				p.Rows = append(p.Rows, x)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			reply(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}
