package demo

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Setup describes a deployment.
type Setup struct {
	// Binary is the path of the entry instances' program; if empty, the program is built.
	Binary string
	// Dir is the directory of the program and the logs.
	Dir string
	// Customers get new submit keys if one of them has none.
	Customers []Customer
	// WorkersPerZone is the number of workers in each zone, spread evenly over the customers' pools and the spare pool.
	WorkersPerZone int
}

// Deployment is a fake platform with entry instances that serve every customer's queue.
type Deployment struct {
	Platform  *Platform
	setup     Setup
	log       *zap.Logger
	processes []*Process
	operator  *operator
	customers []Customer
	problems  []string
}

// Deploy starts the platform and the entry instances and waits until every queue is served.
func Deploy(ctx context.Context, s Setup, log *zap.Logger) (*Deployment, error) {
	for _, c := range s.Customers {
		if c.id == "" {
			s.Customers = withSubmitKeys(s.Customers)
			break
		}
	}
	d := &Deployment{setup: s, log: log, customers: s.Customers}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.setup.Binary == "" {
		if d.setup.Binary, err = Build(ctx, d.setup.Dir); err != nil {
			return err
		}
	}
	if d.Platform, err = NewPlatform(d.setup.WorkersPerZone); err != nil {
		return err
	}
	token := rand.Text()
	if err := d.launch(token); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	d.operator = newOperator(d.URLs(), token, d.Platform.Edits)
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	t, err := d.operator.put(ctx, "/v1/document", document(d.customers))
	if err != nil {
		return err
	}
	for _, e := range initialEdits(d.customers, t.sent, t.accepted) {
		d.Platform.Edits.Write(e)
	}
	d.log.Info("demo: document accepted", zap.Duration("took", t.accepted.Sub(t.sent)))
	return d.awaitQueues(ctx)
}

// Processes returns the running entry instances.
func (d *Deployment) Processes() []*Process { return d.processes }

// SetZoneState takes an availability zone out of service or returns it.
func (d *Deployment) SetZoneState(ctx context.Context, z fleet.AvailabilityZone, s fleet.ZoneState) error {
	_, err := d.operator.setZone(ctx, z, s)
	return err
}

// SetSpareMinimum sets the minimum size of the spare pool, below which it lends no instances.
func (d *Deployment) SetSpareMinimum(ctx context.Context, count int) error {
	_, err := d.operator.put(ctx, "/v1/document/sections/pool/"+string(sparePool),
		mustYAML(fleet.PoolSection{Spare: true, Min: count, Quarantine: 20, Wave: 1}))
	return err
}

// Load returns the load of each customer at its own rate.
func (d *Deployment) Load() []load.Team { return teamLoads(d.customers, 1) }

func (d *Deployment) launch(adminToken string) error {
	peerToken := rand.Text()
	for n := range entryCount {
		e := Entry{
			Name: fmt.Sprintf("entry-%d", n+1), Zone: zones()[n%len(zones())],
			Table: d.Platform.urls[store.Table], Object: d.Platform.urls[store.Object], Roster: d.Platform.urls[store.Roster],
			PeerToken: peerToken, AdminToken: adminToken,
		}
		var err, peerErr error
		e.Listen, err = freeAddress()
		e.Peer, peerErr = freeAddress()
		if err := errors.Join(err, peerErr); err != nil {
			return err
		}
		p, err := Launch(d.setup.Binary, d.setup.Dir, e)
		if err != nil {
			return err
		}
		d.processes = append(d.processes, p)
		d.Platform.Store.Put(entryListing(e))
	}
	return nil
}

// URLs returns the base URLs of the entry instances.
func (d *Deployment) URLs() []string {
	var urls []string
	for _, p := range d.processes {
		urls = append(urls, p.Entry.URL())
	}
	return urls
}

func (d *Deployment) awaitReady(ctx context.Context) error {
	for _, p := range d.processes {
		if err := retryUntil(ctx, func() error { return d.ready(ctx, p) }); err != nil {
			return fmt.Errorf("demo: %s is not ready: %w", p.Entry.Name, err)
		}
	}
	return nil
}

func (d *Deployment) ready(ctx context.Context, p *Process) error {
	if exited, err := p.Exited(); exited {
		return fmt.Errorf("%w: %v", errProcessExited, err)
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

// awaitQueues waits until a task of every customer was answered; these requests are not recorded.
func (d *Deployment) awaitQueues(ctx context.Context) error {
	c := load.NewCaller(d.URLs(), 1, &record.Log[record.Call]{})
	defer c.Close()
	for _, team := range teamLoads(d.customers, 1) {
		n := 0
		err := retryUntil(ctx, func() error {
			n++
			id := fmt.Sprintf("probe-%s-%d", team.Name, n)
			o := c.Do(ctx, load.Job{ID: id, Team: team.Name, Queue: team.Queue, Secret: team.Secret, Key: id,
				Timeout: time.Second, Input: input.Encode(input.Header{}, nil)})
			if o.Event != record.Answered {
				return fmt.Errorf("probe task ended with event %q (%s)", o.Event, o.Kind)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("demo: queue %s is not served: %w", team.Queue, err)
		}
	}
	return nil
}

var errProcessExited = errors.New("process exited")

// retryUntil repeats f until it succeeds, its process exits or the context ends.
func retryUntil(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || errors.Is(err, errProcessExited) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(probeInterval):
		}
	}
}

// Stop shuts down all entry instances at the same time, as the platform does before a replacement.
func (d *Deployment) Stop() {
	var g sync.WaitGroup
	var mu sync.Mutex
	for _, p := range d.processes {
		g.Go(func() {
			if err := p.Stop(stopTimeout); err != nil {
				mu.Lock()
				defer mu.Unlock()
				d.problems = append(d.problems, err.Error())
			}
		})
	}
	g.Wait()
	d.processes = nil
}

// Close kills the remaining processes and closes the platform.
func (d *Deployment) Close() {
	for _, p := range d.processes {
		p.Kill()
	}
	if d.Platform != nil {
		d.Platform.Close()
	}
}
