package policy

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/sched/health"
)

// TestUrgentBound guards against urgent work within its team's share that starts later than the bound of the design
// page.
func TestUrgentBound(t *testing.T) {
	for seed := range uint64(3) {
		w := urgentRun(urgencyPolicies[len(urgencyPolicies)-1], seed+1, 2*time.Minute)
		if len(w.urgent) == 0 {
			t.Fatalf("seed %d: no urgent work", seed+1)
		}
		if got := quantile(w.urgent, 1); got > urgentBound.Seconds() {
			t.Errorf("seed %d: urgent work waited %.2f s, the bound is %v", seed+1, got, urgentBound)
		}
	}
}

// TestRepeatable guards against results that differ between two runs with the same seeds.
func TestRepeatable(t *testing.T) {
	run := func() string {
		l := shareRun(sharingPolicies()[0], 1, time.Minute)
		w := health.NewMonitor()
		w.Resize(poolWorkers, health.DefaultPercent)
		return fmt.Sprint(l.used, zoneRun(zoneChanges[3], "cold", zoneTeams, 1), faultRun(faultCases[1], w, 1),
			overloadRun(taskQueues[2].build, 1.2, 1))
	}
	if a, b := run(), run(); a != b {
		t.Errorf("two runs differ:\n%s\n%s", a, b)
	}
}

// TestBaselines guards against a mechanism whose results are worse than those of a baseline without it.
func TestBaselines(t *testing.T) {
	doneWhileFailing := func(c zoneChange) float64 { return zoneRun(c, "failing", zoneTeams, 1).done }
	if ramped, atOnce := doneWhileFailing(zoneChanges[3]), doneWhileFailing(zoneChanges[2]); ramped <= atOnce {
		t.Errorf("a failing zone completes %.0f tasks by steps and %.0f at once", ramped, atOnce)
	}
	with := shareRun(sharingPolicies()[len(sharingPolicies())-1], 1, 2*time.Minute).shareErrors(10 * time.Second)
	without := shareRun(sharingPolicies()[0], 1, 2*time.Minute).shareErrors(10 * time.Second)
	if average(with) >= average(without) {
		t.Errorf("%.1f %% of the slots go to the wrong team, %.1f %% without shares", average(with), average(without))
	}
	limited, free := retryRun(true, 1), retryRun(false, 1)
	if limited.attempts/limited.tasks > 1.2 || quantile(limited.after, 0.99) >= quantile(free.after, 0.99) {
		t.Errorf("the retry budget allowed %.2f attempts per task", limited.attempts/limited.tasks)
	}
}

// TestRegister guards against a command line that kingpin rejects and against a measurement without seeds.
func TestRegister(t *testing.T) {
	app := kingpin.New("yuccalab", "test").Terminate(nil)
	Register(app)
	if _, err := app.ParseContext([]string{"measure", "--seeds", "1", "--length", "2m", "cancels"}); err != nil {
		t.Error(err)
	}
	if err := Measure(&bytes.Buffer{}, 0, time.Minute); err == nil {
		t.Error("a measurement without seeds was accepted")
	}
}
