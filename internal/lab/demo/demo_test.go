package demo

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// TestPoolRecorder guards against pool changes that are not recorded for the checker, and against a move between pools
// recorded as a removal; either would hide violations of budgets or report false ones.
func TestPoolRecorder(t *testing.T) {
	edits := &record.Log[record.Edit]{}
	p := newPoolRecorder(edits)
	printed := 0
	datadriven.RunTest(t, "testdata/follower", func(t *testing.T, d *datadriven.TestData) string {
		var tr table.Transaction
		for _, line := range strings.Split(d.Input, "\n") {
			tr.Writes = append(tr.Writes, poolWrite(t, strings.Fields(line)))
		}
		p.observe(tr)
		var out strings.Builder
		for _, e := range edits.Records()[printed:] {
			fmt.Fprintf(&out, "%s pool=%s zone=%s status=%s\n", e.Instance, e.Pool, e.Zone, e.Status)
		}
		printed = len(edits.Records())
		return out.String()
	})
}

// poolWrite reads "<key> <instance>/<zone>/<state>...", or "-<key>" for a deletion.
func poolWrite(t *testing.T, f []string) table.Write {
	if key, ok := strings.CutPrefix(f[0], "-"); ok {
		return table.Write{Key: key, Delete: true}
	}
	members := []fleet.PoolMember{}
	for _, s := range f[1:] {
		p := strings.Split(s, "/")
		members = append(members, fleet.PoolMember{
			ID: fleet.InstanceID(p[0]), Zone: fleet.AvailabilityZone(p[1]), State: fleet.InstanceState(p[2]),
		})
	}
	b, err := json.Marshal(members)
	if err != nil {
		t.Fatal(err)
	}
	return table.Write{Key: f[0], Value: b}
}

// TestResultFails guards against a result that passes although a guarantee was violated.
func TestResultFails(t *testing.T) {
	var r Result
	if r.Failed() {
		t.Fatal("an empty result fails")
	}
	for _, n := range []*int{&r.Lost, &r.Doubled, &r.OverCeiling, &r.LateStarts} {
		*n = 1
		if !r.Failed() {
			t.Errorf("result passes: %+v", r.Summary)
		}
		*n = 0
	}
}

// TestArgsContainEverySetting guards against entry instances that are started without one of their settings.
func TestArgsContainEverySetting(t *testing.T) {
	e := Entry{Name: "n", Zone: "z", Listen: "l", Peer: "p", Table: "t", Object: "o", Roster: "r", PeerToken: "x", AdminToken: "y"}
	want := []string{"serve", "--name=n", "--zone=z", "--listen=l", "--peer-listen=p", "--table=t", "--object=o",
		"--roster=r", "--peer-token=x", "--admin-token=y"}
	if got := e.Args(); !slices.Equal(got, want) {
		t.Errorf("arguments %q, want %q", got, want)
	}
}
