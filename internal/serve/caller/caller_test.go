package caller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/serve/caller"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
)

// fakeTasks rejects with err if it is set, and otherwise answers with a description of the job.
type fakeTasks struct {
	err error
	// started receives a value when a submission with the key "wait" begins, ended the error of its context.
	started chan struct{}
	ended   chan error
}

func (f *fakeTasks) Submit(ctx context.Context, j runner.Job) (runner.Answer, error) {
	if j.Key == "wait" {
		f.started <- struct{}{}
		<-ctx.Done()
		f.ended <- ctx.Err()
	}
	if f.err != nil {
		return runner.Answer{}, f.err
	}
	body := fmt.Sprintf("team=%s queue=%s key=%s once=%t urgent=%t slots=%d timeout=%s input=%d", j.Team, j.Queue,
		j.Key, j.Once, j.Urgent, j.Slots, j.Timeout, len(j.Input))
	return runner.Answer{ID: "t1", Body: []byte(body)}, nil
}

func (f *fakeTasks) SubmitAsync(context.Context, runner.Job) (string, error) { return "t2", f.err }

func (f *fakeTasks) Get(_ context.Context, t fleet.TeamName, id string, wait time.Duration) (runner.Progress, error) {
	switch {
	case t != "blue":
		return runner.Progress{}, reject.New(reject.KindTask, reject.WorkUnknown, "unknown task %q", id)
	case id == "rejected":
		return runner.Progress{Phase: runner.PhaseRejected, Rejection: reject.New(reject.KindFailed, reject.WorkRun, "failed")}, nil
	case id == "done":
		return runner.Progress{Phase: runner.PhaseDone, Answer: runner.Answer{ID: id, Body: []byte("result")}}, nil
	}
	return runner.Progress{ID: id, Phase: runner.PhaseRunning}, nil
}

func (f *fakeTasks) Cancel(t fleet.TeamName, id string) error {
	_, err := f.Get(context.Background(), t, id, 0)
	return err
}

type fakeViews struct {
	view  fleet.View
	stale bool
}

func (f *fakeViews) View() fleet.View { return f.view }

func (f *fakeViews) Fresh() error {
	if f.stale {
		return reject.New(reject.KindStale, reject.WorkNotRun, "the view is stale").WithRetryAfter(2 * time.Second)
	}
	return nil
}

func key(id, secret string) fleet.Key {
	sum := sha256.Sum256([]byte("salt" + secret))
	return fleet.Key{ID: id, Role: fleet.RoleSubmit, Salt: hex.EncodeToString([]byte("salt")), Hash: hex.EncodeToString(sum[:])}
}

func newViews() *fakeViews {
	return &fakeViews{view: fleet.View{}.WithRevision(1).WithDocument(fleet.Document{
		Limits: fleet.LimitsSection{Body: 10},
		Queues: map[fleet.QueueName]fleet.QueueSection{"rope": {Team: "blue"}, "cake": {Team: "red"}, "open": {Team: "red", Open: true}},
		Keys: map[fleet.TeamName]fleet.KeysSection{"blue": {Keys: []fleet.Key{key("b", "blue_secret")}},
			"red": {Keys: []fleet.Key{key("r", "red_secret")}}},
	})}
}

// TestRequests runs scripts of requests. They guard against replies with a missing or wrong state of the caller's work,
// and against keys that give access to queues or tasks of other teams. No secret may appear in the log.
func TestRequests(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	tasks, views := &fakeTasks{}, newViews()
	h := caller.New(tasks, views, caller.WithLog(zap.New(core))).Handler()
	datadriven.RunTest(t, "testdata/requests.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "refuse":
			tasks.err = nil
			if len(d.CmdArgs) == 2 {
				tasks.err = reject.New(reject.Kind(d.CmdArgs[0].Key), reject.Work(d.CmdArgs[1].Key), "told by the runner").
					WithRetryAfter(1500 * time.Millisecond).WithCause(errors.New("inner cause"))
			}
			return ""
		case "stale":
			views.stale = !d.HasArg("off")
			return ""
		case "withdraw":
			doc := views.view.Document()
			doc.Keys = map[fleet.TeamName]fleet.KeysSection{}
			views.view = views.view.WithDocument(doc).WithRevision(2)
			return ""
		}
		return serveRequest(h, d)
	})
	for _, l := range logs.All() {
		if text := fmt.Sprint(l.Message, l.ContextMap()); strings.Contains(text, "secret") {
			t.Errorf("a secret was logged: %s", text)
		}
	}
}

