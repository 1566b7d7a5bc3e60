package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// advice is the service that knows which workers may run a step; here all of them may.
type advice struct {
	decide, each, valid time.Duration

	// calls holds a value for the call that is handled and for those that wait.
	calls chan struct{}
	turn  sync.Mutex

	mu sync.Mutex
	// granted is until when the ticket of a step and a worker is valid.
	granted map[string]time.Time
}

// maxAdviceCalls is how many calls may wait.
const maxAdviceCalls = 32

func newAdvice(decide, each, valid time.Duration) *advice {
	return &advice{decide: decide, each: each, valid: valid, granted: map[string]time.Time{}, calls: make(chan struct{}, maxAdviceCalls+1)}
}

func ticketOf(step, worker string) string { return "t-" + step + "-" + worker }

func (a *advice) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil || len(b.Workers) > 100 {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		select {
		case a.calls <- struct{}{}:
			defer func() { <-a.calls }()
		default:
			reply(w, http.StatusTooManyRequests, nil)
			return
		}
		a.turn.Lock()
		time.Sleep(a.decide + time.Duration(len(b.Workers))*a.each)
		a.turn.Unlock()
		good := [][]string{}
		a.mu.Lock()
		for _, id := range b.Workers {
			t := ticketOf(b.Step, id)
			a.granted[t] = time.Now().Add(a.valid)
			good = append(good, []string{id, t})
		}
		a.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"good": good, "validMs": a.valid.Milliseconds()})
	})
	return mux
}

// allows reports whether a ticket lets a worker start a task.
func (a *advice) allows(t taskName, worker, ticket string) bool {
	want := ticketOf(fmt.Sprintf("%s.%d.%d", t.job, t.round, t.step), worker)
	a.mu.Lock()
	defer a.mu.Unlock()
	return ticket == want && time.Now().Before(a.granted[want])
}
