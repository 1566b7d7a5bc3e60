package runner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// fakeWorkers are the workers of a scripted fleet. A task's input is "<name> <run time> [fail]".
type fakeWorkers struct {
	mu      *sync.Mutex
	cut     *atomic.Bool           // the entry instance that calls has died
	nodes   map[string]*fakeWorker // by address
	journal func(format string, args ...any)
}

type fakeWorker struct {
	boot   string
	silent bool
	hung   bool           // answers take effect, but no reply ever arrives
	faults map[string]int // operation: replies to lose, "drop-" for requests, "damage" for results
	busy   bool
	behind bool // its clock is so slow that no reservation lapses in time
	tasks  map[fleet.TaskID]*fakeTask
	delay  time.Duration // of starts on their way
	slow   time.Duration // of reservations
}

type fakeTask struct {
	state worker.TaskState
	name  string
	input string
	until time.Time // lease or reservation
	ends  time.Time
	began time.Time
	done  chan struct{}
}

// enter finds a worker for one call and says whether the reply is to be lost.
func (f *fakeWorkers) enter(ctx context.Context, address, op string) (n *fakeWorker, lose bool, err error) {
	f.mu.Lock()
	n, ok := f.nodes[address]
	silent := ok && (n.silent || n.take("drop-"+op)) || f.cut.Load()
	f.mu.Unlock()
	if !ok {
		return nil, false, worker.ErrRefused
	}
	if silent {
		<-ctx.Done()
		return nil, false, worker.ErrNoReply
	}
	f.mu.Lock()
	n.tick(f.journal)
	return n, n.hung || n.take(op), nil
}

func (f *fakeWorkers) leave(ctx context.Context, lose bool) error {
	f.mu.Unlock()
	if lose {
		<-ctx.Done()
		return worker.ErrNoReply
	}
	return nil
}

func (n *fakeWorker) take(op string) bool {
	if n.faults[op] == 0 {
		return false
	}
	n.faults[op]--
	return true
}

// tick lets reservations and leases lapse and tasks end, as far as the clock has come.
func (n *fakeWorker) tick(journal func(string, ...any)) {
	now := time.Now()
	for id, t := range n.tasks {
		switch {
		case t.state == worker.Reserved && !n.behind && !now.Before(t.until):
			delete(n.tasks, id)
		case t.state == worker.Running && !t.ends.After(t.until) && !now.Before(t.ends):
			n.end(t, worker.Done)
			if strings.HasSuffix(t.input, "fail") {
				t.state = worker.Failed
			}
			journal("worker: %s %s", t.name, t.state)
		case t.state == worker.Running && !now.Before(t.until):
			n.end(t, worker.Stopped)
			journal("worker: %s lapsed", t.name)
		}
	}
}

func (n *fakeWorker) end(t *fakeTask, s worker.TaskState) {
	t.state = s
	close(t.done)
}

func (f *fakeWorkers) Reserve(ctx context.Context, address string, r worker.Reservation) error {
	n, lose, err := f.enter(ctx, address, "reserve")
	if err != nil {
		return err
	}
	t, known := n.tasks[r.Task]
	switch {
	case n.busy:
		err = worker.ErrBusy
	case known && t.state == worker.Fenced:
		err = worker.ErrFenced
	case !known:
		n.tasks[r.Task] = &fakeTask{state: worker.Reserved, until: time.Now().Add(r.TTL), done: make(chan struct{})}
	}
	slow := n.slow
	if lost := f.leave(ctx, lose); lost != nil {
		return lost
	}
	pause(ctx, slow)
	return err
}

func (f *fakeWorkers) Start(ctx context.Context, address string, s worker.Start) error {
	f.mu.Lock()
	delay := f.nodes[address].delay
	f.mu.Unlock()
	if delay > 0 {
		// A start that is held up on its way still arrives after its sender has given up.
		go func() { time.Sleep(delay); _ = f.startNow(context.Background(), address, s) }()
		<-ctx.Done()
		return worker.ErrNoReply
	}
	return f.startNow(ctx, address, s)
}

