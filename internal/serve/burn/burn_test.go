package burn_test

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/serve/burn"
)

var quotes = fleet.QueueSection{Objective: 99, Within: 2 * time.Second}

func tallies(t *testing.T, r *burn.Recorder) []burn.Tally {
	t.Helper()
	c := r.Counts()["quotes"]
	if len(c) != 3 {
		t.Fatalf("%d windows, want 3", len(c))
	}
	return c
}

// Guards against requests that are counted after the length of a window has passed, and against requests that leave a
// window too early.
func TestWindowsRoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := burn.NewRecorder()
		r.Record("quotes", quotes, time.Second, nil)
		for _, c := range []struct {
			after time.Duration
			want  [3]uint64
		}{
			{0, [3]uint64{1, 1, 1}},
			{5*time.Minute - time.Second, [3]uint64{1, 1, 1}},
			{10 * time.Second, [3]uint64{0, 1, 1}},
			{54 * time.Minute, [3]uint64{0, 1, 1}},
			{3 * time.Minute, [3]uint64{0, 0, 1}},
			{5 * time.Hour, [3]uint64{0, 0, 1}},
			{30 * time.Minute, [3]uint64{0, 0, 0}},
			{1000 * time.Hour, [3]uint64{0, 0, 0}},
		} {
			time.Sleep(c.after)
			for i, tally := range tallies(t, r) {
				if tally.Good != c.want[i] {
					t.Errorf("%v later: window %d counts %d, want %d", c.after, i, tally.Good, c.want[i])
				}
			}
		}
	})
}

// Guards against rejections counted as good instead of bad or the reverse, and against caller errors being counted.
func TestRecordKinds(t *testing.T) {
	for _, c := range []struct {
		name string
		took time.Duration
		err  error
		want burn.Tally
	}{
		{"in time", time.Second, nil, burn.Tally{Good: 1}},
		{"late", 3 * time.Second, nil, burn.Tally{Bad: 1}},
		{"task failed in time", time.Second, reject.New(reject.KindFailed, reject.WorkRun, ""), burn.Tally{Good: 1}},
		{"full", 0, reject.New(reject.KindFull, reject.WorkNotRun, ""), burn.Tally{Bad: 1}},
		{"fault", 0, errors.New("fault"), burn.Tally{Bad: 1}},
		{"wrong key", 0, reject.New(reject.KindKey, reject.WorkNotRun, ""), burn.Tally{}},
		{"cancelled", 0, reject.New(reject.KindCancelled, reject.WorkNotRun, ""), burn.Tally{}},
	} {
		r := burn.NewRecorder()
		r.Record("quotes", quotes, c.took, c.err)
		var got burn.Tally
		if x := r.Counts()["quotes"]; len(x) > 0 {
			got = x[0]
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a wrong burn rate, a wrong sum over entry instances and a report that leaves out idle queues.
func TestReport(t *testing.T) {
	d := fleet.Document{Queues: map[fleet.QueueName]fleet.QueueSection{"quotes": quotes, "idle": quotes}}
	a := burn.Counts{"quotes": {{Good: 90, Bad: 10}, {Good: 990, Bad: 10}, {Good: 1990, Bad: 10}}}
	b := burn.Counts{"quotes": {{Good: 100}, {Good: 1000}, {Good: 2000}, {Good: 1}}, "removed": {{Bad: 1}}}
	r := burn.NewReport(d, a.Plus(b))
	r.Entries, r.Missing = 2, []fleet.EntryID{"c.1"}
	var out bytes.Buffer
	if err := r.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "report", out.Bytes())
}
