package peer

import "testing"

// Guards against a result that the leader sends and the caller's side rejects as an invalid message: the caller tried again
// until its deadline and answered that the outcome is unknown.
func TestResultsValid(t *testing.T) {
	for _, r := range []Result{Accepted, NotFound, Impossible, NoQueue, WrongKey, NotLeader, Unknown} {
		if err := (JobReply{Result: r}).Validate(); err != nil {
			t.Errorf("reply about a job with %q: %v", r, err)
		}
		if err := (WaitingReply{Result: r}).Validate(); err != nil {
			t.Errorf("number of waiting jobs with %q: %v", r, err)
		}
	}
	if err := (JobReply{Result: "other"}).Validate(); err == nil {
		t.Error("an unknown result is valid")
	}
}
