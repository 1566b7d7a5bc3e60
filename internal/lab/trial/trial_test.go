package trial

import (
	"math"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const second = record.Stamp(time.Second)

func taskJournal(key, team string, start, end record.Stamp) []record.Journal {
	started := record.Journal{
		Event: record.Started, Time: start, Instance: "w", Pool: "pool-1", Team: fleet.TeamName(team), Key: key,
		Task: fleet.TaskID(key), Slots: 1,
	}
	ended := started
	ended.Event, ended.Time = record.Ended, end
	return []record.Journal{started, ended}
}

// Guards against figures that count slot time outside the measured part of a run, or that leave out tasks that still
// run at the end.
func TestMisallocatedSlots(t *testing.T) {
	var journal []record.Journal
	journal = append(journal, taskJournal("a", "one", 0, 20*second)...)
	journal = append(journal, taskJournal("b", "one", 0, 20*second)...)
	journal = append(journal, taskJournal("c", "two", 9*second, 30*second)[0])
	r := trace{
		length: 14 * time.Second, tasks: taskRuns(journal),
		scenario: scenario{customers: []demo.Customer{
			{Name: "one", Pool: "pool-1", Share: 2}, {Name: "two", Pool: "pool-1", Share: 1},
		}},
	}
	// Until 9 s team one uses every slot, a third of which the other team is entitled to; then both get their shares.
	mean, worst := r.misallocated("pool-1", 5*time.Second)
	if math.Abs(worst-100.0/3) > 1e-6 || math.Abs(mean-50.0/3) > 1e-6 {
		t.Errorf("mean %.2f and worst %.2f percent misallocated, want 16.67 and 33.33", mean, worst)
	}
}

// Guards against a lag that counts from the wrong surge, or that is left out because the ceiling was never reached.
func TestSurgeLags(t *testing.T) {
	r := trace{length: 40 * time.Second, scenario: scenario{customers: []demo.Customer{{Name: "one", Ceiling: 1}}}}
	for _, at := range []record.Stamp{10, 20} {
		r.calls = append(r.calls, record.Call{Event: record.Submitted, Team: "one", Time: at * second},
			record.Call{Event: record.Answered, Team: "one", Time: (at + 5) * second})
	}
	r.tasks = taskRuns(taskJournal("a", "one", 12*second, 14*second))
	if got := r.surgeLags(); got.Count != 2 || got.P50 != 2000 || got.Max != 5000 {
		t.Errorf("lags %v, want one of 2 s and one of 5 s, the length of the request", got)
	}
}

// Guards against a baseline that equals the product because the declaration of the ramp's steps was not replaced.
func TestBaselineReplacesSteps(t *testing.T) {
	if _, err := writeRampOverlay(t.Context(), t.TempDir()); err != nil {
		t.Fatal(err)
	}
}

// Guards against an even load in a scenario that asks for a skewed one.
func TestSkewEndpoints(t *testing.T) {
	count := map[string]int{}
	for _, u := range skewEndpoints([]string{"a", "b", "c"}, 4) {
		count[u]++
	}
	if count["b"] != 2 || count["a"] != 1 || count["c"] != 1 {
		t.Errorf("endpoints %v, want half of them b", count)
	}
}
