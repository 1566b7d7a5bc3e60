package slope

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
)

// Register adds the command "fit" to app.
func Register(app *kingpin.Application) {
	c := app.Command("fit", "Fit lines to benchmark results, as printed by go test -bench.")
	file := c.Arg("file", "File of results; standard input by default.").ExistingFile()
	planned := c.Flag("at", "Planned size, such as workers=30000; may be repeated.").StringMap()
	units := c.Flag("unit", "Unit to show, such as sec/op; may be repeated, all by default.").Strings()
	c.Action(func(*kingpin.ParseContext) error { return run(*file, *planned, *units) })
}

func run(file string, planned map[string]string, units []string) error {
	in := io.Reader(os.Stdin)
	if file != "" {
		f, err := os.Open(file)
		if err != nil {
			return fmt.Errorf("slope: %w", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	plan := map[string]float64{}
	for key, value := range planned {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("slope: planned size of %s: %w", key, err)
		}
		plan[key] = n
	}
	samples, err := Read(in)
	if err != nil {
		return err
	}
	return Write(os.Stdout, Fits(samples), plan, units)
}
