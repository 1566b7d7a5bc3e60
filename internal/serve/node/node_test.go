package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven"
	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/lab/worker"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// deployment is a fake platform with entry instances, all in this process and on loopback.
type deployment struct {
	t        *testing.T
	services map[store.Service]string
	events   *eventLog
	nodes    []*runningNode
}

// eventLog records the workers' events and sends the keys of started tasks to startedKeys.
type eventLog struct {
	record.Log[record.Journal]
	startedKeys chan string
}

// Write implements record.Sink.
func (l *eventLog) Write(r record.Journal) {
	l.Log.Write(r)
	if r.Event == record.Started && r.Key != "" {
		l.startedKeys <- r.Key
	}
}

type runningNode struct {
	*Node
	stop context.CancelFunc
	done chan error
}

func deploy(t *testing.T, entries int, change func(*Settings)) *deployment {
	t.Helper()
	d := &deployment{t: t, services: map[store.Service]string{}, events: &eventLog{startedKeys: make(chan string, 100)}}
	s := store.New()
	for _, v := range store.Services() {
		p, err := s.Listen(v, "127.0.0.1:0")
		d.must(err)
		t.Cleanup(p.Refuse)
		d.services[v] = "http://" + p.Address()
	}
	for i, z := range []fleet.AvailabilityZone{"a", "b", "c"} {
		w := worker.New(roster.Listing{ID: fleet.InstanceID(fmt.Sprintf("w%d", i)), Zone: z, Rack: "r"}, d.events)
		p, err := w.Listen("127.0.0.1:0")
		d.must(err)
		t.Cleanup(p.Refuse)
		s.Put(w.Listing())
	}
	for i := range entries {
		d.start(fmt.Sprintf("e%d", i), change)
	}
	for _, n := range d.nodes {
		d.awaitReady(n)
	}
	return d
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) start(name string, change func(*Settings)) {
	d.t.Helper()
	s := &Settings{Name: name, Zone: "a", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Table: d.services[store.Table], Object: d.services[store.Object], Roster: d.services[store.Roster],
		PeerToken: "peers", AdminToken: "admin", Document: "testdata/document.yaml", BodyTimeout: "30s",
		BalancerPause: "0s", LogLevel: "info"}
	if change != nil {
		change(s)
	}
	d.must(check(s))
	n, err := New(s, zap.NewNop())
	d.must(err)
	ctx, stop := context.WithCancel(context.Background())
	x := &runningNode{Node: n, stop: stop, done: make(chan error, 1)}
	go func() { x.done <- n.Run(ctx) }()
	d.nodes = append(d.nodes, x)
	d.t.Cleanup(func() { stop(); d.must(<-x.done); x.done <- nil })
}

// awaitReady waits until an entry instance is registered and its view lists workers in the pool.
func (d *deployment) awaitReady(n *runningNode) {
	for {
		changed := n.replica.Changes()
		d.must(n.replica.Await(context.Background()))
		if n.registrar.Registered() && len(n.replica.View().Pool("main")) > 0 {
			return
		}
		<-changed
	}
}

func (d *deployment) client(scheme string, options ...yuccahaven.Option) *yuccahaven.Client {
	var endpoints []string
	for _, n := range d.nodes {
		endpoints = append(endpoints, scheme+"://"+n.Address())
	}
	c, err := yuccahaven.NewClient(endpoints, options...)
	d.must(err)
	return c
}

func (d *deployment) starts(key string) int {
	n := 0
	for _, r := range d.events.Records() {
		if r.Event == record.Started && r.Key == key {
			n++
		}
	}
	return n
}

// Guards against a failure at any stage of a request, from the client to the worker, and against a keyed request that
// runs more than once when it is submitted at the same time to all entry instances.
func TestWholePath(t *testing.T) {
	d := deploy(t, 3, nil)
	c := d.client("http")
	in := input.Encode(input.Header{Size: 100_000}, []byte("x"))
	for range 6 {
		r, err := c.Submit(context.Background(), yuccahaven.Job{Queue: "open", Input: in})
		d.must(err)
		if !bytes.Equal(r.Body, input.Answer(in)) {
			t.Fatalf("wrong answer of %d bytes", len(r.Body))
		}
	}
	failed := make(chan error)
	for range 6 {
		go func() {
			_, err := c.Submit(context.Background(), yuccahaven.Job{Queue: "open", Input: in, Key: "k", Once: true})
			failed <- err
		}()
	}
	for range 6 {
		d.must(<-failed)
	}
	if n := d.starts("k"); n != 1 {
		t.Fatalf("task started %d times, want 1", n)
	}
}

