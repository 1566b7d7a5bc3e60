package admit

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

func rejectionKind(t *testing.T, err error) reject.Kind {
	t.Helper()
	var e *reject.Error
	if !errors.As(err, &e) || e.Work != reject.WorkNotRun || e.RetryAfter <= 0 {
		t.Fatalf("got %v, want a rejection of work that was not run, with a time for the retry", err)
	}
	return e.Kind
}

// TestOrder guards against a task that blocks later tasks of other teams, of higher urgency or of fewer slots.
func TestOrder(t *testing.T) {
	q := NewQueue[string]()
	push := func(team fleet.TeamName, slots int, urgent bool, v string) *Ticket[string] {
		k, err := q.Push(Job{Team: team, Queue: "q", Slots: slots, Urgent: urgent}, v)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	push("a", 4, false, "large")
	push("a", 1, false, "small")
	cancelled := push("a", 1, true, "cancelled")
	push("a", 1, true, "urgent")
	push("b", 1, false, "other team")
	if !q.Cancel(cancelled) || q.Cancel(cancelled) {
		t.Fatal("cancelling must succeed once and then report that the task no longer waits")
	}
	for _, c := range []struct {
		team  fleet.TeamName
		slots int
		want  string
	}{{"a", 1, "urgent"}, {"a", 1, "small"}, {"a", 1, ""}, {"b", 1, "other team"}, {"a", 4, "large"}, {"a", 4, ""}} {
		got := ""
		if k, ok := q.Pop(c.team, c.slots); ok {
			got = k.Value
		}
		if got != c.want {
			t.Errorf("team %s with %d slots got %q, want %q", c.team, c.slots, got, c.want)
		}
	}
	if n := q.Waiting(); n != 0 {
		t.Errorf("%d slots still wait", n)
	}
}

// TestRefusal guards against admitting work that will miss its deadline, and against rejecting work that will not.
func TestRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue[int]()
		q.SetEstimates([]peer.Estimate{{Queue: "q", Typical: 100 * time.Millisecond, Wait: 5 * time.Second}})
		push := func(timeout time.Duration, limit int) error {
			_, err := q.Push(Job{Team: "a", Queue: "q", Deadline: time.Now().Add(timeout), Limit: limit}, 0)
			return err
		}
		if err := push(time.Second, 0); err != nil {
			t.Fatalf("an empty queue rejected work: %v", err)
		}
		if k := rejectionKind(t, push(time.Second, 0)); k != reject.KindDeadline {
			t.Fatalf("kind %s, want deadline because of the coordinator's estimate", k)
		}
		for range 30 {
			if err := push(time.Minute, 0); err != nil {
				t.Fatal(err)
			}
		}
		if k := rejectionKind(t, push(time.Minute, 31)); k != reject.KindFull {
			t.Fatalf("kind %s, want full", k)
		}
		// The entry's own rate, ten starts a second, replaces the estimate: 10 tasks wait about 1 s.
		for range 21 {
			q.Pop("a", 1)
			time.Sleep(100 * time.Millisecond)
		}
		if err := push(1500*time.Millisecond, 0); err != nil {
			t.Fatalf("work that waits 1 s was rejected with a timeout of 1.5 s: %v", err)
		}
		if k := rejectionKind(t, push(500*time.Millisecond, 0)); k != reject.KindDeadline {
			t.Fatalf("kind %s, want deadline", k)
		}
		// While nothing starts the rate falls and the expected wait grows.
		time.Sleep(9 * time.Second)
		if k := rejectionKind(t, push(10*time.Second, 0)); k != reject.KindDeadline {
			t.Fatalf("kind %s, want deadline because the pool is stalled", k)
		}
	})
}

// TestBudget guards against retries that multiply the load of an overloaded pool.
func TestBudget(t *testing.T) {
	b := NewBudget(DefaultRetries)
	retries := func() int {
		n := 0
		for b.TakeRetry() {
			n++
		}
		return n
	}
	if n := retries(); n != budgetBurst {
		t.Errorf("%d retries of a new budget, want %d", n, budgetBurst)
	}
	for range 50 {
		b.ObserveStart()
	}
	if n := retries(); n != 5 {
		t.Errorf("%d retries after 50 starts, want 5", n)
	}
}
