package demo

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
)

// Times of the demo; with the default load it ends within 45 s from a built tree.
const (
	DefaultLoad = 20 * time.Second
	readyWithin = 12 * time.Second
	// patience is how long requests may go on after the end of the load.
	patience   = 8 * time.Second
	stopWithin = 6 * time.Second
	probePause = 100 * time.Millisecond
)

// ErrViolations is returned with a result that breaks a guarantee.
var ErrViolations = errors.New("demo: a guarantee was broken")

// ErrIdle is returned with a result that shows nothing: no request was submitted, or no task started
// while the zone was out of service or after its return.
var ErrIdle = errors.New("demo: nothing ran in a part of the demo")

// Settings of a demo.
type Settings struct {
	// Binary is the program of the entry instances; empty builds it.
	Binary string
	// Dir keeps logs and records; empty uses a temporary directory that is removed at the end.
	Dir string
	// Load is the length of the load; the zone leaves after a quarter of it and returns after six tenths.
	Load time.Duration
	// Factor multiplies the load.
	Factor float64
}

type demo struct {
	settings  Settings
	log       *zap.Logger
	platform  *Platform
	processes []*Process
	operator  *operator
	customers []customer
	calls     *record.Log[record.Call]
	absence   absence
	problems  []string
}

// Run runs a demo. It returns ErrViolations with the result if a guarantee was broken.
func Run(ctx context.Context, s Settings, log *zap.Logger) (Result, error) {
	begin := time.Now()
	if s.Dir == "" {
		dir, err := os.MkdirTemp("", "yuccalab")
		if err != nil {
			return Result{}, fmt.Errorf("demo: %w", err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		s.Dir = dir
	}
	d := &demo{
		settings: s, log: log, customers: customers(), calls: &record.Log[record.Call]{},
		absence: absence{zone: zones()[0]},
	}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return Result{}, err
	}
	report, err := d.drive(ctx)
	if err != nil {
		return Result{}, err
	}
	d.stop()
	r := d.result(report)
	r.Seconds = time.Since(begin).Seconds()
	if err := d.save(); err != nil {
		return r, err
	}
	if r.Failed() {
		return r, ErrViolations
	}
	if r.Submitted == 0 || r.Elsewhere == 0 || r.Back == 0 {
		return r, ErrIdle
	}
	return r, nil
}

// start brings up the platform and the entry instances and waits until every queue is served.
func (d *demo) start(ctx context.Context) error {
	var err error
	if d.settings.Binary == "" {
		if d.settings.Binary, err = Build(ctx, d.settings.Dir); err != nil {
			return err
		}
	}
	if d.platform, err = NewPlatform(); err != nil {
		return err
	}
	token := rand.Text()
	if err := d.launch(token); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	d.operator = newOperator(d.urls(), token, d.platform.Edits)
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	t, err := d.operator.put(ctx, "/v1/document", document(d.customers))
	if err != nil {
		return err
	}
	for _, e := range firstEdits(d.customers, t.sent, t.accepted) {
		d.platform.Edits.Write(e)
	}
	d.log.Info("demo: document accepted", zap.Duration("took", t.accepted.Sub(t.sent)))
	return d.awaitQueues(ctx)
}

func (d *demo) launch(adminToken string) error {
	peerToken := rand.Text()
	for n := range entries {
		e := Entry{
			Name: fmt.Sprintf("entry-%d", n+1), Zone: zones()[n%len(zones())],
			Table: d.platform.urls[store.Table], Object: d.platform.urls[store.Object], Roster: d.platform.urls[store.Roster],
			PeerToken: peerToken, AdminToken: adminToken,
		}
		var err, peerErr error
		e.Listen, err = freeAddress()
		e.Peer, peerErr = freeAddress()
		if err := errors.Join(err, peerErr); err != nil {
			return err
		}
		p, err := Launch(d.settings.Binary, d.settings.Dir, e)
		if err != nil {
			return err
		}
		d.processes = append(d.processes, p)
		d.platform.Store.Put(listEntry(e))
	}
	return nil
}

func (d *demo) urls() []string {
	var urls []string
	for _, p := range d.processes {
		urls = append(urls, p.Entry.URL())
	}
	return urls
}

func (d *demo) awaitReady(ctx context.Context) error {
	for _, p := range d.processes {
		if err := until(ctx, func() error { return d.ready(ctx, p) }); err != nil {
			return fmt.Errorf("demo: %s is not ready: %w", p.Entry.Name, err)
		}
	}
	return nil
}

func (d *demo) ready(ctx context.Context, p *Process) error {
	if ended, err := p.Exited(); ended {
		return fmt.Errorf("%w: %v", errEnded, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Entry.URL()+"/readyz", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// awaitQueues waits until a task of every customer was answered; these requests are not part of the records.
func (d *demo) awaitQueues(ctx context.Context) error {
	c := load.NewCaller(d.urls(), 1, &record.Log[record.Call]{})
	defer c.Close()
	for _, team := range teams(d.customers, 1) {
		n := 0
		err := until(ctx, func() error {
			n++
			id := fmt.Sprintf("probe-%s-%d", team.Name, n)
			o := c.Do(ctx, load.Job{ID: id, Team: team.Name, Queue: team.Queue, Secret: team.Secret, Key: id,
				Timeout: time.Second, Input: input.Encode(input.Header{}, nil)})
			if o.Event != record.Answered {
				return fmt.Errorf("a task ended with %q (%s)", o.Event, o.Kind)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("demo: queue %s is not served: %w", team.Queue, err)
		}
	}
	return nil
}

var errEnded = errors.New("the process has ended")

// until repeats f until it succeeds, the process behind it has ended or the context ends.
func until(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || errors.Is(err, errEnded) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(probePause):
		}
	}
}

// stop shuts every entry instance down at once, as the platform would before a replacement.
func (d *demo) stop() {
	var g sync.WaitGroup
	var mu sync.Mutex
	for _, p := range d.processes {
		g.Go(func() {
			if err := p.Stop(stopWithin); err != nil {
				mu.Lock()
				defer mu.Unlock()
				d.problems = append(d.problems, err.Error())
			}
		})
	}
	g.Wait()
	d.processes = nil
}

// close ends what is still running.
func (d *demo) close() {
	for _, p := range d.processes {
		p.Kill()
	}
	if d.platform != nil {
		d.platform.Close()
	}
}

func (d *demo) result(report load.Report) Result {
	journal := d.platform.Journal.Records()
	r := Result{Load: report, Problems: d.problems, Table: d.platform.Store.Counters(store.Table)}
	r.Summary = audit.Run(audit.Input{Journal: journal, Calls: d.calls.Records(), Edits: d.platform.Edits.Records()})
	r.Connections = d.platform.Peak()
	r.OutMillis = d.absence.out.accepted.Sub(d.absence.out.sent).Milliseconds()
	r.BackMillis = d.absence.back.accepted.Sub(d.absence.back.sent).Milliseconds()
	return r.withStarts(journal, d.absence)
}
