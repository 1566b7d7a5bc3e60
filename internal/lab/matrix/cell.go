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

// Result is the outcome of a cell.
type Result struct {
	// Violations are the names of the violated guarantees, sorted.
	Violations []string
	Summary    audit.Summary
	// Trace lists the events in order of time, without random identifiers.
	Trace []string
}

// OK reports whether no guarantee was violated.
func (r Result) OK() bool { return len(r.Violations) == 0 }

const (
	// stepTimeout bounds the time until the message of a row's step is sent.
	stepTimeout = 25 * time.Second
	// completionTimeout bounds the time from healing until every caller and operator has its answer: a caller's longest
	// attempt and its retries.
	completionTimeout = attemptTimeout + retryDuration + 5*time.Second
	// progressTimeout is the bound that the design page states for "a few seconds".
	progressTimeout = 5 * time.Second
	loadInterval    = 500 * time.Millisecond
)

// Run runs a cell on the fake clock of synctest; each call needs its own bubble.
func (c Cell) Run() Result {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	cl := newCluster(c.Seed, c.Without, c.Log)
	defer cl.close()
	cl.runScript(c.Row.Before)
	if c.runFault(cl) {
		cl.heal()
		cl.awaitEnd()
		cl.checkProgress()
	}
	return cl.result()
}

// runFault runs the commands that lead to the row's step, injects the fault there and returns after its duration. It
// reports whether the step was reached.
func (c Cell) runFault(cl *Cluster) bool {
	t := &trigger{step: c.Row.Step, entry: cl.nameOf(c.Row.Entry), target: c.Row.Target,
		inject: func(m message) delivery { return c.inject(cl, m) }}
	cl.setTrigger(t)
	cl.running.Go(func() { cl.generateLoad(c.Row.movesWorkers()) })
	if d, ok := c.Row.moment(); ok {
		cl.running.Go(func() { cl.runScript(c.Row.Do) })
		time.Sleep(d)
		// No message belongs to a moment, so one with the row's own step fires the trigger.
		cl.intercept(message{entry: cl.entry(c.Row.Entry), step: c.Row.Step})
	} else {
		cl.running.Go(func() { cl.runScript(c.Row.Do) })
	}
	select {
	case <-t.fired:
	case <-time.After(stepTimeout):
		cl.addViolation("notreached", "no message of step %q was sent", c.Row.Step)
		return false
	}
	time.Sleep(min(500*time.Millisecond, c.Column.Duration))
	cl.running.Go(func() { cl.runScript(c.Row.During) })
	time.Sleep(c.Column.Duration - min(500*time.Millisecond, c.Column.Duration))
	return true
}

func (c Cell) inject(cl *Cluster, m message) delivery {
	if c.Column.Name == "operators race" {
		for _, line := range c.Row.Race {
			cl.running.Go(func() { cl.runCommand(parseCommand(line)) })
		}
	}
	return c.Column.inject(cl, m)
}

// generateLoad submits idempotent requests to the entry instances in turn until the cell is healed, for both pools if
// the row moves workers between them.
func (cl *Cluster) generateLoad(side bool) {
	for n := 0; !cl.isHealed() && !cl.hasEnded(); n++ {
		q := request{queue: workQueue, runTime: 200 * time.Millisecond, at: []string{"a", "b", "c"}[n%3]}
		if side && n%2 == 0 {
			q.queue = sideQueue
		}
		cl.submit(1, q)
		time.Sleep(loadInterval)
	}
}

func (cl *Cluster) hasEnded() bool {
	select {
	case <-cl.end:
		return true
	default:
		return false
	}
}

// awaitEnd waits until every caller and operator has its answer; it is a violation if that exceeds completionTimeout.
func (cl *Cluster) awaitEnd() {
	done := make(chan struct{})
	go func() { cl.running.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(completionTimeout):
		cl.addViolation("stalled", "callers or operators have no answer %s after healing", completionTimeout)
	}
}

