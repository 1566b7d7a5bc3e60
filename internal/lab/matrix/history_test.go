package matrix

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var (
	histories = flag.Int("histories", 16, "number of random histories")
	firstSeed = flag.Int("firstseed", 1, "seed of the first random history")
)

// momentFaults are the faults that can be injected at a moment instead of a message.
var momentFaults = []string{"entry killed", "frozen long", "frozen short", "store down", "store slow", "reply lost",
	"list lags", "lease lapsed", "operators race", "worker killed"}

// drawCommand draws a request, an edit or a pause at some entry instance.
func drawCommand(t *rapid.T) string {
	at := " at=" + rapid.SampledFrom([]string{"lead", "next", "last"}).Draw(t, "at")
	ms := func(name string, most int) string {
		return fmt.Sprintf("%dms", rapid.IntRange(1, most).Draw(t, name))
	}
	return rapid.Custom(func(t *rapid.T) string {
		switch rapid.IntRange(0, 8).Draw(t, "kind") {
		case 0, 1:
			return fmt.Sprintf("submit n=%d once run=%s", rapid.IntRange(1, 3).Draw(t, "n"), ms("run", 4000)) + at
		case 2:
			return fmt.Sprintf("submit n=%d run=%s", rapid.IntRange(1, 6).Draw(t, "n"), ms("run", 3000)) + at
		case 3:
			return "submit async once run=" + ms("run", 2000) + at
		case 4:
			z := rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone")
			return "zone " + z + " " + rapid.SampledFrom([]string{"in", "out"}).Draw(t, "state") + at
		case 5:
			return fmt.Sprintf("ceiling to=%d", rapid.IntRange(1, 6).Draw(t, "ceiling")) + at
		case 6:
			return rapid.SampledFrom([]string{"drain", "undrain"}).Draw(t, "verb") +
				fmt.Sprintf(" w%d", rapid.IntRange(1, 5).Draw(t, "worker")) + at
		case 7:
			return fmt.Sprintf("move w%d side", rapid.IntRange(1, 4).Draw(t, "worker")) + at
		}
		return "wait " + ms("wait", 3000)
	}).Draw(t, "command")
}

// drawHistory draws a row of random commands with one fault among them.
func drawHistory(t *rapid.T) Cell {
	lines := func(name string, least, most int) []string {
		return rapid.SliceOfN(rapid.Custom(drawCommand), least, most).Draw(t, name)
	}
	entry := rapid.SampledFrom([]string{"lead", "next", "last"}).Draw(t, "entry")
	r := Row{Name: "history", Entry: entry, Step: fmt.Sprintf("after %dms", rapid.IntRange(1, 5000).Draw(t, "moment")),
		Before: lines("before", 0, 4), Do: lines("do", 1, 6), During: lines("during", 0, 4), Race: lines("race", 2, 3)}
	c, err := column(rapid.SampledFrom(momentFaults).Draw(t, "fault"))
	if err != nil {
		panic(err)
	}
	return Cell{Row: r, Column: c, Seed: rapid.Uint64().Draw(t, "seed")}
}

// TestRandomHistories guards against violations in sequences of commands that no row of the matrix describes. For a
// longer run: go test -run TestRandomHistories -histories 2000.
func TestRandomHistories(t *testing.T) {
	g := rapid.Custom(drawHistory)
	for seed := *firstSeed; seed < *firstSeed+*histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := g.Example(seed)
			if r := runInBubble(t, c); !r.OK() {
				t.Errorf("%v under %q\nentry %s, %s\nbefore %q\ndo %q\nduring %q\nrace %q\n%s", r.Violations,
					c.Column.Name, c.Row.Entry,
					c.Row.Step, c.Row.Before, c.Row.Do, c.Row.During, c.Row.Race, strings.Join(r.Trace, "\n"))
			}
		})
	}
}
