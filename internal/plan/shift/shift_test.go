package shift

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// simulation runs the planner on scripted demand; a move takes effect in the next step.
type simulation struct {
	t        *testing.T
	planner  *Planner
	now      time.Time
	machines []Machine
	arrived  map[string]float64
	demands  map[string]Demand
}

// TestScripts guards against machines that stay in pools that don't need them while another pool's demand is high,
// against pools that lose machines that their long-running tasks need, against repeated moves of refused machines, against
// pools that get no machines because others with a backlog never have an empty one, and
// against machines that come a move's time after the demand that they are for.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &simulation{t: t, planner: New(Default()), now: time.Unix(1000, 0),
			arrived: map[string]float64{}, demands: map[string]Demand{}}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

func (s *simulation) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "machines":
		s.machines = nil
		for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			s.addMachines(l)
		}
	case "load":
		for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			pool, m := fields(l)
			s.demands[pool] = Demand{Pool: pool, Running: s.number(m["running"]), Waiting: s.number(m["waiting"]),
				LongRunning: s.number(m["lasting"]), SpreadMin: int(s.number(m["apart"]))}
		}
	case "run":
		return s.simulate(d)
	default:
		s.t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func fields(line string) (string, map[string]string) {
	words := strings.Fields(line)
	m := map[string]string{}
	for _, w := range words[1:] {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return words[0], m
}

func (s *simulation) number(text string) int64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// addMachines takes "pool count=N cpu=N [off] [busy] [drain=milliseconds] [barred=pool]".
func (s *simulation) addMachines(line string) {
	pool, m := fields(line)
	_, off := m["off"]
	_, busy := m["busy"]
	for i := range s.number(m["count"]) {
		x := Machine{Name: fmt.Sprintf("%s-%02d", pool, i), Pool: pool, CPU: s.number(m["cpu"]), Off: off,
			Empty: !busy && m["drain"] == "", Drainable: m["drain"] != "",
			DrainTime: time.Duration(s.number(m["drain"])) * time.Millisecond}
		if m["barred"] != "" {
			x.RefusedBy = []string{m["barred"]}
		}
		s.machines = append(s.machines, x)
	}
}

// simulate decides five times per second for a time span and counts the moves; arrivals are given as
// "pool=core-milliseconds per second", or "pool=from..to" if they change evenly over the span.
func (s *simulation) simulate(d *datadriven.TestData) string {
	const step = 200 * time.Millisecond
	span, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		s.t.Fatal(err)
	}
	moves := map[string]int{}
	began := s.now
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(step) {
		for _, a := range d.CmdArgs[1:] {
			from, to, changes := strings.Cut(a.Vals[0], "..")
			if !changes {
				to = from
			}
			progress := s.now.Sub(began).Seconds() / span.Seconds()
			rate := float64(s.number(from)) + progress*float64(s.number(to)-s.number(from))
			s.arrived[a.Key] += rate * step.Seconds()
		}
		var demands []Demand
		for _, x := range s.demands {
			x.Arrived = s.arrived[x.Pool]
			demands = append(demands, x)
		}
		slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Pool, b.Pool) })
		for _, m := range s.planner.Decide(s.now, demands, s.machines, "spare") {
			moves[m.From+" to "+m.To]++
			i := slices.IndexFunc(s.machines, func(x Machine) bool { return x.Name == m.Machine })
			s.machines[i].Pool, s.machines[i].Off = m.To, m.To == "spare"
		}
	}
	var out []string
	for k, n := range moves {
		out = append(out, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}
