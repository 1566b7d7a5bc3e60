// Package bench holds the commands of yuccalab: stand-ins, demo, load and checks.
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
)

// command is one subcommand with its action; the error of the action becomes the exit status.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context, out io.Writer, log *zap.Logger) error
}

// Main runs a command with arguments and returns its exit status.
func Main(args []string, out io.Writer) int {
	app := kingpin.New("yuccalab", "Stand-ins for the platform, demo, load and checks of yuccahaven.")
	app.DefaultEnvars()
	app.UsageWriter(out).ErrorWriter(os.Stderr)
	commands := map[string]command{}
	for _, add := range []func(*kingpin.Application) command{addStore, addWorker, addAudit, addLoad, addDemo, addTrial} {
		c := add(app)
		commands[c.clause.FullCommand()] = c
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccalab:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log, err := zap.NewDevelopment()
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccalab:", err)
		return 2
	}
	if err := commands[name].run(ctx, out, log); err != nil {
		fmt.Fprintln(os.Stderr, "yuccalab:", err)
		return 1
	}
	return 0
}
