package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
)

// Times of the demo; with the default load it ends within 45 s from a built tree.
const (
	DefaultLoad  = 20 * time.Second
	readyTimeout = 12 * time.Second
	// drainTimeout bounds the requests that are still running at the end of the load.
	drainTimeout  = 8 * time.Second
	stopTimeout   = 6 * time.Second
	probeInterval = 100 * time.Millisecond
)

// ErrViolations is returned with a result that shows a violated guarantee.
var ErrViolations = errors.New("demo: a guarantee was violated")

// ErrNoActivity is returned with a result that proves nothing: no request was submitted, or no task started outside the
// zone while it was out of service or in it after its return.
var ErrNoActivity = errors.New("demo: no request was submitted, or no task started during the zone outage or after it")

// Settings configure a demo.
type Settings struct {
	// Binary is the path of the entry instances' program; if empty, the program is built.
	Binary string
	// Dir is the directory of logs and records; if empty, a temporary one is used and removed at the end.
	Dir string
	// Load is the duration of the load; the zone is taken out of service after 25 % of it and returned after 60 %.
	Load time.Duration
	// Factor multiplies the request rates.
	Factor float64
}

type demo struct {
	*Deployment
	settings Settings
	calls    *record.Log[record.Call]
	outage   zoneOutage
}

// Run runs a demo. It returns ErrViolations with the result if a guarantee was violated.
func Run(ctx context.Context, s Settings, log *zap.Logger) (Result, error) {
	begin := time.Now()
	if s.Dir == "" {
		dir, err := os.MkdirTemp("", "yuccalab")
		if err != nil {
			return Result{}, fmt.Errorf("demo: %w", err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		s.Dir = dir
	}
	deployment, err := Deploy(ctx, Setup{
		Binary: s.Binary, Dir: s.Dir, Customers: customers(), WorkersPerZone: workersPerZone,
	}, log)
	if err != nil {
		return Result{}, err
	}
	defer deployment.Close()
	d := &demo{
		Deployment: deployment, settings: s, calls: &record.Log[record.Call]{}, outage: zoneOutage{zone: zones()[0]},
	}
	report, err := d.runScenario(ctx)
	if err != nil {
		return Result{}, err
	}
	d.Stop()
	r := d.result(report)
	r.Seconds = time.Since(begin).Seconds()
	if err := d.save(); err != nil {
		return r, err
	}
	if r.Failed() {
		return r, ErrViolations
	}
	if r.Submitted == 0 || r.Elsewhere == 0 || r.Back == 0 {
		return r, ErrNoActivity
	}
	return r, nil
}

func (d *demo) result(report load.Report) Result {
	journal := d.Platform.Journal.Records()
	r := Result{Load: report, Problems: d.problems, Table: d.Platform.Store.Counters(store.Table)}
	r.Summary = audit.Run(audit.Input{Journal: journal, Calls: d.calls.Records(), Edits: d.Platform.Edits.Records()})
	r.Connections = d.Platform.PeakConnections()
	r.OutMillis = d.outage.outEdit.accepted.Sub(d.outage.outEdit.sent).Milliseconds()
	r.BackMillis = d.outage.inEdit.accepted.Sub(d.outage.inEdit.sent).Milliseconds()
	return r.withStarts(journal, d.outage)
}
