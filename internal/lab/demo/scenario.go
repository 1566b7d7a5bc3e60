package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

// surgeLength is the duration of each surge of a queue's load.
const surgeLength = 2 * time.Second

// step is an operation under load, due after a fraction of the load's duration.
type step struct {
	name     string
	fraction float64
	do       func(context.Context) error
}

func (d *demo) steps() []step {
	small := d.customers[2]
	return []step{
		{"zone leaves", 0.25, func(ctx context.Context) (err error) {
			d.outage.outEdit, err = d.operator.setZone(ctx, d.outage.zone, fleet.ZoneOut)
			return err
		}},
		{"ceiling is lowered", 0.4, func(ctx context.Context) error {
			return d.operator.setCeiling(ctx, small, small.Ceiling/2)
		}},
		{"worker leaves", 0.5, func(context.Context) error { return d.Platform.Leave("w-b0") }},
		{"zone returns", 0.6, func(ctx context.Context) (err error) {
			d.outage.inEdit, err = d.operator.setZone(ctx, d.outage.zone, fleet.ZoneIn)
			return err
		}},
		{"ceiling is raised", 0.7, func(ctx context.Context) error {
			return d.operator.setCeiling(ctx, small, small.Ceiling)
		}},
	}
}

// runScenario applies the load and performs the steps while it lasts.
func (d *demo) runScenario(ctx context.Context) (load.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Load+drainTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	var report load.Report
	g.Go(func() (err error) {
		report, err = load.Run(ctx, load.Settings{
			Endpoints: d.URLs(), Teams: teamLoads(d.customers, d.settings.Factor), Length: d.settings.Load, Surge: surgeLength,
			Tries: 4, Seed: uint64(time.Now().UnixNano()), Prefix: "demo", Sink: d.calls,
		})
		return err
	})
	begin := time.Now()
	g.Go(func() error {
		for _, s := range d.steps() {
			wait := time.NewTimer(time.Until(begin.Add(time.Duration(s.fraction * float64(d.settings.Load)))))
			select {
			case <-wait.C:
			case <-ctx.Done():
				return ctx.Err()
			}
			if err := s.do(ctx); err != nil {
				return fmt.Errorf("demo: %s: %w", s.name, err)
			}
			d.log.Info("demo: "+s.name, zap.Duration("after", time.Since(begin)))
		}
		return nil
	})
	return report, g.Wait()
}

// save writes the records beside the logs, so that `yuccalab audit` can check them again.
func (d *demo) save() error {
	return errors.Join(
		saveLines(d.settings.Dir, "journal", d.Platform.Journal.Records()),
		saveLines(d.settings.Dir, "calls", d.calls.Records()),
		saveLines(d.settings.Dir, "edits", d.Platform.Edits.Records()))
}

func saveLines[R record.Kind](dir, name string, records []R) error {
	f, err := os.Create(filepath.Join(dir, name+".jsonl"))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	lines := record.NewLines[R](f)
	for _, r := range records {
		lines.Write(r)
	}
	return errors.Join(lines.Err(), f.Close())
}

func entryListing(e Entry) roster.Listing {
	return roster.Listing{ID: fleet.InstanceID(e.Name), Kind: roster.Entry, Address: e.Peer, Zone: e.Zone, State: roster.Live}
}
