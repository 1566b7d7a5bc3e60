// Package trial measures real entry instances: it runs deployments with fixed seeds and computes its figures from the
// journal of the workers and the answers of the callers, not from the counters of the product.
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
	// workersPerZone makes about ten workers in each of five pools over three zones.
	workersPerZone = 17
	spareWorkers   = 10
	slotsPerWorker = 8
	// settle is the time from the begin of the load after which a run is measured.
	settle = 4 * time.Second
	// DefaultLength is the length of the load of a run.
	DefaultLength = 20 * time.Second
)

// Settings of a trial.
type Settings struct {
	// Binary is the program of the entry instances; empty builds it.
	Binary string
	// Only names the scenarios to run; empty runs all.
	Only   []string
	Seeds  []uint64
	Length time.Duration
	// Dir keeps programs, logs and journals; empty uses a temporary directory that is removed at the end.
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
	chosen, err := choose(s.Only)
	if err != nil {
		return r, err
	}
	for _, seed := range s.Seeds {
		for _, c := range chosen {
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
	scenario scenario
	begin    record.Stamp
	length   time.Duration
	tasks    []span
	calls    []record.Call
}

// from and to bound the measured part of a run.
func (t trace) from() record.Stamp { return t.begin.Add(settle) }
func (t trace) to() record.Stamp   { return t.begin.Add(t.length) }

func (s Settings) run(ctx context.Context, c scenario, seed uint64, log *zap.Logger) (RunReport, error) {
	r := RunReport{Scenario: c.name, Seed: seed, Load: loadAverage()}
	binary, err := s.binary(ctx, c)
	if err != nil {
		return r, err
	}
	dir := filepath.Join(s.Dir, fmt.Sprintf("%s-%d", c.name, seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return r, err
	}
	d, err := demo.Deploy(ctx, demo.Setup{Binary: binary, Dir: dir, Customers: c.customers, WorkersPerZone: workersPerZone}, log)
	if err != nil {
		return r, err
	}
	defer d.Close()
	if err := awaitWorkers(ctx, d); err != nil {
		return r, err
	}
	if c.fixed {
		if err := d.KeepSpares(ctx, spareWorkers); err != nil {
			return r, err
		}
	}
	t := trace{scenario: c, begin: record.Now(), length: s.Length}
	before, table := measureProcesses(d), d.Platform.Store.Counters(store.Table)
	if t.calls, err = drive(ctx, d, c, seed, s.Length); err != nil {
		return r, err
	}
	r.Cost = costSince(before, measureProcesses(d), table, d.Platform.Store.Counters(store.Table), s.Length)
	journal := d.Platform.Journal.Records()
	if err := saveJournal(dir, journal); err != nil {
		return r, err
	}
	t.tasks = spans(journal)
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

// awaitWorkers waits until the pools have every worker.
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

// drive applies the load for a length of time and carries out the zone's move. What still waits at the end is given up.
func drive(ctx context.Context, d *demo.Deployment, c scenario, seed uint64, length time.Duration) ([]record.Call, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	moved := make(chan error, 1)
	go func() { moved <- move(ctx, d, c, length) }()
	calls := &record.Log[record.Call]{}
	_, err := load.Run(ctx, load.Settings{
		Endpoints: d.URLs(), Teams: c.teams(d), Length: length, Surge: c.surge, Tries: 1, Seed: seed,
		Prefix: fmt.Sprintf("trial-%d", seed), Sink: calls,
	})
	cancel()
	if moveErr := <-moved; err == nil {
		err = moveErr
	}
	return calls.Records(), err
}

// The zone leaves after a fifth of the load and returns after two fifths.
const (
	leavesAt  = 0.2
	returnsAt = 0.4
)

func move(ctx context.Context, d *demo.Deployment, c scenario, length time.Duration) error {
	if !c.moves {
		return nil
	}
	begin := time.Now()
	for _, s := range []struct {
		part  float64
		state fleet.ZoneState
	}{{leavesAt, fleet.ZoneOut}, {returnsAt, fleet.ZoneIn}} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(begin.Add(time.Duration(s.part * float64(length))))):
		}
		if err := d.Zone(ctx, "b", s.state); err != nil {
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
	one, _, _ := strings.Cut(string(b), " ")
	return one
}
