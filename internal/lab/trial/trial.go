// Package trial measures real entry instances: it runs deployments with fixed seeds and computes its figures from the
// journal of the workers and the answers to the callers, not from the counters of the product.
package trial

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const (
	// workersPerZone gives each of five pools about ten workers over three zones.
	workersPerZone = 17
	spareWorkers   = 10
	slotsPerWorker = 8
	// warmUp is the time after the start of the load that is not measured.
	warmUp = 4 * time.Second
	// DefaultLength is the default duration of a run's load.
	DefaultLength = 20 * time.Second
)

// Settings are the settings of a trial.
type Settings struct {
	// Binary is the program of the entry instances; if empty, it is built.
	Binary string
	// Scenarios names the scenarios to run; if empty, all run.
	Scenarios []string
	Seeds     []uint64
	Length    time.Duration
	// Dir receives programs, logs and journals; if empty, a temporary directory is used and removed at the end.
	Dir string
}

// Run runs the scenarios one after the other, each with every seed.
func Run(ctx context.Context, s Settings, log *zap.Logger) (Report, error) {
	if s.Dir == "" {
		dir, err := os.MkdirTemp("", "yuccalab")
		if err != nil {
			return Report{}, fmt.Errorf("trial: %w", err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		s.Dir = dir
	}
	var r Report
	if s.Binary == "" {
		var err error
		if s.Binary, err = demo.Build(ctx, s.Dir); err != nil {
			return r, err
		}
	}
	selected, err := selectScenarios(s.Scenarios)
	if err != nil {
		return r, err
	}
	for _, seed := range s.Seeds {
		for _, c := range selected {
			run, err := s.run(ctx, c, seed, log)
			if err != nil {
				return r, fmt.Errorf("trial: %s, seed %d: %w", c.name, seed, err)
			}
			r.Runs = append(r.Runs, run)
		}
	}
	return r, nil
}

// trace is what one run recorded.
type trace struct {
	scenario  scenario
	startedAt record.Stamp
	length    time.Duration
	tasks     []taskRun
	calls     []record.Call
}

// from and to bound the measured part of a run.
func (t trace) from() record.Stamp { return t.startedAt.Add(warmUp) }
func (t trace) to() record.Stamp   { return t.startedAt.Add(t.length) }

func (s Settings) run(ctx context.Context, c scenario, seed uint64, log *zap.Logger) (RunReport, error) {
	r := RunReport{Scenario: c.name, Seed: seed, Load: loadAverage()}
	binary, err := s.entryBinary(ctx, c)
	if err != nil {
		return r, err
	}
	dir := filepath.Join(s.Dir, fmt.Sprintf("%s-%d", c.name, seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return r, err
	}
	d, err := demo.Deploy(ctx, demo.Setup{
		Binary: binary, Dir: dir, Customers: c.customers, WorkersPerZone: workersPerZone,
	}, log)
	if err != nil {
		return r, err
	}
	defer d.Close()
	if err := awaitWorkers(ctx, d); err != nil {
		return r, err
	}
	if c.keepsSpares {
		if err := d.SetSpareMinimum(ctx, spareWorkers); err != nil {
			return r, err
		}
	}
	t := trace{scenario: c, startedAt: record.Now(), length: s.Length}
	before, table := measureProcesses(d), d.Platform.Store.Counters(store.Table)
	if t.calls, err = runLoad(ctx, d, c, seed, s.Length); err != nil {
		return r, err
	}
	r.Cost = costSince(before, measureProcesses(d), table, d.Platform.Store.Counters(store.Table), s.Length)
	journal := d.Platform.Journal.Records()
	if err := saveJournal(dir, journal); err != nil {
		return r, err
	}
	t.tasks = taskRuns(journal)
	summary := audit.Run(audit.Input{Journal: journal, Calls: t.calls, Edits: d.Platform.Edits.Records()})
	r.OverCeiling, r.Doubled = summary.OverCeiling, summary.Doubled
	r.measure(t)
	log.Info("trial: run measured", zap.String("scenario", c.name), zap.Uint64("seed", seed))
	return r, nil
}

func saveJournal(dir string, journal []record.Journal) error {
	f, err := os.Create(filepath.Join(dir, "journal.jsonl"))
	if err != nil {
		return err
	}
	lines := record.NewLines[record.Journal](f)
	for _, j := range journal {
		lines.Write(j)
	}
	return errors.Join(lines.Err(), f.Close())
}

// awaitWorkers waits until every worker is in a pool.
func awaitWorkers(ctx context.Context, d *demo.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		pools := map[fleet.InstanceID]bool{}
		for _, e := range d.Platform.Edits.Records() {
			if e.Kind == record.EditPool && e.Pool != "" {
				pools[e.Instance] = true
			}
		}
		if len(pools) == len(d.Platform.Workers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d workers are in a pool: %w", len(pools), len(d.Platform.Workers), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// runLoad applies the load for a duration and moves the zone meanwhile. Requests without an answer at the end are
// cancelled.
func runLoad(
	ctx context.Context, d *demo.Deployment, c scenario, seed uint64, length time.Duration,
) ([]record.Call, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	moveResult := make(chan error, 1)
	go func() { moveResult <- moveZone(ctx, d, c, length) }()
	calls := &record.Log[record.Call]{}
	_, err := load.Run(ctx, load.Settings{
		Endpoints: d.URLs(), Teams: c.loadTeams(d), Length: length, Surge: c.surge, Tries: 1, Seed: seed,
		Prefix: fmt.Sprintf("trial-%d", seed), Sink: calls,
	})
	cancel()
	if moveErr := <-moveResult; err == nil {
		err = moveErr
	}
	return calls.Records(), err
}

// Fractions of the load's duration after which the zone leaves and returns.
const (
	departureFraction = 0.2
	returnFraction    = 0.4
)

func moveZone(ctx context.Context, d *demo.Deployment, c scenario, length time.Duration) error {
	if !c.movesZone {
		return nil
	}
	start := time.Now()
	for _, s := range []struct {
		fraction float64
		state    fleet.ZoneState
	}{{departureFraction, fleet.ZoneOut}, {returnFraction, fleet.ZoneIn}} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(time.Duration(s.fraction * float64(length))))):
		}
		if err := d.SetZoneState(ctx, "b", s.state); err != nil {
			return err
		}
	}
	return nil
}

func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	oneMinute, _, _ := strings.Cut(string(b), " ")
	return oneMinute
}