// serveRequest sends a request "METHOD path" with the headers in the input, where the line "body: n" gives the body
// length.
func serveRequest(h http.Handler, d *datadriven.TestData) string {
	header, size := http.Header{}, 0
	for line := range strings.Lines(d.Input) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "body" {
			_, _ = fmt.Sscan(value, &size)
			continue
		}
		header.Add(name, value)
	}
	q := httptest.NewRequest(strings.ToUpper(d.Cmd), d.CmdArgs[0].Key, bytes.NewReader(make([]byte, size)))
	if d.HasArg("chunked") {
		q.ContentLength = -1
	}
	q.Header = header
	w := httptest.NewRecorder()
	h.ServeHTTP(w, q)
	out := fmt.Sprintf("%d\n", w.Code)
	for _, name := range []string{"Content-Length", "Content-Type", "Location", "Preference-Applied", "Repr-Digest",
		"Retry-After", "Task-Id", "Www-Authenticate"} {
		if v := w.Header().Get(name); v != "" {
			out += name + ": " + v + "\n"
		}
	}
	if b := strings.TrimSpace(w.Body.String()); b != "" {
		out += b + "\n"
	}
	return out
}

// Guards against work that continues after the caller's connection has closed.
func TestDisconnect(t *testing.T) {
	tasks := &fakeTasks{started: make(chan struct{}), ended: make(chan error, 1)}
	s := httptest.NewServer(caller.New(tasks, newViews()).Handler())
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/v1/queues/open/tasks", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Idempotency-Key", "wait")
	go func() { <-tasks.started; cancel() }()
	if p, err := http.DefaultClient.Do(q); err == nil {
		_ = p.Body.Close()
	}
	if err := <-tasks.ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("context ended with %v", err)
	}
}

// Guards against callers that occupy a connection by sending their body slowly.
func TestSlowBody(t *testing.T) {
	s := httptest.NewServer(caller.New(&fakeTasks{}, newViews(), caller.WithBodyTimeout(10*time.Millisecond)).Handler())
	defer s.Close()
	r, w := io.Pipe()
	defer func() { _ = w.Close() }()
	go func() { _, _ = w.Write([]byte("x")) }() // and nothing more
	p, err := http.Post(s.URL+"/v1/queues/open/tasks", "", r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	b, _ := io.ReadAll(p.Body)
	if p.StatusCode != http.StatusBadRequest || !slices.Contains(strings.Split(string(b), ","), `"work":"not-run"}`) {
		t.Fatalf("status %d: %s", p.StatusCode, b)
	}
}

// Guards against request bodies that use unbounded memory, and against memory that stays counted after its request has
// ended.
func TestMemory(t *testing.T) {
	tasks := &fakeTasks{started: make(chan struct{}), ended: make(chan error)}
	s := httptest.NewServer(caller.New(tasks, newViews(), caller.WithMemory(admit.NewMemory(15))).Handler())
	defer s.Close()
	submit := func(ctx context.Context, key string) (*http.Response, error) {
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/v1/queues/open/tasks", strings.NewReader("0123456789"))
		if err != nil {
			return nil, err
		}
		q.Header.Set("Idempotency-Key", key)
		return http.DefaultClient.Do(q)
	}
	status := func() (int, string) {
		p, err := submit(context.Background(), "k")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = p.Body.Close() }()
		b, _ := io.ReadAll(p.Body)
		return p.StatusCode, p.Header.Get("Retry-After") + " " + string(b)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if p, err := submit(ctx, "wait"); err == nil {
			_ = p.Body.Close()
		}
	}()
	<-tasks.started
	if code, text := status(); code != http.StatusTooManyRequests || !strings.HasPrefix(text, "1 ") ||
		!strings.Contains(text, `"kind":"full","work":"not-run"`) {
		t.Errorf("status %d: %s", code, text)
	}
	cancel()
	if err := <-tasks.ended; !errors.Is(err, context.Canceled) {
		t.Errorf("context ended with %v", err)
	}
	for code, text := status(); code != http.StatusOK; code, text = status() {
		if code != http.StatusTooManyRequests {
			t.Fatalf("status %d: %s", code, text)
		}
	}
}
