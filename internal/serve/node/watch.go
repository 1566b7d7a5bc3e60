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

// watch follows the platform's roster: it knows which workers are leaving.
type watch struct {
	roster  *roster.Shared
	log     *zap.Logger
	leaving atomic.Pointer[map[fleet.InstanceID]bool]
}

// Leaving implements runner.Roster.
func (w *watch) Leaving(id fleet.InstanceID) bool {
	m := w.leaving.Load()
	return m != nil && (*m)[id]
}

func (w *watch) run(ctx context.Context) {
	pace.Every(ctx, rosterInterval, nil, w.look)
}

func (w *watch) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	listings, err := w.roster.List(ctx)
	if err != nil {
		w.log.Warn("roster: unavailable", zap.Error(err))
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
