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

// script lets pools take turns in demand and answers every move after the time that it takes.
type script struct {
	t        *testing.T
	planner  *Planner
	now      time.Time
	machines []Machine
	arrived  map[string]float64
	loads    map[string]Demand
}

// Guards against machines that stay where they are not needed while another queue's turn has come, against pools that
// are stripped below what their lasting tasks need, and against moves that refused machines repeat.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, planner: New(Default()), now: time.Unix(1000, 0), arrived: map[string]float64{}, loads: map[string]Demand{}}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "machines":
		s.machines = nil
		for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			s.add(l)
		}
	case "load":
		for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			pool, m := fields(l)
			s.loads[pool] = Demand{Pool: pool, Running: s.number(m["running"]), Waiting: s.number(m["waiting"]),
				LongRunning: s.number(m["lasting"]), SpreadMin: int(s.number(m["apart"]))}
		}
	case "run":
		return s.pass(d)
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

func (s *script) number(text string) int64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// add takes "pool count=N cpu=N [off] [busy] [barred=pool]".
func (s *script) add(line string) {
	pool, m := fields(line)
	_, off := m["off"]
	_, busy := m["busy"]
	for i := range s.number(m["count"]) {
		x := Machine{Name: fmt.Sprintf("%s-%02d", pool, i), Pool: pool, CPU: s.number(m["cpu"]), Off: off, Empty: !busy}
		if m["barred"] != "" {
			x.RefusedBy = []string{m["barred"]}
		}
		s.machines = append(s.machines, x)
	}
}

// pass decides five times a second for a span and counts the moves; arrivals are "pool=core-milliseconds a second".
func (s *script) pass(d *datadriven.TestData) string {
	const step = 200 * time.Millisecond
	span, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		s.t.Fatal(err)
	}
	moves := map[string]int{}
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(step) {
		for _, a := range d.CmdArgs[1:] {
			s.arrived[a.Key] += float64(s.number(a.Vals[0])) * step.Seconds()
		}
		var loads []Demand
		for _, l := range s.loads {
			l.Arrived = s.arrived[l.Pool]
			loads = append(loads, l)
		}
		slices.SortFunc(loads, func(a, b Demand) int { return strings.Compare(a.Pool, b.Pool) })
		for _, m := range s.planner.Decide(s.now, loads, s.machines, "spare") {
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
