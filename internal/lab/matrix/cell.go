package matrix

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// Cell is one row under one fault.
type Cell struct {
	Row     Row
	Column  Column
	Seed    uint64
	Without Mechanism
	Log     *zap.Logger
}

// Result is what a cell showed.
type Result struct {
	// Violations are the names of the broken promises, sorted.
	Violations []string
	Summary    audit.Summary
	// Trace is what happened, in order of time, without identifiers that are random.
	Trace []string
}

// Ok reports whether every promise was kept.
func (r Result) Ok() bool { return len(r.Violations) == 0 }

const (
	// stepWithin bounds the way to a row's step.
	stepWithin = 25 * time.Second
	// endWithin bounds the time from healing until every caller and operator has its answer: the longest
	// attempt of a caller and its retries.
	endWithin = answerWithin + retryFor + 5*time.Second
	// progressWithin is the bound of the design page for "a few seconds".
	progressWithin = 5 * time.Second
	loadInterval   = 500 * time.Millisecond
)

// Run runs a cell on the paused clock; it must be called in a synctest bubble of its own.
func (c Cell) Run() Result {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	w := newWorld(c.Seed, c.Without, c.Log)
	defer w.close()
	w.do(c.Row.Before)
	if c.fault(w) {
		w.heal()
		w.awaitEnd()
		w.checkProgress()
	}
	return w.result()
}

// fault leads to the row's step, injects the fault and lets it last.
func (c Cell) fault(w *Cluster) bool {
	t := &trap{step: c.Row.Step, entry: w.nameOf(c.Row.Entry), target: c.Row.Target,
		fire: func(m message) treatment { return c.strike(w, m) }}
	w.arm(t)
	w.running.Go(func() { w.load(c.Row.moves()) })
	if d, ok := c.Row.after(); ok {
		w.running.Go(func() { w.do(c.Row.Do) })
		time.Sleep(d)
		w.spring(message{entry: w.entry(c.Row.Entry), step: c.Row.Step})
	} else {
		w.running.Go(func() { w.do(c.Row.Do) })
	}
	select {
	case <-t.reached:
	case <-time.After(stepWithin):
		w.breach("notreached", "no message of step %q", c.Row.Step)
		return false
	}
	time.Sleep(min(500*time.Millisecond, c.Column.For))
	w.running.Go(func() { w.do(c.Row.During) })
	time.Sleep(c.Column.For - min(500*time.Millisecond, c.Column.For))
	return true
}

func (c Cell) strike(w *Cluster, m message) treatment {
	if c.Column.Name == "operators race" {
		for _, line := range c.Row.Race {
			w.running.Go(func() { w.run(parse(line)) })
		}
	}
	return c.Column.fire(w, m)
}

// load submits idempotent requests at every entry instance in turn until the cell is healed, to both pools if a row
// moves workers between them.
func (w *Cluster) load(side bool) {
	for n := 0; !w.isHealed() && !w.over(); n++ {
		q := request{queue: workQueue, run: 200 * time.Millisecond, at: []string{"a", "b", "c"}[n%3]}
		if side && n%2 == 0 {
			q.queue = sideQueue
		}
		w.submit(1, q)
		time.Sleep(loadInterval)
	}
}

func (w *Cluster) over() bool {
	select {
	case <-w.end:
		return true
	default:
		return false
	}
}

// awaitEnd waits until every caller and operator has its answer.
func (w *Cluster) awaitEnd() {
	done := make(chan struct{})
	go func() { w.running.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(endWithin):
		w.breach("stalled", "callers or operators wait %s after healing", endWithin)
	}
}

// checkProgress finds entry instances that answer no new request, and edits that don't come into force.
func (w *Cluster) checkProgress() {
	w.running.Go(w.checkEdit)
	w.running.Go(func() {
		for _, e := range w.live() {
			if !w.answers(e.name) {
				w.breach("noprogress", "%s answers no request", e.name)
			}
		}
	})
	w.awaitEnd()
}

// checkEdit finds that no edit is accepted, or that one is not in force everywhere, within the bound for each.
func (w *Cluster) checkEdit() {
	began := time.Now()
	if !w.change("next", put("queue/probe", queueText(mainPool, 10))) || time.Since(began) > progressWithin {
		w.breach("noedit", "no edit was accepted within %s", progressWithin)
		return
	}
	var behind []string
	for end := time.Now().Add(progressWithin); time.Now().Before(end); time.Sleep(retryPause) {
		if behind = w.behind("queue/probe"); len(behind) == 0 {
			return
		}
	}
	w.breach("notinforce", "%s: %v", progressWithin, behind)
}

// behind returns the entry instances without a section in a fresh view.
func (w *Cluster) behind(section string) []string {
	var found []string
	for _, e := range w.live() {
		if _, ok := e.keeper.View().Section(section); !ok || e.keeper.Fresh() != nil {
			found = append(found, fmt.Sprintf("%s at revision %d, fresh: %v", e.name, e.keeper.View().Revision(), e.keeper.Fresh()))
		}
	}
	return found
}

// answers reports whether an entry instance answers a new request within the bound.
func (w *Cluster) answers(name string) bool {
	for end := time.Now().Add(progressWithin); time.Now().Before(end); time.Sleep(retryPause) {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		q := request{key: fmt.Sprintf("probe-%s-%d", name, time.Now().UnixNano()), queue: workQueue, run: 50 * time.Millisecond}
		res, reply, err := w.send(ctx, http.MethodPost, name, "/v1/queues/work/tasks", http.Header{"Idempotency-Key": {q.key}}, q.input())
		cancel()
		if err == nil && res.StatusCode == http.StatusOK {
			return true
		}
		w.note("probe at %s: %v %s", name, err, reply)
	}
	return false
}

func (w *Cluster) result() Result {
	r := Result{Summary: audit.Run(audit.Input{Journal: w.journal.Records(), Calls: w.calls.Records(), Edits: w.edits.Records()})}
	for _, f := range r.Summary.Findings {
		w.breach(string(f.Check), "%s", f.Detail)
	}
	r.Trace = w.trace()
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Violations = slices.Compact(slices.Sorted(slices.Values(w.breaches)))
	return r
}

// trace merges the notes with the workers' journal. Task ids are replaced by the keys of their requests, since those of
// requests without a record are random.
func (w *Cluster) trace() []string {
	w.mu.Lock()
	lines := slices.Clone(w.notes)
	w.mu.Unlock()
	journal := w.journal.Records()
	keys := map[fleet.TaskID]string{}
	for _, j := range journal {
		if j.Key != "" {
			keys[j.Task] = j.Key
		}
	}
	for _, j := range journal {
		at := time.Unix(0, int64(j.Time)).Sub(w.began)
		_, attempt, _ := strings.Cut(string(j.Task), ".")
		lines = append(lines, fmt.Sprintf("%8.3f %s %s %s.%s %s", at.Seconds(), j.Instance, j.Event, keys[j.Task], attempt, j.State))
	}
	// What happens within a millisecond has no order that could be reproduced.
	slices.Sort(lines)
	return lines
}

func (w *Cluster) cancel(at, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
	defer cancel()
	path := "/v1/tasks/" + claim.KeyID(team, key)
	res, reply, err := w.send(ctx, http.MethodDelete, at, path, http.Header{}, nil)
	if err != nil {
		w.note("cancel %s: %v", key, err)
		return
	}
	w.note("cancel %s: %d %s %s", key, res.StatusCode, reject.KindCancelled, reply)
}
