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

// surge is the length of a queue's surges.
const surge = 2 * time.Second

// step is something that happens under load, after a part of its length.
type step struct {
	name string
	part float64
	do   func(context.Context) error
}

func (d *demo) steps() []step {
	small := d.customers[2]
	return []step{
		{"zone leaves", 0.25, func(ctx context.Context) (err error) {
			d.absence.out, err = d.operator.zone(ctx, d.absence.zone, fleet.ZoneOut)
			return err
		}},
		{"ceiling is lowered", 0.4, func(ctx context.Context) error { return d.operator.ceiling(ctx, small, small.Ceiling/2) }},
		{"worker leaves", 0.5, func(context.Context) error { return d.Platform.Leave("w-b0") }},
		{"zone returns", 0.6, func(ctx context.Context) (err error) {
			d.absence.back, err = d.operator.zone(ctx, d.absence.zone, fleet.ZoneIn)
			return err
		}},
		{"ceiling is raised", 0.7, func(ctx context.Context) error { return d.operator.ceiling(ctx, small, small.Ceiling) }},
	}
}

// drive applies the load and carries out the steps under it.
func (d *demo) drive(ctx context.Context) (load.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Load+patience)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	var report load.Report
	g.Go(func() (err error) {
		report, err = load.Run(ctx, load.Settings{
			Endpoints: d.URLs(), Teams: teams(d.customers, d.settings.Factor), Length: d.settings.Load, Surge: surge,
			Tries: 4, Seed: uint64(time.Now().UnixNano()), Prefix: "demo", Sink: d.calls,
		})
		return err
	})
	begin := time.Now()
	g.Go(func() error {
		for _, s := range d.steps() {
			wait := time.NewTimer(time.Until(begin.Add(time.Duration(s.part * float64(d.settings.Load)))))
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

// save keeps the records beside the logs, so that `yuccalab audit` can check them again.
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

func listEntry(e Entry) roster.Listing {
	return roster.Listing{ID: fleet.InstanceID(e.Name), Kind: roster.Entry, Address: e.Peer, Zone: e.Zone, State: roster.Live}
}