// Guards against a shutdown that aborts a running request, accepts new ones, or leaves the instance listed as a member.
func TestShutdown(t *testing.T) {
	d := deploy(t, 2, nil)
	leaving, staying := d.nodes[0], d.nodes[1]
	c, err := yuccahaven.NewClient([]string{"http://" + leaving.Address()}, yuccahaven.WithTries(1))
	d.must(err)
	running := make(chan error, 1)
	go func() {
		_, err := c.Submit(context.Background(), yuccahaven.Job{Queue: "open", Key: "k", Once: true,
			Input: input.Encode(input.Header{Run: 1000}, nil)})
		running <- err
	}()
	<-d.events.startedKeys
	leaving.stop()
	for err == nil {
		_, err = c.Submit(context.Background(), yuccahaven.Job{Queue: "open"})
	}
	var rejection *yuccahaven.Error
	if !errors.As(err, &rejection) || rejection.Kind != yuccahaven.KindStopping ||
		rejection.Work != yuccahaven.WorkNotRun {
		t.Fatalf("request during shutdown: %v", err)
	}
	d.must(<-running)
	d.must(<-leaving.done)
	leaving.done <- nil
	if _, listed := staying.replica.View().Member(leaving.registrar.Self().ID); listed {
		t.Fatal("still a member after the shutdown")
	}
}

// Guards against admin endpoints that are not mounted or answer without a credential.
func TestOperators(t *testing.T) {
	d := deploy(t, 1, nil)
	for _, c := range []struct {
		path, token string
		status      int
	}{
		{"/healthz", "", http.StatusOK},
		{"/readyz", "", http.StatusOK},
		{"/metrics", "", http.StatusOK},
		{"/v1/status", "", http.StatusUnauthorized},
		{"/v1/status", "admin", http.StatusOK},
		{"/v1/audit", "admin", http.StatusOK},
	} {
		q, err := http.NewRequest(http.MethodGet, "http://"+d.nodes[0].Address()+c.path, strings.NewReader(""))
		d.must(err)
		q.Header.Set("Authorization", "Bearer "+c.token)
		p, err := http.DefaultClient.Do(q)
		d.must(err)
		_ = p.Body.Close()
		if p.StatusCode != c.status {
			t.Errorf("%s with %q: status %d, want %d", c.path, c.token, p.StatusCode, c.status)
		}
	}
}

// Guards against several entry instances each writing the seed document at startup: it must be written once, and never
// over another document.
func TestSeedOnce(t *testing.T) {
	d := deploy(t, 3, nil)
	var seeds []string
	records, err := d.nodes[0].replica.Audit(context.Background(), 0, 1000)
	d.must(err)
	for _, r := range records {
		if r.Author == seedAuthor {
			seeds = append(seeds, fmt.Sprint(r.Revision))
		}
	}
	if len(seeds) != 1 {
		t.Fatalf("document written at revisions %v, want one", seeds)
	}
}

// Guards against an entry instance that keeps its work after it was removed from the members, or that does not register
// and serve again.
func TestRemoved(t *testing.T) {
	d := deploy(t, 3, nil)
	removed, other := d.nodes[0], d.nodes[1]
	c, err := yuccahaven.NewClient([]string{"http://" + removed.Address()}, yuccahaven.WithTries(1))
	d.must(err)
	dropped := make(chan error, 1)
	go func() {
		_, err := c.Submit(context.Background(), yuccahaven.Job{Queue: "open", Key: "k", Once: true,
			Input: input.Encode(input.Header{Run: 60_000}, nil)})
		dropped <- err
	}()
	<-d.events.startedKeys
	id := removed.registrar.Self().ID
	_, err = other.replica.Edit(context.Background(), "test", func(fleet.View) ([]fleet.Item, error) {
		return []fleet.Item{view.MemberRemoval(id)}, nil
	})
	d.must(err)
	var rejection *yuccahaven.Error
	if err := <-dropped; !errors.As(err, &rejection) || rejection.Kind != yuccahaven.KindStale ||
		rejection.Work == yuccahaven.WorkNotRun {
		t.Errorf("running request: %v", err)
	}
	for removed.registrar.Self().ID == id || !removed.registrar.Registered() {
		<-removed.replica.Changes()
	}
	for again := true; again; {
		_, err = c.Submit(context.Background(), yuccahaven.Job{Queue: "open"})
		again = errors.As(err, &rejection) && rejection.Kind == yuccahaven.KindStale
	}
	d.must(err)
	if n := d.starts("k"); n != 1 {
		t.Errorf("the dropped request was started %d times", n)
	}
}
