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

// ViewEditor reads and edits the view.
type ViewEditor interface {
	View() fleet.View
	// Fresh returns nil if the view is recent enough to act on.
	Fresh() error
	// Edit stores the items that change returns for the newest view, in one transaction, and returns its revision once it
	// is in force. It may call change several times.
	Edit(ctx context.Context, author string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error)
}

// Options are the dependencies and the policy of a Planner.
type Options struct {
	Views ViewEditor
	// Demands returns the demand for every pool across the fleet, or an error if it is unknown.
	Demands func(ctx context.Context) ([]Demand, error)
	// Leads reports whether this entry instance plans the moves. Two planners at once are safe but may move too many
	// instances.
	Leads func() bool
	// Failed returns the instances known to be unreachable. It may be nil.
	Failed func() []fleet.InstanceID
	Policy Policy
	Log    *zap.Logger
}

// Planner starts moves of instances between the spare pools and the others. Package upkeep completes the moves.
type Planner struct {
	Options
	mover *Mover
}

// New returns a planner; Failed and Log may be nil.
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

// pass decides on moves and starts them. While this entry instance doesn't lead or has no fresh view, it only clears
// the demand history.
func (p *Planner) pass(ctx context.Context) {
	if !p.Leads() || p.Views.Fresh() != nil {
		p.mover = NewMover(p.Policy)
		return
	}
	demands, err := p.Demands(ctx)
	if err != nil {
		p.Log.Warn("spare: reading the demand failed, no moves in this pass", zap.Error(err))
		return
	}
	moves := p.mover.Decide(p.Views.View(), demands, time.Now())
	if len(moves) == 0 {
		return
	}
	failed := p.Failed()
	_, err = p.Views.Edit(ctx, author, func(v fleet.View) ([]fleet.Item, error) {
		return budget.Batch(v, steps(moves, failed)...)
	})
	if err != nil {
		p.Log.Warn("spare: starting moves failed, deciding again in the next pass", zap.Error(err))
		return
	}
	p.Log.Info("spare: moves started", zap.Any("moves", moves))
}

// steps returns the changes of the view for moves. It skips instances that are no longer in service, because an
// operator may have drained or moved one since the decision.
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
