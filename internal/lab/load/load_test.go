package load_test

import (
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
)

// entryServer is a fake entry instance whose answer to a key depends on the key's prefix; some prefixes fail only the
// first submission.
type entryServer struct {
	mu          sync.Mutex
	submissions map[string]int
	jobs        map[string][]byte
}

func (e *entryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		e.mu.Lock()
		in := e.jobs[strings.TrimPrefix(r.URL.Path, "/v1/tasks/")]
		e.mu.Unlock()
		answer(w, in)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	in, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.submissions[key]++
	first := e.submissions[key] == 1
	e.jobs[key] = in
	e.mu.Unlock()
	switch {
	case r.Header.Get("Prefer") == "respond-async":
		w.Header().Set("Location", "/v1/tasks/"+key)
		w.Header().Set("Task-Id", key)
		w.WriteHeader(http.StatusAccepted)
	case strings.HasPrefix(key, "refuse"):
		refuse(w, http.StatusTooManyRequests, `{"kind":"full","work":"not-run"}`)
	case strings.HasPrefix(key, "unknown") && first:
		refuse(w, http.StatusBadGateway, `{"kind":"lost","work":"unknown"}`)
	case strings.HasPrefix(key, "break") && first, strings.HasPrefix(key, "lose"):
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(key, "damage"):
		answer(w, append(in, 'x'))
	default:
		answer(w, in)
	}
}

func answer(w http.ResponseWriter, in []byte) {
	b := input.Answer(in)
	w.Header().Set(rest.DigestHeader, rest.Digest(b))
	_, _ = w.Write(b)
}

func refuse(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// TestRunRecordsEveryOutcome guards against records of callers that hide a missing answer, a retry or a damaged answer
// from the checker.
func TestRunRecordsEveryOutcome(t *testing.T) {
	for _, c := range []struct {
		prefix string
		async  float64
		want   func(audit.Summary) int
	}{
		{"plain", 0, func(s audit.Summary) int { return s.Answered }},
		{"async", 1, func(s audit.Summary) int { return s.Answered }},
		{"refuse", 0, func(s audit.Summary) int { return s.Refused }},
		{"unknown", 0, func(s audit.Summary) int { return s.Answered }},
		{"break", 0, func(s audit.Summary) int { return s.Answered }},
		{"lose", 0, func(s audit.Summary) int { return s.Lost }},
		{"damage", 0, func(s audit.Summary) int { return s.Damaged }},
	} {
		t.Run(c.prefix, func(t *testing.T) {
			p, err := port.Listen("127.0.0.1:0", 0, &entryServer{submissions: map[string]int{}, jobs: map[string][]byte{}})
			if err != nil {
				t.Fatal(err)
			}
			defer p.Refuse()
			calls := &record.Log[record.Call]{}
			r, err := load.Run(t.Context(), load.Settings{
				Endpoints: []string{"http://" + p.Address()}, Tries: 2, Prefix: c.prefix, Sink: calls, Length: 100 * time.Millisecond,
				Teams: []load.Team{{Name: "t", Queue: "q", Rate: 200, Size: 32, Body: 10, Async: c.async, Timeout: 60_000}},
			})
			if err != nil {
				t.Fatal(err)
			}
			s := audit.Run(audit.Input{Calls: calls.Records()})
			if r.Sent == 0 || s.Submitted != r.Sent || c.want(s) != r.Sent {
				t.Fatalf("%d requests sent, summary %+v", r.Sent, s)
			}
		})
	}
}

// TestSurgesKeepTheMean guards against surges that change the mean load, and against simultaneous surges of all queues.
func TestSurgesKeepTheMean(t *testing.T) {
	const turns = 3
	length := 200 * time.Second
	for turn := range turns {
		p := load.Profile{Rate: 100, Surge: 2 * time.Second, Turn: turn, Turns: turns}
		n := len(p.Arrivals(length, rand.New(rand.NewPCG(1, uint64(turn)))))
		if mean := float64(n) / length.Seconds(); math.Abs(mean-100) > 10 {
			t.Errorf("turn %d: mean of %.1f requests a second, want 100", turn, mean)
		}
		if p.At(0) == 500 != (turn == 0) {
			t.Errorf("turn %d: rate %v at the beginning", turn, p.At(0))
		}
	}
}
