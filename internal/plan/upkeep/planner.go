package upkeep

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

const (
	interval            = 500 * time.Millisecond
	probeTimeout        = 2 * time.Second
	maxConcurrentProbes = 32
	// extraProbes is how many candidates are probed beyond the wave's capacity, so that instances that don't answer
	// or already run the version don't delay the others.
	extraProbes = 4
	author      = "upkeep"
)

// ViewEditor reads and edits the view.
type ViewEditor interface {
	View() fleet.View
	// Fresh returns nil if the view is recent enough to act on.
	Fresh() error
	// Edit stores the items that change returns for the newest view, in one transaction, and returns its revision once it
	// is in force. It may call change several times.
	Edit(ctx context.Context, author string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error)
}

// Prober requests the status report of a worker.
type Prober interface {
	Report(ctx context.Context, address string) (worker.Report, error)
}

// Platform reboots an idle instance with a system version; "" keeps the version.
type Platform interface {
	Reboot(ctx context.Context, id fleet.InstanceID, version string) error
}

// Options are the dependencies of a Planner.
type Options struct {
	Views    ViewEditor
	Prober   Prober
	Platform Platform
	// Leads reports whether this entry instance coordinates a pool. Two planners of one pool are safe but may
	// request a reboot twice.
	Leads func(fleet.PoolName) bool
	// Failed returns the instances known to be unreachable. It may be nil.
	Failed func() []fleet.InstanceID
	Log    *zap.Logger
}

// Planner carries out maintenance in the pools that this entry instance coordinates.
type Planner struct {
	Options
	progress map[fleet.InstanceID]*progress
}

// New returns a planner; Failed and Log may be nil.
func New(o Options) *Planner {
	if o.Failed == nil {
		o.Failed = func() []fleet.InstanceID { return nil }
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Planner{Options: o, progress: map[fleet.InstanceID]*progress{}}
}

// Run maintains pools until the context ends.
func (p *Planner) Run(ctx context.Context) {
	pace.After(ctx, interval, p.pass)
}

// pass runs the due maintenance of every pool. It does nothing without a fresh view, because a stale one may show an
// instance as rebooting that has long been back in service.
func (p *Planner) pass(ctx context.Context) {
	if p.Views.Fresh() != nil {
		return
	}
	v := p.Views.View()
	p.dropFinished(v)
	for _, pool := range v.PoolNames() {
		if p.Leads(pool) {
			p.maintain(ctx, v, pool)
		}
	}
}

// dropFinished deletes the progress of instances that are not under planned work in a pool of this planner.
func (p *Planner) dropFinished(v fleet.View) {
	kept := map[fleet.InstanceID]*progress{}
	for _, pool := range v.PoolNames() {
		if !p.Leads(pool) {
			continue
		}
		for _, m := range v.Pool(pool) {
			if pr, ok := p.progress[m.ID]; ok && isPlanned(m) {
				kept[m.ID] = pr
			}
		}
	}
	p.progress = kept
}

func (p *Planner) maintain(ctx context.Context, v fleet.View, pool fleet.PoolName) {
	now := time.Now()
	capacity := waveCapacity(v, pool, p.progress, now)
	members := p.membersToProbe(v, pool, capacity)
	if len(members) == 0 {
		return
	}
	results := p.probe(ctx, members)
	var actions []action
	for _, m := range v.Pool(pool) {
		if !isPlanned(m) {
			continue
		}
		pr, ok := p.progress[m.ID]
		if !ok {
			pr = &progress{}
			p.progress[m.ID] = pr
		}
		if a := nextAction(v, pool, m, pr, results[m.ID], now); a != nil {
			actions = append(actions, a)
		}
	}
	actions = append(actions, startMaintenance(v, pool, results, capacity, p.Failed())...)
	p.editView(ctx, actions)
	p.requestReboots(ctx, v, actions)
}

// membersToProbe returns the instances to probe: those under planned work and the next candidates.
func (p *Planner) membersToProbe(v fleet.View, pool fleet.PoolName, capacity int) []fleet.PoolMember {
	var members []fleet.PoolMember
	for _, m := range v.Pool(pool) {
		if isPlanned(m) {
			members = append(members, m)
		}
	}
	if capacity == 0 {
		return members
	}
	next := candidates(v, pool)
	return append(members, next[:min(len(next), capacity+extraProbes)]...)
}

func (p *Planner) probe(ctx context.Context, members []fleet.PoolMember) map[fleet.InstanceID]ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	replies := make([]ProbeResult, len(members))
	var g errgroup.Group
	g.SetLimit(maxConcurrentProbes)
	for i, m := range members {
		g.Go(func() error {
			r, err := p.Prober.Report(ctx, m.Address)
			replies[i] = ProbeResult{OK: err == nil && (r.Instance == "" || r.Instance == m.ID), Report: r}
			return nil
		})
	}
	_ = g.Wait()
	results := make(map[fleet.InstanceID]ProbeResult, len(members))
	for i, m := range members {
		results[m.ID] = replies[i]
	}
	return results
}

