package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// txTime is how long a transaction takes; the transactions of a part follow one another.
const txTime = 5 * time.Millisecond

// row is a row of the store in its wire format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Dropped bool   `json:"tombstone,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is the platform's store in memory.
type store struct {
	began time.Time

	partMu sync.Mutex
	parts  map[string]*sync.Mutex

	mu      sync.Mutex
	rows    map[string]row
	log     []row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), parts: map[string]*sync.Mutex{}, rows: map[string]row{}, changed: make(chan struct{})}
}

func (s *store) nowMS() int64 { return time.Since(s.began).Milliseconds() + 1000 }

// apply writes rows in one transaction; a row that is dropped has no value. The caller holds mu.
func (s *store) apply(rows ...row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		if r.Dropped {
			delete(s.rows, r.name())
		} else {
			s.rows[r.name()] = r
		}
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator and the workers do; nil drops it.
func (s *store) put(table, key string, value any) {
	r := row{Table: table, Key: key, Dropped: value == nil}
	if value != nil {
		r.Value = mustJSON(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(r)
}

func (s *store) part(name string) *sync.Mutex {
	s.partMu.Lock()
	defer s.partMu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []row `json:"expectRev"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Writes)+len(t.Remove) > 100 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	part := ""
	if all := slices.Concat(t.Expect, t.Writes, t.Remove); len(all) > 0 {
		part = all[0].Part
	}
	p := s.part(part)
	p.Lock()
	defer p.Unlock()
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	failed := false
	for _, e := range t.Expect {
		have, ok := s.rows[e.name()]
		if ok {
			current = append(current, have)
		}
		failed = failed || have.Version != e.Version
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "nowMs": s.nowMS()})
		return
	}
	for i := range t.Remove {
		t.Remove[i].Dropped = true
	}
	s.apply(slices.Concat(t.Writes, t.Remove)...)
	answer(w, http.StatusOK, map[string]any{"ver": s.version, "nowMs": s.nowMS()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") &&
			(q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": more, "ver": s.version,
		"nowMs": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, x := range s.log {
			if x.Table == q.Get("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have closed the connection.
	_, _ = w.Write(mustJSON(v))
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
