package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ExitSettings is the exit code for invalid settings.
const ExitSettings = 2

// Register adds the command "serve" to an application.
func Register(app *kingpin.Application) {
	s := &Settings{}
	c := app.Command("serve", "Run an entry instance. Every setting can also be given as an environment variable.")
	s.Flags(c)
	c.Action(func(*kingpin.ParseContext) error { return run(s) })
}

func run(s *Settings) error {
	if err := check(s); err != nil {
		fmt.Fprintf(os.Stderr, "yuccahaven: wrong settings:\n%v\n", err)
		os.Exit(ExitSettings)
	}
	log := newLog(s.level)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := New(s, log)
	if err != nil {
		return err
	}
	err = n.Run(ctx)
	_ = log.Sync()
	return err
}

// check checks the settings and the document together, so that one run reports the errors of both.
func check(s *Settings) error {
	err := s.Check()
	if s.Document == "" {
		return err
	}
	if _, _, found := loadSections(s.Document); errors.Is(found, errFindings) {
		return errors.Join(err, found)
	}
	return err
}

// newLog returns a logger that writes one JSON line per event to standard error. Messages begin with the component's
// name.
func newLog(l zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.NameKey = "part"
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(os.Stderr), l))
}
