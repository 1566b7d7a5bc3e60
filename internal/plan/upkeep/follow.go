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
	// requiredAbsences is the number of consecutive lists that must lack an instance before it counts as missing,
	// because the list lags and two reads may differ in age.
	requiredAbsences = 3
)

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]roster.Listing, error)
}

// FollowerOptions are the dependencies of a Follower.
type FollowerOptions struct {
	Views  ViewEditor
	Roster Lister
	// Leads reports whether this entry instance follows the roster; several at once are safe.
	Leads func() bool
	// Failed returns the instances known to be unreachable.
	Failed func() []fleet.InstanceID
	Log    *zap.Logger
}

// Follower updates the membership of the pools from the platform's roster.
type Follower struct {
	FollowerOptions
	absences map[fleet.InstanceID]int
}

// NewFollower returns a follower; Log may be nil.
func NewFollower(o FollowerOptions) *Follower {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Follower{FollowerOptions: o, absences: map[fleet.InstanceID]int{}}
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
		f.Log.Warn("upkeep: roster read failed, membership unchanged until the next pass", zap.Error(err))
		return
	}
	missing := f.missing(f.Views.View(), listings)
	change := func(v fleet.View) ([]fleet.Item, error) {
		return budget.Batch(v,
			func(v fleet.View) ([]fleet.Item, error) { return budget.RemoveMissing(v, missing...), nil },
			func(v fleet.View) ([]fleet.Item, error) { return budget.DrainLeaving(v, listings), nil },
			func(v fleet.View) ([]fleet.Item, error) { return budget.AddListed(v, listings), nil })
	}
	if items, err := change(f.Views.View()); err != nil || len(items) == 0 {
		return
	}
	if _, err := f.Views.Edit(ctx, "roster", change); err != nil {
		f.Log.Warn("upkeep: membership edit failed, retrying in the next pass", zap.Error(err))
	}
}

// missing counts the consecutive lists that lacked each unreachable member and returns the members that reached
// requiredAbsences.
func (f *Follower) missing(v fleet.View, listings []roster.Listing) []fleet.InstanceID {
	absences := map[fleet.InstanceID]int{}
	var missing []fleet.InstanceID
	for _, id := range budget.Missing(v, listings, f.Failed()...) {
		if absences[id] = f.absences[id] + 1; absences[id] >= requiredAbsences {
			missing = append(missing, id)
		}
	}
	f.absences = absences
	return missing
}
