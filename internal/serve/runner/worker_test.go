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

// fakeWorkers are the workers of a scripted cluster. The input of a task is "<name> <run time> [fail]".
type fakeWorkers struct {
	mu           *sync.Mutex
	disconnected *atomic.Bool // the calling entry instance was killed
	byAddress    map[string]*fakeWorker
	logf         func(format string, args ...any)
}

type fakeWorker struct {
	boot         string
	unresponsive bool
	losesReplies bool // requests take effect, but no reply arrives
	// faults counts by operation the replies to lose, with prefix "drop-" the requests to lose, and under "damage" the
	// results to damage.
	faults       map[string]int
	busy         bool
	slowClock    bool // so slow that no reservation expires in time
	tasks        map[fleet.TaskID]*fakeTask
	startDelay   time.Duration // until a start arrives
	reserveDelay time.Duration // until the reply to a reservation
}

type fakeTask struct {
	state     worker.TaskState
	name      string
	input     string
	expires   time.Time // of the lease or reservation
	ends      time.Time
	startedAt time.Time
	done      chan struct{}
}

// beginCall finds the worker for one call and says whether the reply is to be lost. Without an error it leaves mu
// locked for endCall.
func (f *fakeWorkers) beginCall(ctx context.Context, address, op string) (w *fakeWorker, lose bool, err error) {
	f.mu.Lock()
	w, ok := f.byAddress[address]
	unreachable := ok && (w.unresponsive || w.takeFault("drop-"+op)) || f.disconnected.Load()
	f.mu.Unlock()
	if !ok {
		return nil, false, worker.ErrRefused
	}
	if unreachable {
		<-ctx.Done()
		return nil, false, worker.ErrNoReply
	}
	f.mu.Lock()
	w.advance(f.logf)
	return w, w.losesReplies || w.takeFault(op), nil
}

// endCall unlocks the workers and waits for the end of the call if its reply is to be lost.
func (f *fakeWorkers) endCall(ctx context.Context, lose bool) error {
	f.mu.Unlock()
	if lose {
		<-ctx.Done()
		return worker.ErrNoReply
	}
	return nil
}

// takeFault reports whether a call has a fault, and counts it as used.
func (w *fakeWorker) takeFault(op string) bool {
	if w.faults[op] == 0 {
		return false
	}
	w.faults[op]--
	return true
}

// advance expires reservations and leases and ends tasks up to the current time.
func (w *fakeWorker) advance(logf func(string, ...any)) {
	now := time.Now()
	for id, t := range w.tasks {
		switch {
		case t.state == worker.Reserved && !w.slowClock && !now.Before(t.expires):
			delete(w.tasks, id)
		case t.state == worker.Running && !t.ends.After(t.expires) && !now.Before(t.ends):
			w.end(t, worker.Done)
			if strings.HasSuffix(t.input, "fail") {
				t.state = worker.Failed
			}
			logf("worker: %s %s", t.name, t.state)
		case t.state == worker.Running && !now.Before(t.expires):
			w.end(t, worker.Stopped)
			logf("worker: %s lapsed", t.name)
		}
	}
}

func (w *fakeWorker) end(t *fakeTask, s worker.TaskState) {
	t.state = s
	close(t.done)
}

func (f *fakeWorkers) Reserve(ctx context.Context, address string, r worker.Reservation) error {
	w, lose, err := f.beginCall(ctx, address, "reserve")
	if err != nil {
		return err
	}
	t, known := w.tasks[r.Task]
	switch {
	case w.busy:
		err = worker.ErrBusy
	case known && t.state == worker.Fenced:
		err = worker.ErrFenced
	case !known:
		w.tasks[r.Task] = &fakeTask{state: worker.Reserved, expires: time.Now().Add(r.TTL), done: make(chan struct{})}
	}
	slow := w.reserveDelay
	if lost := f.endCall(ctx, lose); lost != nil {
		return lost
	}
	pause(ctx, slow)
	return err
}

func (f *fakeWorkers) Start(ctx context.Context, address string, s worker.Start) error {
	f.mu.Lock()
	delay := f.byAddress[address].startDelay
	f.mu.Unlock()
	if delay > 0 {
		// A delayed start still arrives after the call of its sender has timed out.
		go func() { time.Sleep(delay); _ = f.startNow(context.Background(), address, s) }()
		<-ctx.Done()
		return worker.ErrNoReply
	}
	return f.startNow(ctx, address, s)
}