func (f *fakeWorkers) startNow(ctx context.Context, address string, s worker.Start) error {
	n, lose, err := f.enter(ctx, address, "start")
	if err != nil {
		return err
	}
	t, known := n.tasks[s.Task]
	switch {
	case !known:
		err = worker.ErrReservationExpired
	case t.state == worker.Fenced:
		err = worker.ErrFenced
	case t.state == worker.Reserved:
		t.input, t.state, t.began = string(s.Input), worker.Running, time.Now()
		var run string
		_, _ = fmt.Sscan(t.input, &t.name, &run)
		d, _ := time.ParseDuration(run)
		if strings.HasPrefix(string(s.Checkpoint), "at ") {
			past, _ := time.ParseDuration(string(s.Checkpoint[3:]))
			d -= past
		}
		t.until, t.ends = time.Now().Add(s.Lease), time.Now().Add(d)
		f.journal("worker: %s started at %s", t.name, address)
	}
	if lost := f.leave(ctx, lose); lost != nil {
		return lost
	}
	return err
}

func (f *fakeWorkers) Await(ctx context.Context, address string, id fleet.TaskID, wait time.Duration) (worker.Status, error) {
	for end := time.Now().Add(wait); ; {
		n, lose, err := f.enter(ctx, address, "await")
		if err != nil {
			return worker.Status{}, err
		}
		st, err := n.status(id)
		if lost := f.leave(ctx, lose); lost != nil {
			return worker.Status{}, lost
		}
		if err != nil || st.State.Ended() || !time.Now().Before(end) {
			return st, err
		}
		select {
		case <-ctx.Done():
			return worker.Status{}, worker.ErrNoReply
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (n *fakeWorker) status(id fleet.TaskID) (worker.Status, error) {
	t, ok := n.tasks[id]
	if !ok {
		return worker.Status{}, worker.ErrUnknown
	}
	answer := []byte("answer to " + t.name)
	return worker.Status{Task: id, State: t.state, Length: int64(len(answer)), Digest: digestOf(answer)}, nil
}

func (f *fakeWorkers) Result(ctx context.Context, address string, id fleet.TaskID) ([]byte, error) {
	n, lose, err := f.enter(ctx, address, "result")
	if err != nil {
		return nil, err
	}
	t, ok := n.tasks[id]
	damaged := n.take("damage")
	if lost := f.leave(ctx, lose); lost != nil {
		return nil, lost
	}
	switch {
	case !ok:
		return nil, worker.ErrUnknown
	case damaged:
		f.journal("worker: damaged result sent")
		return []byte("answer to"), nil
	}
	return []byte("answer to " + t.name), nil
}

func (f *fakeWorkers) Renew(ctx context.Context, address string, lease time.Duration, ids []fleet.TaskID) ([]worker.Status, error) {
	n, lose, err := f.enter(ctx, address, "renew")
	if err != nil {
		return nil, err
	}
	for _, id := range ids {
		if t, ok := n.tasks[id]; ok && t.state == worker.Running {
			t.until = time.Now().Add(lease)
		}
	}
	return nil, f.leave(ctx, lose)
}

func (f *fakeWorkers) Stop(ctx context.Context, address string, id fleet.TaskID, checkpoint bool) (worker.Status, error) {
	n, lose, err := f.enter(ctx, address, "stop")
	if err != nil {
		return worker.Status{}, err
	}
	t, ok := n.tasks[id]
	var at string
	switch {
	case !ok:
		n.tasks[id] = &fakeTask{state: worker.Fenced, done: make(chan struct{})}
	case t.state == worker.Reserved:
		t.state = worker.Fenced
	case t.state == worker.Running:
		at = "at " + time.Since(t.began).String()
		n.end(t, worker.Stopped)
		f.journal("worker: %s stopped", t.name)
	}
	st, _ := n.status(id)
	if checkpoint {
		st.Checkpoint = []byte(at)
	}
	return st, f.leave(ctx, lose)
}

func (f *fakeWorkers) Acknowledge(ctx context.Context, address string, id fleet.TaskID) error {
	n, lose, err := f.enter(ctx, address, "acknowledge")
	if err != nil {
		return err
	}
	delete(n.tasks, id)
	return f.leave(ctx, lose)
}

func (f *fakeWorkers) Report(ctx context.Context, address string) (worker.Report, error) {
	n, lose, err := f.enter(ctx, address, "report")
	if err != nil {
		return worker.Report{}, err
	}
	return worker.Report{Boot: n.boot}, f.leave(ctx, lose)
}
