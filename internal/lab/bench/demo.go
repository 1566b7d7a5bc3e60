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

// maxFindings bounds the findings that the demo prints; the records hold the rest.
const maxFindings = 10

func addDemo(app *kingpin.Application) command {
	c := app.Command("demo", "Run a whole deployment on loopback, take a zone out and back under load, and check the records; the last line is JSON.")
	var s demo.Settings
	c.Flag("binary", "Program of the entry instances; built from this tree by default.").StringVar(&s.Binary)
	c.Flag("dir", "Existing directory to keep logs and records in.").StringVar(&s.Dir)
	c.Flag("load", "Length of the load.").Default(demo.DefaultLoad.String()).DurationVar(&s.Load)
	c.Flag("factor", "Multiple of the load.").Default("1").Float64Var(&s.Factor)
	return command{c, func(ctx context.Context, out io.Writer, log *zap.Logger) error {
		r, err := demo.Run(ctx, s, log)
		if err != nil && !errors.Is(err, demo.ErrViolations) && !errors.Is(err, demo.ErrIdle) {
			return err
		}
		for i, f := range r.Findings {
			if i == maxFindings {
				break
			}
			log.Warn("demo: finding", zap.String("check", string(f.Check)), zap.String("source", string(f.Source)),
				zap.Int("record", f.Record), zap.String("detail", f.Detail))
		}
		r.Findings = nil
		if encodeErr := json.NewEncoder(out).Encode(r); encodeErr != nil {
			return fmt.Errorf("demo: %w", encodeErr)
		}
		return err
	}}
}
