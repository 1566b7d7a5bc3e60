// Package bench implements the commands of yuccalab: fake services, demo, load, checks and measurements.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/policy"
	"github.com/yuccahaven/yuccahaven/internal/lab/slope"
)

// command is a subcommand with its action; an error of the action makes the exit status 1.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context, out io.Writer, log *zap.Logger) error
}

// Main runs the command that args name and returns the exit status.
func Main(args []string, out io.Writer) int {
	app := kingpin.New("yuccalab", "Simulated platform, demo, load, checks and measurements of yuccahaven.")
	app.DefaultEnvars()
	app.UsageWriter(out).ErrorWriter(os.Stderr)
	commands := map[string]command{}
	for _, add := range []func(*kingpin.Application) command{addStore, addWorker, addAudit, addLoad, addDemo, addTrial} {
		c := add(app)
		commands[c.clause.FullCommand()] = c
	}
	// The commands of these packages run as actions during Parse.
	policy.Register(app)
	slope.Register(app)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccalab:", err)
		return 2
	}
	c, ok := commands[name]
	if !ok {
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log, err := zap.NewDevelopment()
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccalab:", err)
		return 2
	}
	if err := c.run(ctx, out, log); err != nil {
		fmt.Fprintln(os.Stderr, "yuccalab:", err)
		return 1
	}
	return 0
}
