package node

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

const (
	rosterInterval = time.Second
	rosterTimeout  = 2 * time.Second
)

// rosterWatcher polls the platform's roster for workers that are about to leave.
type rosterWatcher struct {
	roster  *roster.Shared
	log     *zap.Logger
	leaving atomic.Pointer[map[fleet.InstanceID]bool]
}

// Leaving implements runner.Roster.
func (w *rosterWatcher) Leaving(id fleet.InstanceID) bool {
	m := w.leaving.Load()
	return m != nil && (*m)[id]
}

func (w *rosterWatcher) run(ctx context.Context) {
	pace.Every(ctx, rosterInterval, nil, w.refresh)
}

func (w *rosterWatcher) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	listings, err := w.roster.List(ctx)
	if err != nil {
		w.log.Warn("roster: listing instances failed, keeping the last known leaving workers", zap.Error(err))
		return
	}
	leaving := map[fleet.InstanceID]bool{}
	for _, l := range listings {
		if l.State == roster.Leaving {
			leaving[l.ID] = true
		}
	}
	w.leaving.Store(&leaving)
}
