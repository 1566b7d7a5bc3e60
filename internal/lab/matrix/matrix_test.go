package matrix

import (
	"flag"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"
)

var only = flag.String("cell", "", `run only "row/column" and print its trace`)

func TestMain(m *testing.M) {
	// The first meter of go-metrics starts a goroutine that never ends, which a bubble does not allow.
	metrics.UseNilMetrics = true
	flag.Parse()
	os.Exit(m.Run())
}

func run(t *testing.T, c Cell) Result {
	var r Result
	synctest.Test(t, func(*testing.T) { r = c.Run() })
	return r
}

// rows reads every row of the data files.
func rows(t *testing.T) []Row {
	var all []Row
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.HasSuffix(path, ".golden") {
			return
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			r, err := ParseRow(strings.ReplaceAll(d.CmdArgs[0].Key, "-", " "), d.Input)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, r)
			return ""
		})
	})
	return all
}

// TestMatrix guards against every broken promise that a single fault at any step of a protocol can cause.
func TestMatrix(t *testing.T) {
	all := rows(t)
	lines := make([]Line, len(all))
	t.Run("cells", func(t *testing.T) {
		for n, r := range all {
			lines[n] = Line{Name: r.Name, States: make([]State, len(Columns()))}
			for i, c := range Columns() {
				lines[n].States[i] = NotApplicable
				if _, skip := r.Skip[c.Name]; skip || *only != "" && *only != r.Name+"/"+c.Name {
					continue
				}
				t.Run(r.Name+"/"+c.Name, func(t *testing.T) {
					t.Parallel()
					lines[n].States[i] = cell(t, r, c)
				})
			}
		}
	})
	if *only == "" {
		goldie.New(t).Assert(t, "matrix", []byte(Table(lines)))
	}
}

func cell(t *testing.T, r Row, c Column) State {
	x := Cell{Row: r, Column: c, Seed: 1}
	if os.Getenv("MATRIX_LOG") != "" {
		x.Log, _ = zap.NewDevelopment()
	}
	result := run(t, x)
	if *only != "" {
		t.Log(strings.Join(result.Trace, "\n"))
	}
	if !result.Ok() {
		t.Logf("red: %v", result.Violations)
		return Red
	}
	return OK
}
