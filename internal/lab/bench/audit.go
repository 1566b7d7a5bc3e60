package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
)

// ErrViolations is returned if the records of a trial violate a guarantee.
var ErrViolations = errors.New("audit: the trial has violations")

func addAudit(app *kingpin.Application) command {
	c := app.Command("audit", "Check the records of a trial; exits with 1 on a violation.")
	journals := c.Flag("journal", "Journal of one or more workers; may be repeated.").Required().ExistingFiles()
	calls := c.Flag("calls", "Records of callers' requests; may be repeated.").ExistingFiles()
	edits := c.Flag("edits", "Records of operators' edits; may be repeated.").ExistingFiles()
	return command{c, func(_ context.Context, out io.Writer, _ *zap.Logger) error {
		var in audit.Input
		if err := errors.Join(
			readFiles(*journals, &in.Journal), readFiles(*calls, &in.Calls), readFiles(*edits, &in.Edits),
		); err != nil {
			return err
		}
		s := audit.Run(in)
		if err := json.NewEncoder(out).Encode(s); err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		if !s.Clean() {
			return ErrViolations
		}
		return nil
	}}
}

func readFiles[R record.Kind](paths []string, into *[]R) error {
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		records, err := record.Read[R](f)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("audit: %s: %w", p, err)
		}
		*into = append(*into, records...)
	}
	return nil
}
