package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
)

// rampPackage holds the steps of a zone's return.
const rampPackage = "github.com/yuccahaven/yuccahaven/internal/sched/ramp"

// rampSteps is the declaration that the baseline replaces by a single step with all slots.
var rampSteps = regexp.MustCompile(`var shares = \[\]int\{[^}]*\}`)

var errSteps = errors.New("trial: the declaration of the ramp's steps was not found")

// binary returns the scenario's program. The program of the baseline is built from the same packages, with a file of
// the ramp replaced by the -overlay flag of the Go command, so that the product needs no setting for it.
func (s Settings) binary(ctx context.Context, c scenario) (string, error) {
	if !c.atOnce {
		return s.Binary, nil
	}
	dir := filepath.Join(s.Dir, "at-once")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	overlay, err := overlayRamp(ctx, dir)
	if err != nil {
		return "", err
	}
	return demo.Build(ctx, dir, "-overlay="+overlay)
}

// overlayRamp writes an overlay for the Go command and returns its path.
func overlayRamp(ctx context.Context, dir string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.Dir}}", rampPackage).Output()
	if err != nil {
		return "", fmt.Errorf("trial: find the ramp: %w", err)
	}
	from := filepath.Join(strings.TrimSpace(string(out)), "ramp.go")
	source, err := os.ReadFile(from)
	if err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	if !rampSteps.Match(source) {
		return "", errSteps
	}
	to := filepath.Join(dir, "ramp.go")
	overlay, err := json.Marshal(struct{ Replace map[string]string }{map[string]string{from: to}})
	if err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	path := filepath.Join(dir, "overlay.json")
	return path, errors.Join(
		os.WriteFile(to, rampSteps.ReplaceAll(source, []byte("var shares = []int{full}")), 0o644),
		os.WriteFile(path, overlay, 0o644))
}
