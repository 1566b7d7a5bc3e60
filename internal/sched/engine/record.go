package engine

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Prefixes of the keys in the store.
const (
	PrefixJob    = "job/"
	PrefixRun    = "run/"
	PrefixWorker = "used/"
)

// jobRecord is the stored form of a job. It is written when the job comes and again, without its steps, when it ended.
type jobRecord struct {
	Job   work.Job   `json:"job"`
	Terms terms      `json:"terms"`
	State work.State `json:"state,omitempty"`
	// Ended is when the job ended, in milliseconds since 1970.
	Ended int64 `json:"ended,omitempty"`
}

// Validate checks a record after decoding.
func (r jobRecord) Validate() error {
	if r.State.Final() {
		return r.Job.ID.Validate()
	}
	return r.Job.Validate()
}

// progress is the stored progress of a job that has not ended.
type progress struct {
	// Opened and Closed count rounds.
	Opened int            `json:"opened"`
	Closed int            `json:"closed"`
	Steps  []stepProgress `json:"steps,omitempty"`
}

// stepProgress is the progress of one step in a round that is open.
type stepProgress struct {
	Round int `json:"round"`
	Step  int `json:"step"`
	// Done has a bit for every task that ended done.
	Done []byte `json:"done,omitempty"`
	// Failed are the numbers of the failed runs of each task.
	Failed map[int][]int64 `json:"failed,omitempty"`
	// Saved are the last checkpoints of tasks.
	Saved map[int]string `json:"saved,omitempty"`
}

