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
	DefaultLoad = 20 * time.Second
	readyWithin = 12 * time.Second
	// patience is how long requests may go on after the end of the load.
	patience   = 8 * time.Second
	stopWithin = 6 * time.Second
	probePause = 100 * time.Millisecond
)

// ErrViolations is returned with a result that breaks a guarantee.
var ErrViolations = errors.New("demo: a guarantee was broken")

// ErrIdle is returned with a result that shows nothing: no request was submitted, or no task started
// while the zone was out of service or after its return.
var ErrIdle = errors.New("demo: nothing ran in a part of the demo")

// Settings of a demo.
type Settings struct {
	// Binary is the program of the entry instances; empty builds it.
	Binary string
	// Dir keeps logs and records; empty uses a temporary directory that is removed at the end.
	Dir string
	// Load is the length of the load; the zone leaves after a quarter of it and returns after six tenths.
	Load time.Duration
	// Factor multiplies the load.
	Factor float64
}

type demo struct {
	*Deployment
	settings Settings
	calls    *record.Log[record.Call]
	absence  absence
}

// Run runs a demo. It returns ErrViolations with the result if a guarantee was broken.
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
	f, err := Deploy(ctx, Setup{Binary: s.Binary, Dir: s.Dir, Customers: customers(), WorkersPerZone: workersPerZone}, log)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	d := &demo{Deployment: f, settings: s, calls: &record.Log[record.Call]{}, absence: absence{zone: zones()[0]}}
	report, err := d.drive(ctx)
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
		return r, ErrIdle
	}
	return r, nil
}

func (d *demo) result(report load.Report) Result {
	journal := d.Platform.Journal.Records()
	r := Result{Load: report, Problems: d.problems, Table: d.Platform.Store.Counters(store.Table)}
	r.Summary = audit.Run(audit.Input{Journal: journal, Calls: d.calls.Records(), Edits: d.Platform.Edits.Records()})
	r.Connections = d.Platform.Peak()
	r.OutMillis = d.absence.out.accepted.Sub(d.absence.out.sent).Milliseconds()
	r.BackMillis = d.absence.back.accepted.Sub(d.absence.back.sent).Milliseconds()
	return r.withStarts(journal, d.absence)
}
