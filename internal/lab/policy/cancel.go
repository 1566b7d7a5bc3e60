package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
)

// measureCancellations measures the time of one cancellation while every waiting task is cancelled, in random order.
func measureCancellations(options) []table {
	t := table{
		Title: "Cancellation flood: time per cancellation, nanoseconds (wall clock, varies between runs)",
		Head:  []string{"waiting tasks", "search in a slice", "list (product)"},
	}
	for _, n := range []int{1_000, 10_000, 100_000} {
		order := rand.New(rand.NewPCG(1, 1)).Perm(n)
		t.Rows = append(t.Rows, []string{fmt.Sprint(n), fmt.Sprint(cancelBySearch(order)), fmt.Sprint(cancelByList(order))})
	}
	return []table{t}
}

func cancelBySearch(order []int) int64 {
	waiting := make([]int, len(order))
	for i := range waiting {
		waiting[i] = i
	}
	// A tenth of the cancellations is enough for the slow baseline.
	sample := order[:len(order)/10]
	from := time.Now()
	for _, id := range sample {
		i := slices.Index(waiting, id)
		waiting = slices.Delete(waiting, i, i+1)
	}
	return time.Since(from).Nanoseconds() / int64(len(sample))
}

func cancelByList(order []int) int64 {
	q := admit.NewQueue[int]()
	tickets := make([]*admit.Ticket[int], len(order))
	for i := range tickets {
		// A push can't fail without a limit and a deadline.
		tickets[i], _ = q.Push(admit.Job{Team: "t", Queue: "q"}, i)
	}
	from := time.Now()
	for _, id := range order {
		q.Cancel(tickets[id])
	}
	return time.Since(from).Nanoseconds() / int64(len(order))
}