// editView applies the actions that change the view in one transaction. An action that is rejected, or that conflicts
// with an operator's edit, is decided again in the next pass.
func (p *Planner) editView(ctx context.Context, actions []action) {
	failed := p.Failed()
	var steps []budget.Step
	for _, a := range actions {
		if s := viewStep(a, failed); s != nil {
			steps = append(steps, s)
		}
	}
	if len(steps) == 0 {
		return
	}
	_, err := p.Views.Edit(ctx, author, func(v fleet.View) ([]fleet.Item, error) { return budget.Batch(v, steps...) })
	var rejection *reject.Error
	if err != nil && !(errors.As(err, &rejection) && rejection.Kind == reject.KindBudget) {
		p.Log.Warn("upkeep: view edit failed, retrying in the next pass", zap.Error(err))
	}
}

// viewStep returns the change of the view for an action, or nil if the action doesn't change the view.
func viewStep(a action, failed []fleet.InstanceID) budget.Step {
	switch a := a.(type) {
	case recordVersion:
		return func(v fleet.View) ([]fleet.Item, error) { return budget.RecordVersion(v, a.id, a.version) }
	case drainForReboot:
		return func(v fleet.View) ([]fleet.Item, error) { return budget.DrainForReboot(v, a.id, failed...) }
	case cancelReboot:
		return func(v fleet.View) ([]fleet.Item, error) { return undrain(v, a) }
	case markRebooting:
		return func(v fleet.View) ([]fleet.Item, error) { return budget.Reboot(v, a.id) }
	case activate:
		return func(v fleet.View) ([]fleet.Item, error) { return budget.Activate(v, a.id, a.version) }
	}
	return nil
}

// undrain cancels a reboot unless an operator has drained or moved the instance since it was decided.
func undrain(v fleet.View, c cancelReboot) ([]fleet.Item, error) {
	if m, _ := v.PoolMember(c.pool, c.id); m.State != fleet.InstanceDraining || m.Target != c.pool {
		return nil, nil
	}
	return budget.Undrain(v, c.id)
}

// requestReboots sends the due reboot requests to the platform, while the view is fresh and except for instances that
// it no longer shows as rebooting.
func (p *Planner) requestReboots(ctx context.Context, v fleet.View, actions []action) {
	for _, a := range actions {
		r, ok := a.(requestReboot)
		if !ok || p.Views.Fresh() != nil || !isStillRebooting(p.Views.View(), r.id) {
			continue
		}
		pr := p.progress[r.id]
		if !pr.requestedAt.IsZero() {
			pr.retryInterval = min(2*pr.retryInterval, maxRetryInterval)
		}
		pr.requestedAt = time.Now()
		if r.boot != "" {
			pr.bootBefore = r.boot
		}
		if err := p.Platform.Reboot(ctx, r.id, r.version); err != nil {
			p.Log.Warn("upkeep: reboot request failed, retrying after the retry interval",
				zap.String("instance", string(r.id)), zap.Error(err))
			continue
		}
		p.Log.Info("upkeep: reboot requested", zap.String("instance", string(r.id)), zap.String("version", r.version))
	}
}

func isStillRebooting(v fleet.View, id fleet.InstanceID) bool {
	pool, ok := v.PoolOf(id)
	m, _ := v.PoolMember(pool, id)
	return ok && m.State == fleet.InstanceRebooting
}
