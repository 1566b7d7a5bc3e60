package demo

import (
	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Result is what workers and callers recorded.
type Result struct {
	audit.Summary
	// Inside and Elsewhere count the starts in the zone and in other zones between the acceptance of its departure
	// and the request for its return; Back those in the zone after the acceptance of its return.
	Inside    int `json:"inside"`
	Elsewhere int `json:"elsewhere"`
	Back      int `json:"back"`
	// Restarts counts the starts of requests beyond their first.
	Restarts int `json:"restarts"`
	// OutMillis and BackMillis are how long the two edits took to be accepted, in milliseconds.
	OutMillis  int64          `json:"outmillis"`
	BackMillis int64          `json:"backmillis"`
	Seconds    float64        `json:"seconds"`
	Load       load.Report    `json:"load"`
	Table      store.Counters `json:"table"`
	// Connections is the largest number of connections that a worker had open at once.
	Connections int `json:"connections"`
	// Problems are faults of the demo itself, such as an entry instance that ended by itself.
	Problems []string `json:"problems,omitempty"`
}

// Failed reports whether a guarantee that decides about the exit status was broken.
func (r Result) Failed() bool {
	return r.Lost > 0 || r.Doubled > 0 || r.OverCeiling > 0 || r.LateStarts > 0
}

// absence is when a zone was out of service.
type absence struct {
	zone      fleet.AvailabilityZone
	out, back span
}

func (r Result) withStarts(journal []record.Journal, a absence) Result {
	seen := map[string]bool{}
	for _, j := range journal {
		if j.Event != record.Started {
			continue
		}
		if seen[j.Key] {
			r.Restarts++
		}
		seen[j.Key] = true
		out := j.Time > a.out.accepted && j.Time < a.back.sent
		switch {
		case out && j.Zone == a.zone:
			r.Inside++
		case out:
			r.Elsewhere++
		case j.Zone == a.zone && j.Time > a.back.accepted:
			r.Back++
		}
	}
	return r
}
