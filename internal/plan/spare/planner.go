package spare

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
)

const (
	interval = time.Second
	author   = "spare"
)

// ViewEditor gives the view and changes it.
type ViewEditor interface {
	View() fleet.View
	Fresh() error
	Edit(ctx context.Context, author string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error)
}

// Options are the parts that a Planner works with.
type Options struct {
	Views ViewEditor
	// Demands returns the demand for every pool across the fleet, or an error if it isn't known.
	Demands func(ctx context.Context) ([]Demand, error)
	// Leads says whether this entry instance plans the moves. Two planners at once are safe but may move too much.
	Leads func() bool
	// Failed names the instances known to be unreachable. It may be nil.
	Failed func() []fleet.InstanceID
	Policy Policy
	Log    *zap.Logger
}

// Planner moves instances between the spare pools and the others. The moves themselves are finished by upkeep.
type Planner struct {
	Options
	mover *Mover
}

// New returns a planner.
func New(o Options) *Planner {
	if o.Failed == nil {
		o.Failed = func() []fleet.InstanceID { return nil }
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Planner{Options: o, mover: NewMover(o.Policy)}
}

// Run plans moves until the context ends.
func (p *Planner) Run(ctx context.Context) {
	pace.After(ctx, interval, p.pass)
}

// pass does nothing, and forgets what it has observed, while this entry instance does not lead or has no fresh view.
func (p *Planner) pass(ctx context.Context) {
	if !p.Leads() || p.Views.Fresh() != nil {
		p.mover = NewMover(p.Policy)
		return
	}
	loads, err := p.Demands(ctx)
	if err != nil {
		p.Log.Warn("spare: demand is not known", zap.Error(err))
		return
	}
	moves := p.mover.Decide(p.Views.View(), loads, time.Now())
	if len(moves) == 0 {
		return
	}
	failed := p.Failed()
	_, err = p.Views.Edit(ctx, author, func(v fleet.View) ([]fleet.Item, error) { return budget.Batch(v, steps(moves, failed)...) })
	if err != nil {
		p.Log.Warn("spare: moves failed", zap.Error(err))
		return
	}
	p.Log.Info("spare: moves begun", zap.Any("moves", moves))
}

// steps moves instances that are still in service; an operator may have taken one meanwhile.
func steps(moves []Move, failed []fleet.InstanceID) []budget.Step {
	var steps []budget.Step
	for _, m := range moves {
		steps = append(steps, func(v fleet.View) ([]fleet.Item, error) {
			pool, _ := v.PoolOf(m.ID)
			if member, _ := v.PoolMember(pool, m.ID); member.State != fleet.InstanceActive || pool == m.Target {
				return nil, nil
			}
			return budget.Move(v, m.ID, m.Target, failed...)
		})
	}
	return steps
}
