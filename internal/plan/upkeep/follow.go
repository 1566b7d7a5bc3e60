package upkeep

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

const (
	listInterval = time.Second
	// absentFor is the number of consecutive lists that must lack an instance before it is taken as gone, because
	// the list lags and two reads may differ in age.
	absentFor = 3
)

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]roster.Listing, error)
}

// FollowerOptions are the parts that a Follower works with.
type FollowerOptions struct {
	Views  ViewEditor
	Roster Lister
	// Leads says whether this entry instance is to follow the roster; several at once are safe.
	Leads func() bool
	// Failed names the instances known to be unreachable.
	Failed func() []fleet.InstanceID
	Log    *zap.Logger
}

// Follower keeps the membership of the pools in step with the platform's roster.
type Follower struct {
	FollowerOptions
	absent map[fleet.InstanceID]int
}

// NewFollower returns a follower.
func NewFollower(o FollowerOptions) *Follower {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Follower{FollowerOptions: o, absent: map[fleet.InstanceID]int{}}
}

// Run follows the roster until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pace.After(ctx, listInterval, func(ctx context.Context) {
		if f.Leads() && f.Views.Fresh() == nil {
			f.pass(ctx)
		}
	})
}

func (f *Follower) pass(ctx context.Context) {
	listings, err := f.Roster.List(ctx)
	if err != nil {
		f.Log.Warn("upkeep: roster is unavailable", zap.Error(err))
		return
	}
	gone := f.gone(f.Views.View(), listings)
	change := func(v fleet.View) ([]fleet.Item, error) {
		return budget.Batch(v,
			func(v fleet.View) ([]fleet.Item, error) { return budget.Leave(v, gone...), nil },
			func(v fleet.View) ([]fleet.Item, error) { return budget.Depart(v, listings), nil },
			func(v fleet.View) ([]fleet.Item, error) { return budget.Join(v, listings), nil })
	}
	if items, err := change(f.Views.View()); err != nil || len(items) == 0 {
		return
	}
	if _, err := f.Views.Edit(ctx, "roster", change); err != nil {
		f.Log.Warn("upkeep: change of the membership failed", zap.Error(err))
	}
}

// gone counts the lists that lacked each unreachable member.
func (f *Follower) gone(v fleet.View, listings []roster.Listing) []fleet.InstanceID {
	absent := map[fleet.InstanceID]int{}
	var gone []fleet.InstanceID
	for _, id := range budget.Missing(v, listings, f.Failed()...) {
		if absent[id] = f.absent[id] + 1; absent[id] >= absentFor {
			gone = append(gone, id)
		}
	}
	f.absent = absent
	return gone
}
