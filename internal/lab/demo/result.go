package demo

import (
	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Result summarizes what workers and callers recorded.
type Result struct {
	audit.Summary
	// Inside and Elsewhere count the task starts in the zone and in other zones from the acceptance of the edit that
	// takes the zone out of service until the edit that returns it is sent; Back counts the starts in the zone after
	// the acceptance of the latter.
	Inside    int `json:"inside"`
	Elsewhere int `json:"elsewhere"`
	Back      int `json:"back"`
	// Restarts counts the starts of each request after its first.
	Restarts int `json:"restarts"`
	// OutMillis and BackMillis are the times until the two edits were accepted, in milliseconds.
	OutMillis  int64          `json:"outmillis"`
	BackMillis int64          `json:"backmillis"`
	Seconds    float64        `json:"seconds"`
	Load       load.Report    `json:"load"`
	Table      store.Counters `json:"table"`
	// Connections is the largest number of simultaneous connections of any worker.
	Connections int `json:"connections"`
	// Problems are faults of the demo itself, such as an entry instance that exited without a request.
	Problems []string `json:"problems,omitempty"`
}

// Failed reports whether a guarantee that determines the exit status was violated.
func (r Result) Failed() bool {
	return r.Lost > 0 || r.Doubled > 0 || r.OverCeiling > 0 || r.LateStarts > 0
}

// zoneOutage holds the edits that took a zone out of service and returned it.
type zoneOutage struct {
	zone            fleet.AvailabilityZone
	outEdit, inEdit editTimes
}

func (r Result) withStarts(journal []record.Journal, o zoneOutage) Result {
	started := map[string]bool{}
	for _, j := range journal {
		if j.Event != record.Started {
			continue
		}
		if started[j.Key] {
			r.Restarts++
		}
		started[j.Key] = true
		out := j.Time > o.outEdit.accepted && j.Time < o.inEdit.sent
		switch {
		case out && j.Zone == o.zone:
			r.Inside++
		case out:
			r.Elsewhere++
		case j.Zone == o.zone && j.Time > o.inEdit.accepted:
			r.Back++
		}
	}
	return r
}
