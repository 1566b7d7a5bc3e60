package policy

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// measurement measures one policy against its baselines.
type measurement struct {
	name string
	run  func(o options) []table
}

var measurements = []measurement{
	{"shares", measureShares},
	{"urgent", measureUrgency},
	{"zones", measureZones},
	{"faults", measureFaults},
	{"overload", measureOverload},
	{"cancels", measureCancellations},
}

// Register adds the command "measure" to an application.
func Register(app *kingpin.Application) {
	c := app.Command("measure", "Measure the scheduling policies against plain baselines with fixed seeds.")
	var names []string
	for _, m := range measurements {
		names = append(names, m.name)
	}
	only := c.Arg("policy", "Policies to measure, all by default: "+strings.Join(names, ", ")+".").Enums(names...)
	seeds := c.Flag("seeds", "Number of seeds, from 1 on.").Envar("YUCCALAB_SEEDS").Default("5").Int()
	length := c.Flag("length", "Simulated time per run.").Envar("YUCCALAB_LENGTH").Default("10m").Duration()
	c.Action(func(*kingpin.ParseContext) error {
		return Measure(os.Stdout, *seeds, *length, *only...)
	})
}

// Measure runs the named measurements, or all if no name is given, and prints one or more tables for each.
func Measure(w io.Writer, seeds int, length time.Duration, names ...string) error {
	if seeds < 1 || length < 2*time.Minute {
		return fmt.Errorf("policy: %d seeds of %v: want at least one seed and 2m", seeds, length)
	}
	for _, m := range measurements {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		for _, t := range m.run(options{seeds: seeds, length: length}) {
			if err := t.print(w); err != nil {
				return err
			}
		}
	}
	return nil
}
