package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
)

func addLoad(app *kingpin.Application) command {
	c := app.Command("load", "Generate open-loop load and measure what callers see; the last line is JSON.")
	endpoints := c.Flag("endpoint", "Base URL of an entry instance; may be repeated.").Required().Strings()
	profile := c.Flag("profile",
		"JSON file with a list of teams: name, queue, secret, rate, run, size, body, once, async, timeout.").
		Required().ExistingFile()
	length := c.Flag("for", "Duration of the run.").Default("30s").Duration()
	surge := c.Flag("surge", "Duration of each queue's surges to five times its mean rate; 0 is an even load.").
		Default("2s").Duration()
	tries := c.Flag("tries", "Maximum number of times that a request is submitted.").Default("4").Int()
	calls := c.Flag("calls", "File to append the callers' records to.").Default(os.DevNull).String()
	return command{c, func(ctx context.Context, out io.Writer, _ *zap.Logger) error {
		teams, err := readProfile(*profile)
		if err != nil {
			return err
		}
		f, err := os.OpenFile(*calls, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("load: calls: %w", err)
		}
		defer func() { _ = f.Close() }()
		sink := record.NewLines[record.Call](f)
		seed := uint64(time.Now().UnixNano())
		r, err := load.Run(ctx, load.Settings{
			Endpoints: *endpoints, Teams: teams, Length: *length, Surge: *surge, Tries: *tries,
			Seed: seed, Prefix: fmt.Sprintf("load-%x", seed), Sink: sink,
		})
		if err != nil {
			return err
		}
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return fmt.Errorf("load: %w", err)
		}
		return sink.Err()
	}}
}

func readProfile(path string) ([]load.Team, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	var teams []load.Team
	if err := json.Unmarshal(b, &teams); err != nil {
		return nil, fmt.Errorf("load: %s: %w", path, err)
	}
	return teams, nil
}
