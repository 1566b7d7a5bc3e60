package matrix

import (
	"flag"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"
)

var onlyCell = flag.String("cell", "", `run only "row/column" and print its trace`)

var seed = flag.Uint64("seed", 1, "seed of the cells")

var without = flag.String("without", "", "run the cells without a safety mechanism")

func TestMain(m *testing.M) {
	// The first meter of go-metrics starts a goroutine that never ends, which a synctest bubble does not allow.
	metrics.UseNilMetrics = true
	// Cells allocate much and retain little, so fewer collections save processor time.
	debug.SetGCPercent(800)
	flag.Parse()
	os.Exit(m.Run())
}

func runInBubble(t *testing.T, c Cell) Result {
	var r Result
	synctest.Test(t, func(*testing.T) { r = c.Run() })
	return r
}

// readRows reads the rows of the script files that match a pattern.
func readRows(t *testing.T, pattern string) []Row {
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatal("no rows", err)
	}
	var all []Row
	for _, path := range paths {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			r, err := ParseRow(strings.ReplaceAll(d.CmdArgs[0].Key, "-", " "), d.Input)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, r)
			return ""
		})
	}
	return all
}

// TestMatrix guards against violations of the design page's guarantees by a single fault at any step of a protocol.
// With the race detector it runs a sample of the cells and compares each with the golden table.
func TestMatrix(t *testing.T) {
	all := readRows(t, "testdata/*.txt")
	lines := make([]Line, len(all))
	t.Run("cells", func(t *testing.T) {
		for n, r := range all {
			lines[n] = Line{Name: r.Name, States: make([]State, len(Columns()))}
			for i, c := range Columns() {
				lines[n].States[i] = NotApplicable
				if _, skip := r.Skip[c.Name]; skip || !isSelected(r, c, n*len(Columns())+i) {
					continue
				}
				t.Run(r.Name+"/"+c.Name, func(t *testing.T) {
					if cellStride == 1 {
						t.Parallel()
					}
					lines[n].States[i] = runCell(t, r, c)
				})
			}
		}
	})
	if cellStride == 1 && *onlyCell == "" {
		goldie.New(t).Assert(t, "matrix", []byte(Table(lines)))
	}
}

func isSelected(r Row, c Column, n int) bool {
	if *onlyCell != "" {
		return *onlyCell == r.Name+"/"+c.Name
	}
	return n%cellStride == 0
}

func runCell(t *testing.T, r Row, c Column) State {
	result := runInBubble(t, Cell{Row: r, Column: c, Seed: *seed, Without: Mechanism(*without)})
	if *onlyCell != "" {
		t.Log(strings.Join(result.Trace, "\n"))
	}
	state := OK
	if !result.OK() {
		t.Logf("red: %v", result.Violations)
		state = Red
	}
	if want := goldenState(t, r, c); cellStride > 1 && *onlyCell == "" && state != want {
		t.Errorf("got %s, the golden table has %s: %v", state, want, result.Violations)
	}
	return state
}

// goldenState returns the state of a cell in the golden table.
func goldenState(t *testing.T, r Row, c Column) State {
	b, err := os.ReadFile("testdata/matrix.golden")
	if err != nil {
		return ""
	}
	lines := strings.Split(string(b), "\n")
	at := strings.Index(lines[0]+" ", " "+c.Name+" ") + 1
	for _, l := range lines[1:] {
		if strings.HasPrefix(l, r.Name+"  ") && len(l) > at {
			return State(strings.Fields(l[at:])[0])
		}
	}
	t.Fatalf("no row %q in the golden table", r.Name)
	return ""
}

// TestIsolated guards against a team over its ceiling after an entry instance is cut off and removed: its tasks still
// run when the removal delay of its grants ends.
func TestIsolated(t *testing.T) {
	r := readRows(t, "testdata/alone/isolated.txt")[0]
	c, err := column("doubled")
	if err != nil {
		t.Fatal(err)
	}
	if result := runInBubble(t, Cell{Row: r, Column: c, Seed: *seed}); !result.OK() {
		t.Errorf("%v\n%s", result.Violations, strings.Join(result.Trace, "\n"))
	}
}

// TestMechanisms guards against checks that can't fail: a cell that runs without a safety mechanism must show the
// violation that the mechanism prevents.
func TestMechanisms(t *testing.T) {
	all := readRows(t, "testdata/*.txt")
	for _, m := range []struct {
		without           Mechanism
		row, column, want string
	}{
		{ReservationExpiry, "start", "frozen long", "latestarts"},
		{Freshness, "reserve", "cut", "latestarts"},
		{ClaimRecord, "start", "entry killed", "doubled"},
		{WorkerFence, "start", "late", "doubled"},
		{GrantRemovalDelay, "grant settled", "doubled", "overceiling"},
		{Majority, "edit confirmed", "store down", "notinforce"},
		{Grants, "grant taken", "doubled", "overceiling"},
		{LeaseWait, "await", "silent", "overceiling"},
		{HeadCondition, "drain", "operators race", "reverted"},
		{BudgetCheck, "drain", "operators race", "underbudget"},
	} {
		t.Run(string(m.without), func(t *testing.T) {
			c, err := column(m.column)
			if err != nil {
				t.Fatal(err)
			}
			i := slices.IndexFunc(all, func(r Row) bool { return r.Name == m.row })
			result := runInBubble(t, Cell{Row: all[i], Column: c, Seed: *seed, Without: m.without})
			if !slices.Contains(result.Violations, m.want) {
				t.Errorf("got %v, want %s\n%s", result.Violations, m.want, strings.Join(result.Trace, "\n"))
			}
		})
	}
}

// TestSameTrace guards against cells that can't be reproduced from their seed. Neither the order of goroutines that
// become ready at the same moment nor that of a map is reproducible, so it runs only cells in which no two tasks of one
// entry instance are granted at once.
func TestSameTrace(t *testing.T) {
	all := readRows(t, "testdata/*.txt")
	for _, name := range []string{
		"drain/entry killed", "zone out/silent", "edit pushed/operators race", "admission/doubled", "reserve/store down",
		"claim/store slow", "start/reply lost", "result/worker killed",
	} {
		t.Run(name, func(t *testing.T) {
			row, fault, _ := strings.Cut(name, "/")
			c, err := column(fault)
			if err != nil {
				t.Fatal(err)
			}
			i := slices.IndexFunc(all, func(r Row) bool { return r.Name == row })
			x := Cell{Row: all[i], Column: c, Seed: *seed}
			first, second := runInBubble(t, x).Trace, runInBubble(t, x).Trace
			if len(first) != len(second) {
				t.Errorf("%d lines, then %d", len(first), len(second))
			}
			for i := range min(len(first), len(second)) {
				if first[i] != second[i] {
					t.Fatalf("line %d:\n%s\n%s", i, first[i], second[i])
				}
			}
		})
	}
}