func (f *fakeWorkers) startNow(ctx context.Context, address string, s worker.Start) error {
	w, lose, err := f.beginCall(ctx, address, "start")
	if err != nil {
		return err
	}
	t, known := w.tasks[s.Task]
	switch {
	case !known:
		err = worker.ErrReservationExpired
	case t.state == worker.Fenced:
		err = worker.ErrFenced
	case t.state == worker.Reserved:
		t.input, t.state, t.startedAt = string(s.Input), worker.Running, time.Now()
		var run string
		_, _ = fmt.Sscan(t.input, &t.name, &run)
		d, _ := time.ParseDuration(run)
		if strings.HasPrefix(string(s.Checkpoint), "at ") {
			past, _ := time.ParseDuration(string(s.Checkpoint[3:]))
			d -= past
		}
		t.expires, t.ends = time.Now().Add(s.Lease), time.Now().Add(d)
		f.logf("worker: %s started at %s", t.name, address)
	}
	if lost := f.endCall(ctx, lose); lost != nil {
		return lost
	}
	return err
}

func (f *fakeWorkers) Await(
	ctx context.Context, address string, id fleet.TaskID, wait time.Duration,
) (worker.Status, error) {
	for end := time.Now().Add(wait); ; {
		w, lose, err := f.beginCall(ctx, address, "await")
		if err != nil {
			return worker.Status{}, err
		}
		st, err := w.status(id)
		if lost := f.endCall(ctx, lose); lost != nil {
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

func (w *fakeWorker) status(id fleet.TaskID) (worker.Status, error) {
	t, ok := w.tasks[id]
	if !ok {
		return worker.Status{}, worker.ErrUnknown
	}
	answer := []byte("answer to " + t.name)
	return worker.Status{Task: id, State: t.state, Length: int64(len(answer)), Digest: digestOf(answer)}, nil
}

func (f *fakeWorkers) Result(ctx context.Context, address string, id fleet.TaskID) ([]byte, error) {
	w, lose, err := f.beginCall(ctx, address, "result")
	if err != nil {
		return nil, err
	}
	t, ok := w.tasks[id]
	damaged := w.takeFault("damage")
	if lost := f.endCall(ctx, lose); lost != nil {
		return nil, lost
	}
	switch {
	case !ok:
		return nil, worker.ErrUnknown
	case damaged:
		f.logf("worker: damaged result sent")
		return []byte("answer to"), nil
	}
	return []byte("answer to " + t.name), nil
}

func (f *fakeWorkers) Renew(
	ctx context.Context, address string, lease time.Duration, ids []fleet.TaskID,
) ([]worker.Status, error) {
	w, lose, err := f.beginCall(ctx, address, "renew")
	if err != nil {
		return nil, err
	}
	for _, id := range ids {
		if t, ok := w.tasks[id]; ok && t.state == worker.Running {
			t.expires = time.Now().Add(lease)
		}
	}
	return nil, f.endCall(ctx, lose)
}

func (f *fakeWorkers) Stop(
	ctx context.Context, address string, id fleet.TaskID, checkpoint bool,
) (worker.Status, error) {
	w, lose, err := f.beginCall(ctx, address, "stop")
	if err != nil {
		return worker.Status{}, err
	}
	t, ok := w.tasks[id]
	var at string
	switch {
	case !ok:
		w.tasks[id] = &fakeTask{state: worker.Fenced, done: make(chan struct{})}
	case t.state == worker.Reserved:
		t.state = worker.Fenced
	case t.state == worker.Running:
		at = "at " + time.Since(t.startedAt).String()
		w.end(t, worker.Stopped)
		f.logf("worker: %s stopped", t.name)
	}
	st, _ := w.status(id)
	if checkpoint {
		st.Checkpoint = []byte(at)
	}
	return st, f.endCall(ctx, lose)
}

func (f *fakeWorkers) Acknowledge(ctx context.Context, address string, id fleet.TaskID) error {
	w, lose, err := f.beginCall(ctx, address, "acknowledge")
	if err != nil {
		return err
	}
	delete(w.tasks, id)
	return f.endCall(ctx, lose)
}

func (f *fakeWorkers) Report(ctx context.Context, address string) (worker.Report, error) {
	w, lose, err := f.beginCall(ctx, address, "report")
	if err != nil {
		return worker.Report{}, err
	}
	return worker.Report{Boot: w.boot}, f.endCall(ctx, lose)
}
