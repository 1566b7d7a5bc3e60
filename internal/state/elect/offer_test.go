package elect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
)

// Guards against a handover that takes as long as a takeover from a leader that has failed, against one to an instance
// that is hardly better suited, and against an offer that counts in a later term.
func TestOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(fakes.NewTable(), map[string]time.Duration{"a": 0, "b": time.Second})
		time.Sleep(10 * time.Second)
		for _, l := range e.links {
			l.SetFaults(fakes.Faults{Delay: 10 * time.Millisecond})
		}
		offer := func(to string, delay time.Duration) bool {
			r, ok := e.electors[to].Leader()
			return ok && e.electors[to].AcceptOffer(r, delay)
		}
		if offer("b", time.Second+elect.HandoverMargin-1) {
			t.Error("an instance that is hardly better suited accepted")
		}
		if !offer("b", time.Minute) {
			t.Error("a better suited instance declined")
		}
		// A read and a write of the leader record, once more after a transaction of the former leader.
		time.Sleep(100 * time.Millisecond)
		if n := e.acquisitionsBy("b"); n != 1 {
			t.Errorf("acquired leadership %d times within 100 ms of the offer", n)
		}
		time.Sleep(20 * time.Second)
		if n := e.acquisitions(); n != 2 {
			t.Errorf("%d terms after one offer", n)
		}
		// The record of the first term, whose leader no longer leads.
		if e.electors["a"].AcceptOffer(elect.LeaderRecord{Name: "a", Boot: "same", Address: "a", Term: 1}, time.Minute) {
			t.Error("an offer of a former leader was accepted")
		}
		e.stop()
	})
}
