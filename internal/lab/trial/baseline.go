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

// rampPackage declares the steps in which a returning availability zone takes up work.
const rampPackage = "github.com/yuccahaven/yuccahaven/internal/sched/ramp"

// rampStepsDecl matches the declaration of the ramp's steps, which the baseline replaces by a single step with all
// slots.
var rampStepsDecl = regexp.MustCompile(`var shares = \[\]int\{[^}]*\}`)

var errNoRampSteps = errors.New("trial: declaration of the ramp steps not found in package ramp")

// entryBinary returns the program that the scenario runs. The program of the baseline is built from the same packages
// with the ramp's source file replaced by the -overlay flag of the Go command, so that the product needs no setting
// for it.
func (s Settings) entryBinary(ctx context.Context, c scenario) (string, error) {
	if !c.withoutRamp {
		return s.Binary, nil
	}
	dir := filepath.Join(s.Dir, "at-once")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	overlay, err := writeRampOverlay(ctx, dir)
	if err != nil {
		return "", err
	}
	return demo.Build(ctx, dir, "-overlay="+overlay)
}

// writeRampOverlay writes an overlay file for the Go command that replaces the ramp's steps, and returns its path.
func writeRampOverlay(ctx context.Context, dir string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "list", "-f", "{{.Dir}}", rampPackage).Output()
	if err != nil {
		return "", fmt.Errorf("trial: find package ramp: %w", err)
	}
	sourcePath := filepath.Join(strings.TrimSpace(string(out)), "ramp.go")
	source, err := os.ReadFile(sourcePath)
	if err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	if !rampStepsDecl.Match(source) {
		return "", errNoRampSteps
	}
	replacement := filepath.Join(dir, "ramp.go")
	overlay, err := json.Marshal(struct{ Replace map[string]string }{map[string]string{sourcePath: replacement}})
	if err != nil {
		return "", fmt.Errorf("trial: %w", err)
	}
	path := filepath.Join(dir, "overlay.json")
	return path, errors.Join(
		os.WriteFile(replacement, rampStepsDecl.ReplaceAll(source, []byte("var shares = []int{full}")), 0o644),
		os.WriteFile(path, overlay, 0o644))
}
