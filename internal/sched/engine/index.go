package engine

import (
	"cmp"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// The indexes below let a planning pass look only at the workers that it concerns: passes are frequent, and there may be
// thousands of workers.

// workerIndex finds workers by their state.
type workerIndex struct {
	// byPool are the workers of each pool, ordered by ID.
	byPool map[string][]*worker
	// draining are the workers that are leaving or cordoned.
	draining map[work.WorkerID]*worker
	// interfering are the workers with best-effort tasks or tasks with a latency objective.
	interfering map[work.WorkerID]*worker
	// unacked are the workers with ends that are not acknowledged.
	unacked map[work.WorkerID]*worker
}

func newWorkerIndex() workerIndex {
	return workerIndex{byPool: map[string][]*worker{}, draining: map[work.WorkerID]*worker{},
		interfering: map[work.WorkerID]*worker{}, unacked: map[work.WorkerID]*worker{}}
}

func findByID(list []*worker, id work.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(w *worker, id work.WorkerID) int { return cmp.Compare(w.ID, id) })
}

// add adds a worker under its present pool.
func (x *workerIndex) add(w *worker) {
	list := x.byPool[w.Pool]
	if i, found := findByID(list, w.ID); !found {
		x.byPool[w.Pool] = slices.Insert(list, i, w)
	}
}

// move moves a worker whose pool has changed.
func (x *workerIndex) move(w *worker, from string) {
	if w.Pool == from {
		return
	}
	x.removeFrom(w, from)
	x.add(w)
}

// remove removes a worker.
func (x *workerIndex) remove(w *worker) {
	x.removeFrom(w, w.Pool)
	delete(x.draining, w.ID)
	delete(x.interfering, w.ID)
	delete(x.unacked, w.ID)
}

func (x *workerIndex) removeFrom(w *worker, pool string) {
	list := x.byPool[pool]
	if i, found := findByID(list, w.ID); found {
		x.byPool[pool] = slices.Delete(list, i, i+1)
	}
}

// updateDraining files a worker by whether it is leaving or cordoned.
func (x *workerIndex) updateDraining(w *worker) { file(x.draining, w, w.Leaving || w.cordoned) }

// countRun adds a run of a known task to what is known of its worker's runs (change 1), or removes it (-1).
func (x *workerIndex) countRun(w *worker, r *run, change int) {
	spec := r.stepState.spec
	if spec.LongRunning {
		w.longRunning = w.longRunning.Plus(r.need.Times(change))
		w.longRunningRuns += change
	}
	if spec.BestEffort || spec.LatencyObjective != 0 {
		w.interferingRuns += change
		file(x.interfering, w, w.interferingRuns > 0)
	}
}

// updateUnacked files a worker by whether it has ends that are not acknowledged.
func (x *workerIndex) updateUnacked(w *worker) { file(x.unacked, w, w.handledEnd > w.ackedEnd) }

func file(m map[work.WorkerID]*worker, w *worker, member bool) {
	if member {
		m[w.ID] = w
	} else {
		delete(m, w.ID)
	}
}
