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

// txTime is how long a transaction takes; a part handles one at a time.
const txTime = 4 * time.Millisecond

// maxPageRows is the largest number of rows in one reply.
const maxPageRows = 500

// row is a row of the store in its wire format. Value is in base64.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// rowPage is a reply with rows.
type rowPage struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Ver     int64 `json:"ver"`
	NowMS   int64 `json:"nowMs"`
}

// store is the platform's metadata store in memory, with all of its history.
type store struct {
	began time.Time
	// writer serializes the transactions, which take txTime each.
	writer sync.Mutex

	mu      sync.Mutex
	rows    map[string]row
	history []row
	ver     int64
	changed chan struct{}
	// lastWriter is the name of the instance that last wrote under a condition.
	lastWriter string
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), ver: 1}
}

// put writes a row as the operator and the workers do; nil removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	if value == nil {
		s.apply(row{Table: table, Key: key, Tombstone: true})
		return
	}
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(row{Table: table, Key: key, Value: b})
}

// apply records a change; mu must be held.
func (s *store) apply(r row) {
	r.Ver = s.ver
	if r.Tombstone {
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// leader returns the name of the instance that last wrote under a condition.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

func (s *store) now() int64 { return 1000 + time.Since(s.began).Milliseconds() }

// handler serves the store to an instance.
func (s *store) handler(instance string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, instance) })
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
	return mux
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, instance string) {
	var t struct {
		Expect []row `json:"expectRev"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.writer.Lock()
	time.Sleep(txTime)
	defer s.writer.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range slices.Concat(t.Writes, t.Remove) {
		if x.Table == "op" || x.Table == "servers" {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if len(x.Value) > 65536 {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	current := []row{}
	conflict := false
	for _, x := range t.Expect {
		have, ok := s.rows[x.name()]
		if ok {
			current = append(current, have)
		}
		conflict = conflict || have.Ver != x.Ver
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, rowPage{Rows: current, Ver: s.ver, NowMS: s.now()})
		return
	}
	if len(t.Expect) > 0 {
		s.lastWriter = instance
	}
	s.ver++
	for _, x := range t.Writes {
		s.apply(row{Table: x.Table, Part: x.Part, Key: x.Key, Value: x.Value})
	}
	for _, x := range t.Remove {
		s.apply(row{Table: x.Table, Part: x.Part, Key: x.Key, Tombstone: true})
	}
	reply(w, http.StatusOK, rowPage{Rows: []row{}, Ver: s.ver, NowMS: s.now()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := rowPage{Ver: s.ver, Rows: []row{}, NowMS: s.now()}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") &&
			(q.Get("to") == "" || x.Key < q.Get("to")) {
			p.Rows = append(p.Rows, x)
		}
	}
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Rows) > limit {
		p.Rows, p.HasMore = p.Rows[:limit], true
	}
	reply(w, http.StatusOK, p)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for _, x := range s.rows {
		if x.Table == r.URL.Query().Get("table") && x.Part > r.URL.Query().Get("after") && !slices.Contains(parts, x.Part) {
			parts = append(parts, x.Part)
		}
	}
	slices.Sort(parts)
	reply(w, http.StatusOK, map[string]any{"parts": parts, "ver": s.ver, "nowMs": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := rowPage{Ver: s.ver, Rows: []row{}, NowMS: s.now()}
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(x row, v int64) int { return int(x.Ver - v) })
		for _, x := range s.history[from:] {
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

// reply writes a response; the caller may have gone.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
