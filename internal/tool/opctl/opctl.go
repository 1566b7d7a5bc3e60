// Package opctl is the operators' command line, an HTTP client of any entry instance.
package opctl

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of every command.
const (
	ExitDone        = 0
	ExitRefused     = 1 // the request was refused and nothing was applied, or check or explain gave a negative result
	ExitUsage       = 2 // invalid arguments or settings
	ExitConflict    = 3 // someone else changed the same thing first
	ExitUnknown     = 4 // the outcome is unknown, or stored but not yet confirmed
	ExitUnreachable = 5 // no entry instance could be reached or a read was not answered; nothing was applied
)

// exitError is an error that ends the program with an exit code.
type exitError struct {
	code  int
	cause error
	// notFound is set if the requested object does not exist.
	notFound bool
}

// Error returns the cause's text.
func (e exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e exitError) Unwrap() error { return e.cause }

func fail(code int, format string, args ...any) error {
	return exitError{code: code, cause: fmt.Errorf(format, args...)}
}

// tool holds the outputs and the version that the commands share.
type tool struct {
	out, notes io.Writer
	version    string
}

// Option configures Register.
type Option func(*tool)

// WithVersion sets the version printed by the command "version".
func WithVersion(v string) Option { return func(t *tool) { t.version = v } }

// Register adds the operators' commands to an application. Results go to standard output, notes to standard error.
func Register(app *kingpin.Application, options ...Option) {
	t := &tool{out: os.Stdout, notes: os.Stderr, version: buildVersion()}
	for _, o := range options {
		o(t)
	}
	t.registerCheck(app)
	t.registerSection(app)
	t.registerDocument(app)
	t.registerZone(app)
	t.registerInstance(app)
	t.registerKey(app)
	t.registerReports(app)
	t.registerExplain(app)
	t.registerFleet(app)
	app.Command("version", "Print the version.").Action(func(*kingpin.ParseContext) error {
		t.print("yuccahaven %s\n", t.version)
		return nil
	})
}

// Run parses arguments, runs the chosen command and returns the exit code.
func Run(app *kingpin.Application, args []string) int {
	// Without arguments, kingpin prints the usage and exits with 0.
	if len(args) == 0 {
		app.Errorf("no command, try --help")
		return ExitUsage
	}
	parsed := false
	app.Action(func(*kingpin.ParseContext) error {
		parsed = true
		return nil
	})
	_, err := app.Parse(args)
	var e exitError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &e):
		app.Errorf("%v", err)
		return e.code
	case parsed:
		app.Errorf("%v", err)
		return ExitRefused
	}
	app.Errorf("%v, try --help", err)
	return ExitUsage
}

func (t *tool) print(format string, args ...any) { _, _ = fmt.Fprintf(t.out, format, args...) }

func (t *tool) note(format string, args ...any) { _, _ = fmt.Fprintf(t.notes, format, args...) }