// checkProgress finds entry instances that answer no new request, and edits that don't take effect.
func (cl *Cluster) checkProgress() {
	cl.running.Go(cl.checkEdit)
	cl.running.Go(func() {
		for _, e := range cl.liveEntries() {
			if !cl.awaitAnswer(e.name) {
				cl.addViolation("noprogress", "%s answered no new request in time", e.name)
			}
		}
	})
	cl.awaitEnd()
}

// checkEdit submits an edit and finds that it is not accepted, or not in effect at every entry instance, each within
// progressTimeout.
func (cl *Cluster) checkEdit() {
	began := time.Now()
	if !cl.applyEdit("next", sectionEdit("queue/probe", queueText(mainPool, 10))) || time.Since(began) > progressTimeout {
		cl.addViolation("noedit", "no edit was accepted within %s", progressTimeout)
		return
	}
	var stale []string
	for end := time.Now().Add(progressTimeout); time.Now().Before(end); time.Sleep(retryInterval) {
		if stale = cl.staleEntries("queue/probe"); len(stale) == 0 {
			return
		}
	}
	cl.addViolation("notinforce", "an edit was not in effect after %s: %v", progressTimeout, stale)
}

// staleEntries describes the entry instances that don't have a section in a fresh view.
func (cl *Cluster) staleEntries(section string) []string {
	var found []string
	for _, e := range cl.liveEntries() {
		if _, ok := e.replica.View().Section(section); !ok || e.replica.Fresh() != nil {
			found = append(found, fmt.Sprintf("%s at revision %d, fresh: %v", e.name, e.replica.View().Revision(),
				e.replica.Fresh()))
		}
	}
	return found
}

// awaitAnswer reports whether an entry instance answers a new request within progressTimeout.
func (cl *Cluster) awaitAnswer(name string) bool {
	for end := time.Now().Add(progressTimeout); time.Now().Before(end); time.Sleep(retryInterval) {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		q := request{key: fmt.Sprintf("probe-%s-%d", name, time.Now().UnixNano()), queue: workQueue,
			runTime: 50 * time.Millisecond}
		res, reply, err := cl.send(ctx, http.MethodPost, name, "/v1/queues/work/tasks",
			http.Header{"Idempotency-Key": {q.key}}, q.input())
		cancel()
		if err == nil && res.StatusCode == http.StatusOK {
			return true
		}
		cl.note("probe at %s: %v %s", name, err, reply)
	}
	return false
}

func (cl *Cluster) result() Result {
	r := Result{Summary: audit.Run(audit.Input{Journal: cl.journal.Records(), Calls: cl.calls.Records(),
		Edits: cl.edits.Records()})}
	for _, f := range r.Summary.Findings {
		cl.addViolation(string(f.Check), "%s", f.Detail)
	}
	r.Trace = cl.trace()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	r.Violations = slices.Compact(slices.Sorted(slices.Values(cl.violations)))
	return r
}

// trace merges the notes with the workers' journal. It replaces task ids by the keys of their requests, since the ids
// of requests without a record are random.
func (cl *Cluster) trace() []string {
	cl.mu.Lock()
	lines := slices.Clone(cl.notes)
	cl.mu.Unlock()
	journal := cl.journal.Records()
	keys := map[fleet.TaskID]string{}
	for _, j := range journal {
		if j.Key != "" {
			keys[j.Task] = j.Key
		}
	}
	for _, j := range journal {
		at := time.Unix(0, int64(j.Time)).Sub(cl.began)
		_, attempt, _ := strings.Cut(string(j.Task), ".")
		lines = append(lines, fmt.Sprintf("%8.3f %s %s %s.%s %s", at.Seconds(), j.Instance, j.Event, keys[j.Task],
			attempt, j.State))
	}
	// The order of events within one millisecond is not reproducible.
	slices.Sort(lines)
	return lines
}

func (cl *Cluster) cancel(at, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	path := "/v1/tasks/" + claim.KeyID(team, key)
	res, reply, err := cl.send(ctx, http.MethodDelete, at, path, http.Header{}, nil)
	if err != nil {
		cl.note("cancel %s: %v", key, err)
		return
	}
	cl.note("cancel %s: %d %s %s", key, res.StatusCode, reject.KindCancelled, reply)
}
