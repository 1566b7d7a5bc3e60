package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Report is the service-level report of all entry instances that answered.
type Report struct {
	Queues []Queue `json:"queues"`
	// Entries is the number of entry instances whose requests are included; Missing lists those that did not answer.
	Entries int             `json:"entries"`
	Missing []fleet.EntryID `json:"missing,omitempty"`
}

// Queue is the report on one queue.
type Queue struct {
	Queue fleet.QueueName `json:"queue"`
	// Objective is the percentage of requests that must be answered within Within.
	Objective float64  `json:"objective"`
	Within    string   `json:"within"`
	Windows   []Window `json:"windows"`
	// Remaining is the unused percentage of the error budget of the longest window. It is negative if more requests
	// failed than the objective allows.
	Remaining float64 `json:"remaining"`
}

// Window is the tally of a queue in one rolling window.
type Window struct {
	Window string `json:"window"`
	Tally
	// Burn is the burn rate: 1 uses up the error budget in exactly the window's length, 10 in a tenth of it.
	Burn float64 `json:"burn"`
}

// NewReport compares counts with the objectives of a document.
func NewReport(d fleet.Document, c Counts) Report {
	r := Report{Queues: []Queue{}}
	c = c.Plus(nil)
	for _, name := range queueNames(d) {
		s := d.Queues[name]
		q := Queue{Queue: name, Objective: s.Objective, Within: s.Within.String()}
		for i, length := range windowLengths {
			var t Tally
			if tallies, ok := c[name]; ok {
				t = tallies[i]
			}
			q.Windows = append(q.Windows, Window{Window: formatLength(length), Tally: t, Burn: burnRate(t, s.Objective)})
		}
		q.Remaining = 100 * (1 - q.Windows[len(q.Windows)-1].Burn)
		r.Queues = append(r.Queues, q)
	}
	return r
}

// burnRate returns the burn rate of a tally; 0 without requests.
func burnRate(t Tally, objective float64) float64 {
	total := t.Good + t.Bad
	if total == 0 {
		return 0
	}
	return float64(t.Bad) / float64(total) / (1 - objective/100)
}

func formatLength(d time.Duration) string {
	return strings.TrimSuffix(strings.TrimSuffix(d.String(), "0s"), "0m")
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "QUEUE\tOBJECTIVE\tWINDOW\tGOOD\tBAD\tBURN\tBUDGET LEFT")
	for _, q := range r.Queues {
		for i, x := range q.Windows {
			name, objective, left := "", "", ""
			if i == 0 {
				name, objective = string(q.Queue), fmt.Sprintf("%g%% in %s", q.Objective, q.Within)
			}
			if i == len(q.Windows)-1 {
				left = fmt.Sprintf("%.1f%%", q.Remaining)
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%.2f\t%s\n", name, objective, x.Window, x.Good, x.Bad, x.Burn, left)
		}
	}
	_, _ = fmt.Fprintf(t, "entry instances: %d", r.Entries)
	if len(r.Missing) > 0 {
		_, _ = fmt.Fprintf(t, ", no answer from %v", r.Missing)
	}
	_, _ = fmt.Fprintln(t)
	return t.Flush()
}
