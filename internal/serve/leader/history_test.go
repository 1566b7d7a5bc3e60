package leader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// entry is one entry instance of a history.
type entry struct {
	name string
	link *fakes.Link
	// master is that of the present process; callers read it while a new process starts.
	master atomic.Pointer[leader.Service]
	stop   context.CancelFunc
	done   chan struct{}
}

// world is a store, workers and entry instances.
type world struct {
	t       *testing.T
	table   *fakes.Table
	crew    *fakes.Workers
	book    *rules.Cache
	entries []*entry
	boots   int
	workers *watched
}

// noSigns leaves the elector with the row alone.
type noSigns struct{}

func (noSigns) Alive(int64) bool         { return false }
func (noSigns) ProcessExited(int64) bool { return false }
func (noSigns) StoreRefused(int64) bool  { return false }

func newWorld(t *testing.T, seed uint64) *world {
	var workers []work.Worker
	for i := range 4 {
		name := fmt.Sprintf("w%d", i)
		workers = append(workers, work.Worker{ID: work.WorkerID(name), Pool: "p", Address: name, Zone: "a",
			Capacity: work.Need{CPU: 4000, Memory: 4000}})
	}
	w := &world{t: t, table: fakes.NewTable(), crew: fakes.NewWorkers(seed, workers...), book: rules.NewCache()}
	w.workers = &watched{Workers: w.crew}
	w.book.Configure(work.NewConfig(work.Config{Version: 1,
		Queues:    []work.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Objective: time.Second}},
		Customers: map[string]work.Customer{"c": {Name: "c", Cap: work.Need{CPU: 12000}}}}))
	for i := range 2 {
		w.entries = append(w.entries, &entry{name: fmt.Sprintf("e%d", i), link: w.table.Link()})
		w.start(w.entries[i])
	}
	return w
}

func (w *world) start(e *entry) {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop, e.done = cancel, make(chan struct{})
	w.boots++
	m := leader.New(leader.Options{Store: e.link, Workers: w.workers, Fleet: w.crew, Rules: w.book,
		Scheduler: engine.DefaultOptions(), Log: zap.NewNop()})
	e.master.Store(m)
	elector := elect.NewElector(e.link, elect.Identity{Name: e.name, Boot: fmt.Sprintf("%s.%d", e.name, w.boots), Address: e.name},
		m, noSigns{}, zap.NewNop())
	done := e.done
	go func() {
		defer close(done)
		elector.Run(ctx)
	}()
}

func (w *world) kill(e *entry) {
	e.stop()
	<-e.done
}

// submit hands a job in at every instance in turn until one has it, as callers do.
func (w *world) submit(ctx context.Context, j work.Job) {
	for ctx.Err() == nil {
		for _, e := range w.entries {
			c, cancel := context.WithTimeout(ctx, 2*time.Second)
			reply := e.master.Load().Submit(c, peer.SubmitRequest{Job: j, Version: 1})
			cancel()
			if reply.Result == peer.Accepted {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *world) state(id work.JobID) work.State {
	for _, e := range w.entries {
		if r := e.master.Load().Job(context.Background(), peer.JobRequest{ID: id}); r.Result == peer.Accepted {
			return r.State
		}
	}
	return ""
}

// disturb makes one random fault, which ends by itself.
func (w *world) disturb(r *rand.Rand) {
	span := time.Duration(500+r.IntN(5000)) * time.Millisecond
	e := w.entries[r.IntN(len(w.entries))]
	id := work.WorkerID(fmt.Sprintf("w%d", r.IntN(4)))
	switch r.IntN(7) {
	case 0:
		w.kill(e)
		time.Sleep(span / 4)
		w.start(e)
	case 1:
		e.link.Set(fakes.Faults{Down: true})
		time.Sleep(span)
		e.link.Set(fakes.Faults{})
	case 2:
		e.link.Set(fakes.Faults{Lose: 1 + r.IntN(5)})
		time.Sleep(span)
	case 3:
		e.link.Set(fakes.Faults{Late: 1 + r.IntN(5), LateBy: span})
		time.Sleep(span)
	case 4:
		w.crew.Crash(id)
		time.Sleep(span)
		w.crew.Restart(id)
	case 5:
		w.crew.Cut(id, true)
		time.Sleep(2 * span)
		w.crew.Cut(id, false)
	case 6:
		e.link.Set(fakes.Faults{Delay: span / 4})
		time.Sleep(span)
		e.link.Set(fakes.Faults{})
	}
}

// histories is the number of random histories in a run of the tests.
const histories = 25

// Guards against double runs, runs after an acknowledged end, false failures and jobs that stall, over random
// histories of killed and cut holders of the seat, lost and late transactions, crashed and cut workers and late orders.
func TestHistories(t *testing.T) {
	for seed := range uint64(histories) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { history(t, seed) })
		})
	}
}

func history(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(t, seed)
	w.crew.Faults = fakes.WorkerFaults{Unanswered: 0.05, LateBy: 8 * time.Second, Failing: 0.1, MostFailed: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	const jobs = 30
	for i := range jobs {
		j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 1 + r.IntN(4), Need: work.Need{CPU: 1000, Memory: 500}},
				{Count: 1, Need: work.Need{CPU: 500}, After: []int{0}}}}
		go w.submit(ctx, j)
		time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)
		if i%4 == 3 {
			w.disturb(r)
		}
	}
	w.crew.Heal()
	for _, e := range w.entries {
		e.link.Set(fakes.Faults{})
	}
	time.Sleep(time.Minute)
	for i := range jobs {
		if s := w.state(work.JobID(fmt.Sprintf("%016x", i))); s != work.Completed {
			t.Errorf("job %d is %q a minute after the last fault", i, s)
		}
	}
	for _, b := range w.crew.Violations {
		t.Error(b)
	}
	for _, e := range w.entries {
		w.kill(e)
	}
	cancel()
	time.Sleep(time.Minute)
}
