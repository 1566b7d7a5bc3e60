// Package matrix injects every fault of the failure model into every step of the protocols, on the fake clock of
// synctest, and checks the guarantees of the design page.
package matrix

import (
	"fmt"
	"strings"
)

// State is the outcome of one cell.
type State string

// The outcomes of cells.
const (
	OK            State = "ok"
	NotApplicable State = "n-a"
	Red           State = "red"
)

// Line is a row of the table.
type Line struct {
	Name   string
	States []State // by column
}

// Table formats the matrix, with the numbers of cells by state.
func Table(lines []Line) string {
	var out strings.Builder
	columns := Columns()
	fmt.Fprintf(&out, "%-22s", "")
	for _, c := range columns {
		fmt.Fprintf(&out, " %-*s", width(c), c.Name)
	}
	counts := map[State]int{}
	out.WriteString("\n")
	for _, l := range lines {
		fmt.Fprintf(&out, "%-22s", l.Name)
		for i, s := range l.States {
			fmt.Fprintf(&out, " %-*s", width(columns[i]), s)
			counts[s]++
		}
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "\n%d rows, %d faults, %d cells run: %d ok, %d red; %d n-a\n", len(lines), len(columns),
		counts[OK]+counts[Red], counts[OK], counts[Red], counts[NotApplicable])
	return out.String()
}

func width(c Column) int { return max(len(c.Name), len(NotApplicable)) }