// usedRecord is a worker on which tasks may run.
type usedRecord struct {
	Pool    string `json:"pool"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Machine string `json:"machine,omitempty"`
	Born    int64  `json:"born"`
}

// Batch is a set of changes for the store and what its success confirms.
type Batch struct {
	Writes []table.Write
	jobs   map[work.JobID]int
	states map[work.JobID]work.State
	used   map[work.WorkerID]bool
	acked  map[work.WorkerID]int64
	lives  map[work.WorkerID]int64
}

// Size returns the bytes of the rows.
func (c Batch) Size() int {
	n := 0
	for _, w := range c.Writes {
		n += len(w.Key) + len(w.Value)
	}
	return n
}

// Bounds of one batch, below those of a transaction of the store.
const (
	maxWrites = 90
	maxBytes  = 600 << 10
)

// Dirty reports whether there is something to store or an end to acknowledge.
func (b *Scheduler) Dirty() bool {
	if len(b.dirty) > 0 || len(b.gone) > 0 || len(b.usedDirty) > 0 {
		return true
	}
	for _, w := range b.workers {
		if w.handled > w.acked {
			return true
		}
	}
	return false
}

// Batch returns what is to be stored next. If it can't hold everything, no end is acknowledged by it.
func (b *Scheduler) Batch() (Batch, error) {
	c := Batch{jobs: map[work.JobID]int{}, states: map[work.JobID]work.State{}, used: map[work.WorkerID]bool{},
		acked: map[work.WorkerID]int64{}, lives: map[work.WorkerID]int64{}}
	size := 0
	add := func(key string, record any) error {
		value, err := cbor.Marshal(record)
		if err != nil {
			return fmt.Errorf("engine: encode %s: %w", key, err)
		}
		size += len(value) + len(key)
		c.Writes = append(c.Writes, table.Write{Key: key, Value: value})
		return nil
	}
	whole := true
	full := func() bool {
		if len(c.Writes)+2 > maxWrites || size > maxBytes {
			whole = false
		}
		return !whole
	}
	fresh, others := b.unsaved()
	save := func(list []*job) error {
		for _, j := range list {
			if full() {
				return nil
			}
			if err := b.encode(j, add, &c); err != nil {
				return err
			}
			c.jobs[j.ID] = j.version
			c.states[j.ID] = j.state
		}
		return nil
	}
	if err := save(fresh); err != nil {
		return c, err
	}
	for id := range b.usedDirty {
		if full() {
			break
		}
		if w, ok := b.workers[id]; ok && w.used {
			if err := add(PrefixWorker+string(id), usedRecord{w.Pool, w.Address, w.Zone, w.Machine, w.Incarnation}); err != nil {
				return c, err
			}
			c.used[id] = true
		} else {
			c.Writes = append(c.Writes, table.Write{Key: PrefixWorker + string(id), Delete: true})
			c.used[id] = false
		}
	}
	if err := save(others); err != nil {
		return c, err
	}
	for len(b.gone) > 0 && !full() {
		c.Writes = append(c.Writes, table.Write{Key: PrefixJob + string(b.gone[0]), Delete: true})
		b.gone = b.gone[1:]
	}
	if whole {
		for id, w := range b.workers {
			if w.handled > w.acked {
				c.acked[id], c.lives[id] = w.handled, w.Incarnation
			}
		}
	}
	return c, nil
}

// unsaved returns the jobs that are to be stored: new ones, whose callers wait for the answer, and the others, first
// those that have ended. A slow store takes fewer than there are.
func (b *Scheduler) unsaved() (fresh, others []*job) {
	for _, j := range b.dirty {
		if j.stored {
			others = append(others, j)
		} else {
			fresh = append(fresh, j)
		}
	}
	byAge := func(x, y *job) int { return cmp.Or(cmp.Compare(x.Accepted, y.Accepted), cmp.Compare(x.ID, y.ID)) }
	slices.SortFunc(fresh, byAge)
	slices.SortFunc(others, func(x, y *job) int {
		return cmp.Or(compareBool(!x.state.Final(), !y.state.Final()), byAge(x, y))
	})
	return fresh, others
}

func (b *Scheduler) encode(j *job, add func(string, any) error, c *Batch) error {
	key := string(j.ID)
	if j.state.Final() {
		brief := work.Job{ID: j.ID, Queue: j.Queue, Customer: j.Customer, Accepted: j.Accepted}
		if j.written {
			c.Writes = append(c.Writes, table.Write{Key: PrefixRun + key, Delete: true})
		}
		return add(PrefixJob+key, jobRecord{Job: brief, Terms: j.terms, State: j.state, Ended: j.finished.UnixMilli()})
	}
	if !j.stored {
		return add(PrefixJob+key, jobRecord{Job: j.Job, Terms: j.terms})
	}
	j.written = true
	return add(PrefixRun+key, j.progress())
}

func (j *job) progress() progress {
	p := progress{Opened: j.opened, Closed: j.closed}
	for _, s := range j.bundles {
		e := stepProgress{Round: s.round, Step: s.step}
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done {
				if e.Done == nil {
					e.Done = make([]byte, (len(s.tasks)+7)/8)
				}
				e.Done[i/8] |= 1 << (i % 8)
				continue
			}
			if len(t.failed) > 0 {
				if e.Failed == nil {
					e.Failed = map[int][]int64{}
				}
				e.Failed[i] = t.failed
			}
			if t.saved != "" {
				if e.Saved == nil {
					e.Saved = map[int]string{}
				}
				e.Saved[i] = t.saved
			}
		}
		p.Steps = append(p.Steps, e)
	}
	return p
}

// Committed records that the store holds a batch.
func (b *Scheduler) Committed(c Batch) {
	for id, version := range c.jobs {
		j, ok := b.jobs[id]
		if !ok {
			continue
		}
		j.shown = c.states[id]
		j.committed = version
		first := !j.stored
		j.stored = true
		if j.version == version {
			delete(b.dirty, id)
		}
		if first {
			for _, s := range j.bundles {
				b.enqueue(s)
			}
		}
	}
	for id, used := range c.used {
		w, ok := b.workers[id]
		if used != (ok && w.used) {
			// It changed meanwhile; the next batch holds the present state.
			continue
		}
		if used {
			w.usedStored = true
		}
		delete(b.usedDirty, id)
	}
	for id, n := range c.acked {
		if w, ok := b.workers[id]; ok && w.Incarnation == c.lives[id] {
			w.acked = max(w.acked, n)
		}
	}
}

// Restore takes in everything that a former holder of the seat stored. Records that can't be read are logged and left.
func (b *Scheduler) Restore(items []table.Item) {
	runs := map[string]progress{}
	for _, i := range items {
		switch {
		case strings.HasPrefix(i.Key, PrefixJob):
			b.loadJob(i)
		case strings.HasPrefix(i.Key, PrefixRun):
			var p progress
			if err := cbor.Unmarshal(i.Value, &p); err != nil {
				b.log.Error("engine: progress can't be read", zap.String("key", i.Key), zap.Error(err))
				continue
			}
			runs[strings.TrimPrefix(i.Key, PrefixRun)] = p
		case strings.HasPrefix(i.Key, PrefixWorker):
			b.loadWorker(i)
		}
	}
	for _, j := range b.jobs {
		if j.state.Final() {
			continue
		}
		if p, ok := runs[string(j.ID)]; ok {
			j.restore(b, p)
		} else {
			b.open(j)
		}
		j.deadline = b.objective(j)
		for _, s := range j.bundles {
			b.enqueue(s)
		}
	}
	b.priorUntil = time.Now().Add(b.options.Authority).
		Add(time.Duration(float64(b.options.Lease) / (1 - clockDrift))).Add(leaseMargin)
}

func (b *Scheduler) loadJob(i table.Item) {
	var r jobRecord
	err := cbor.Unmarshal(i.Value, &r)
	if err == nil {
		err = r.Validate()
	}
	if err != nil {
		b.log.Error("engine: job can't be read", zap.String("key", i.Key), zap.Error(err))
		return
	}
	j := &job{Job: r.Job, terms: r.Terms, state: work.Pending, shown: work.Pending, stored: true, loaded: true,
		version: firstVersion, committed: firstVersion, bundles: map[bundleKey]*bundle{}}
	if r.State.Final() {
		j.state, j.shown = r.State, r.State
		j.finished = time.UnixMilli(r.Ended)
	}
	b.jobs[j.ID] = j
}

func (b *Scheduler) loadWorker(i table.Item) {
	var r usedRecord
	if err := cbor.Unmarshal(i.Value, &r); err != nil {
		b.log.Error("engine: worker can't be read", zap.String("key", i.Key), zap.Error(err))
		return
	}
	id := work.WorkerID(strings.TrimPrefix(i.Key, PrefixWorker))
	w := &worker{Worker: work.Worker{ID: id, Pool: r.Pool, Address: r.Address, Zone: r.Zone, Machine: r.Machine,
		Incarnation: r.Born},
		runs: map[work.RunKey]*run{}, used: true, usedStored: true}
	b.workers[id] = w
	b.prior[id] = w
}

// restore rebuilds the open rounds of a job.
func (j *job) restore(b *Scheduler, p progress) {
	j.written = true
	j.closed = p.Closed
	open := map[int]bool{}
	for _, e := range p.Steps {
		open[e.Round] = true
	}
	rounds := make([]int, 0, len(open))
	for r := range open {
		rounds = append(rounds, r)
	}
	sort.Ints(rounds)
	for _, r := range rounds {
		j.opened = r
		b.open(j)
	}
	j.opened = p.Opened
	for _, e := range p.Steps {
		s, ok := j.bundles[bundleKey{e.Round, e.Step}]
		if !ok {
			continue
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			if i/8 < len(e.Done) && e.Done[i/8]&(1<<(i%8)) != 0 {
				t.done = true
				s.undone--
				s.waiting--
				j.started = true
			}
			t.failed = e.Failed[i]
			t.saved = e.Saved[i]
			for _, n := range t.failed {
				t.last = max(t.last, n)
			}
		}
	}
}

// Acknowledged returns the workers whose ends a batch allows to acknowledge.
func (c Batch) Acknowledged() []work.WorkerID {
	ids := make([]work.WorkerID, 0, len(c.acked))
	for id := range c.acked {
		ids = append(ids, id)
	}
	return ids
}
