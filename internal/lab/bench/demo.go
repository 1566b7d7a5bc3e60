package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
)

// maxPrintedFindings bounds the findings that the demo logs; the records contain the rest.
const maxPrintedFindings = 10

func addDemo(app *kingpin.Application) command {
	c := app.Command("demo",
		"Run a deployment on loopback, take a zone out and back under load, check the records; the last line is JSON.")
	var s demo.Settings
	c.Flag("binary", "Program of the entry instances; built from this tree by default.").StringVar(&s.Binary)
	c.Flag("dir", "Existing directory for logs and records.").StringVar(&s.Dir)
	c.Flag("load", "Duration of the load.").Default(demo.DefaultLoad.String()).DurationVar(&s.Load)
	c.Flag("factor", "Factor by which the load is multiplied.").Default("1").Float64Var(&s.Factor)
	return command{c, func(ctx context.Context, out io.Writer, log *zap.Logger) error {
		r, err := demo.Run(ctx, s, log)
		if err != nil && !errors.Is(err, demo.ErrViolations) && !errors.Is(err, demo.ErrNoActivity) {
			return err
		}
		for i, f := range r.Findings {
			if i == maxPrintedFindings {
				break
			}
			log.Warn("demo: check found a violation",
				zap.String("check", string(f.Check)), zap.String("source", string(f.Source)),
				zap.Int("record", f.Record), zap.String("detail", f.Detail))
		}
		r.Findings = nil
		if encodeErr := json.NewEncoder(out).Encode(r); encodeErr != nil {
			return fmt.Errorf("demo: %w", encodeErr)
		}
		return err
	}}
}
