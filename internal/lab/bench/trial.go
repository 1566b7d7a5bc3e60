package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/trial"
)

func addTrial(app *kingpin.Application) command {
	c := app.Command("trial", "Measure real entry instances from the journal of simulated workers, and print a table.")
	var s trial.Settings
	c.Arg("scenario", "Scenarios to run, all by default.").StringsVar(&s.Scenarios)
	c.Flag("binary", "Program of the entry instances; built from this tree by default.").StringVar(&s.Binary)
	c.Flag("dir", "Existing directory for programs, logs and journals.").StringVar(&s.Dir)
	c.Flag("length", "Duration of the load of a run.").Default(trial.DefaultLength.String()).DurationVar(&s.Length)
	c.Flag("seed", "Seed of arrivals and inputs; may be repeated.").Default("1").Uint64ListVar(&s.Seeds)
	asJSON := c.Flag("json", "Print JSON instead of a table.").Bool()
	return command{c, func(ctx context.Context, out io.Writer, log *zap.Logger) error {
		r, err := trial.Run(ctx, s, log)
		if err != nil {
			return err
		}
		if !*asJSON {
			return r.Print(out)
		}
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return fmt.Errorf("trial: %w", err)
		}
		return nil
	}}
}
