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

// Limits of a planner's own work.
const (
	interval     = 500 * time.Millisecond
	probeTimeout = 2 * time.Second
	probesAtOnce = 32
	// spareProbes is how many more candidates are probed than the wave has room for, so that instances that
	// don't answer or run the version already don't hold up the others.
	spareProbes = 4
	author      = "upkeep"
)

// ViewEditor gives the view and changes it.
type ViewEditor interface {
	View() fleet.View
	Fresh() error
	Edit(ctx context.Context, author string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error)
}

// Prober asks a worker for its report.
type Prober interface {
	Report(ctx context.Context, address string) (worker.Report, error)
}

// Platform reboots an idle instance with a system version; "" keeps the version.
type Platform interface {
	Reboot(ctx context.Context, id fleet.InstanceID, version string) error
}

// Options are the parts that a Planner works with.
type Options struct {
	Views    ViewEditor
	Prober   Prober
	Platform Platform
	// Leads says whether this entry instance coordinates a pool. Two planners of one pool are safe but may
	// request a reboot twice.
	Leads func(fleet.PoolName) bool
	// Failed names the instances known to be unreachable. It may be nil.
	Failed func() []fleet.InstanceID
	Log    *zap.Logger
}

// Planner maintains the pools that this entry instance coordinates.
type Planner struct {
	Options
	notes map[fleet.InstanceID]*note
}

// New returns a planner.
func New(o Options) *Planner {
	if o.Failed == nil {
		o.Failed = func() []fleet.InstanceID { return nil }
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Planner{Options: o, notes: map[fleet.InstanceID]*note{}}
}

// Run maintains pools until the context ends.
func (p *Planner) Run(ctx context.Context) {
	pace.After(ctx, interval, p.pass)
}

// pass does what is due in every pool. Without a fresh view nothing is done, because the view may show an instance
// as rebooting that has long been back in service.
func (p *Planner) pass(ctx context.Context) {
	if p.Views.Fresh() != nil {
		return
	}
	v := p.Views.View()
	p.forget(v)
	for _, pool := range v.PoolNames() {
		if p.Leads(pool) {
			p.maintain(ctx, v, pool)
		}
	}
}

// forget drops the notes of instances that are not under planned work in a pool of this planner.
func (p *Planner) forget(v fleet.View) {
	kept := map[fleet.InstanceID]*note{}
	for _, pool := range v.PoolNames() {
		if !p.Leads(pool) {
			continue
		}
		for _, m := range v.Pool(pool) {
			if n, ok := p.notes[m.ID]; ok && isPlanned(m) {
				kept[m.ID] = n
			}
		}
	}
	p.notes = kept
}

func (p *Planner) maintain(ctx context.Context, v fleet.View, pool fleet.PoolName) {
	now := time.Now()
	room := room(v, pool, p.notes, now)
	probed := p.due(v, pool, room)
	if len(probed) == 0 {
		return
	}
	sights := p.probe(ctx, probed)
	var actions []action
	for _, m := range v.Pool(pool) {
		if !isPlanned(m) {
			continue
		}
		n, ok := p.notes[m.ID]
		if !ok {
			n = &note{}
			p.notes[m.ID] = n
		}
		if a := proceed(v, pool, m, n, sights[m.ID], now); a != nil {
			actions = append(actions, a)
		}
	}
	actions = append(actions, begin(v, pool, sights, room, p.Failed())...)
	p.edit(ctx, actions)
	p.request(ctx, v, actions)
}

// due returns the instances to probe: those under planned work and the next candidates.
func (p *Planner) due(v fleet.View, pool fleet.PoolName, room int) []fleet.PoolMember {
	var due []fleet.PoolMember
	for _, m := range v.Pool(pool) {
		if isPlanned(m) {
			due = append(due, m)
		}
	}
	if room == 0 {
		return due
	}
	next := candidates(v, pool)
	return append(due, next[:min(len(next), room+spareProbes)]...)
}

func (p *Planner) probe(ctx context.Context, members []fleet.PoolMember) map[fleet.InstanceID]ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make([]ProbeResult, len(members))
	var g errgroup.Group
	g.SetLimit(probesAtOnce)
	for i, m := range members {
		g.Go(func() error {
			r, err := p.Prober.Report(ctx, m.Address)
			answers[i] = ProbeResult{OK: err == nil && (r.Instance == "" || r.Instance == m.ID), Report: r}
			return nil
		})
	}
	_ = g.Wait()
	sights := make(map[fleet.InstanceID]ProbeResult, len(members))
	for i, m := range members {
		sights[m.ID] = answers[i]
	}
	return sights
}

// edit writes the actions that change the view in one transaction. What is refused, or lost in a race with an
// operator, is decided again in the next pass.
func (p *Planner) edit(ctx context.Context, actions []action) {
	failed := p.Failed()
	var steps []budget.Step
	for _, a := range actions {
		if s := step(a, failed); s != nil {
			steps = append(steps, s)
		}
	}
	if len(steps) == 0 {
		return
	}
	_, err := p.Views.Edit(ctx, author, func(v fleet.View) ([]fleet.Item, error) { return budget.Batch(v, steps...) })
	var refusal *reject.Error
	if err != nil && !(errors.As(err, &refusal) && refusal.Kind == reject.KindBudget) {
		p.Log.Warn("upkeep: change of the view failed", zap.Error(err))
	}
}

// step returns the change of the view for an action, or nil if it has none.
func step(a action, failed []fleet.InstanceID) budget.Step {
	switch a := a.(type) {
	case record:
		return func(v fleet.View) ([]fleet.Item, error) { return budget.Record(v, a.id, a.version) }
	case renew:
		return func(v fleet.View) ([]fleet.Item, error) { return budget.DrainForReboot(v, a.id, failed...) }
	case cancel:
		return func(v fleet.View) ([]fleet.Item, error) { return undrain(v, a) }
	case mark:
		return func(v fleet.View) ([]fleet.Item, error) { return budget.Reboot(v, a.id) }
	case activate:
		return func(v fleet.View) ([]fleet.Item, error) { return budget.Activate(v, a.id, a.version) }
	}
	return nil
}

// undrain cancels a reboot unless an operator has taken over the instance meanwhile.
func undrain(v fleet.View, c cancel) ([]fleet.Item, error) {
	if m, _ := v.PoolMember(c.pool, c.id); m.State != fleet.InstanceDraining || m.Target != c.pool {
		return nil, nil
	}
	return budget.Undrain(v, c.id)
}

// request asks the platform for the reboots that are due, if the instances are still to be rebooted.
func (p *Planner) request(ctx context.Context, v fleet.View, actions []action) {
	for _, a := range actions {
		r, ok := a.(request)
		if !ok || p.Views.Fresh() != nil || !isStillRebooting(p.Views.View(), r.id) {
			continue
		}
		n := p.notes[r.id]
		if !n.requested.IsZero() {
			n.retry = min(2*n.retry, retryMost)
		}
		n.requested = time.Now()
		if r.boot != "" {
			n.boot = r.boot
		}
		if err := p.Platform.Reboot(ctx, r.id, r.version); err != nil {
			p.Log.Warn("upkeep: reboot request failed", zap.String("instance", string(r.id)), zap.Error(err))
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
