package node

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/sched/alloc"
	"github.com/yuccahaven/yuccahaven/internal/state/member"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

const (
	rosterInterval = time.Second
	rosterTimeout  = 2 * time.Second
	// rosterDuty is the name by which the entry instance is chosen that brings the roster into the pools.
	rosterDuty fleet.PoolName = "roster"
)

// watch follows the platform's roster: it knows which workers are leaving, and lets one entry instance make new
// workers members of pools.
type watch struct {
	roster    *roster.Client
	views     *view.Keeper
	registrar *member.Registrar
	log       *zap.Logger
	leaving   atomic.Pointer[map[fleet.InstanceID]bool]
	entries   atomic.Pointer[[]string]
}

// Leaving implements runner.Roster.
func (w *watch) Leaving(id fleet.InstanceID) bool {
	m := w.leaving.Load()
	return m != nil && (*m)[id]
}

func (w *watch) run(ctx context.Context) {
	t := time.NewTicker(rosterInterval)
	defer t.Stop()
	for {
		w.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (w *watch) look(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	listings, err := w.roster.List(call)
	if err != nil {
		w.log.Warn("roster unavailable", zap.Error(err))
		return
	}
	leaving := map[fleet.InstanceID]bool{}
	for _, l := range listings {
		if l.State == roster.Leaving {
			leaving[l.ID] = true
		}
	}
	w.leaving.Store(&leaving)
	if w.onDuty() {
		w.bring(ctx, listings)
	}
}

// onDuty reports whether this instance is the first of the live members by rank. Two at a time do no harm: their
// edits are conditional on the revision.
func (w *watch) onDuty() bool {
	for _, m := range alloc.Rank(w.views.View().Members(), rosterDuty) {
		if w.registrar.Alive(m.ID) {
			return m.ID == w.registrar.Self().ID
		}
	}
	return false
}

func (w *watch) bring(ctx context.Context, listings []roster.Listing) {
	change := func(v fleet.View) ([]fleet.Item, error) {
		if items := budget.Join(v, listings); len(items) > 0 {
			return items, nil
		}
		return budget.Depart(v, listings), nil
	}
	if items, err := change(w.views.View()); err != nil || len(items) == 0 {
		return
	}
	revision, err := w.views.Edit(ctx, "entry "+string(w.registrar.Self().ID), change)
	if err != nil {
		w.log.Warn("pools not changed", zap.Error(err))
		return
	}
	w.log.Info("pools follow the roster", zap.Uint64("revision", revision))
}
