package fakes

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Authorizer is the service that decides which workers may run a step. It handles one call at a time.
type Authorizer struct {
	// CallTime and WorkerTime are how long a call takes, and every worker named in it; TTL is how long tickets are valid.
	CallTime, WorkerTime, TTL time.Duration

	mu sync.Mutex
}

// Grant returns the tickets of the workers that may run a step, named by its first task, and of no others. Which ones these
// are does not change.
func (a *Authorizer) Grant(ctx context.Context, step work.TaskID, workers []work.WorkerID) map[work.WorkerID]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	sleep(ctx, a.CallTime+time.Duration(len(workers))*a.WorkerTime)
	tickets := map[work.WorkerID]string{}
	for _, id := range workers {
		if allows(step, id) {
			tickets[id] = ticketFor(step, id, time.Now().Add(a.TTL))
		}
	}
	return tickets
}

// deniedOneIn is how many workers there are for each one that may not run a step.
const deniedOneIn = 3

func allows(step work.TaskID, id work.WorkerID) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, step.Job, step.Round, step.Step, id) // a hash does not fail
	return h.Sum32()%deniedOneIn != 0
}

func ticketFor(step work.TaskID, id work.WorkerID, until time.Time) string {
	return fmt.Sprintf("%s/%d/%d/%s/%d", step.Job, step.Round, step.Step, id, until.UnixMilli())
}

// isValidTicket reports whether a ticket allows a task on a worker now.
func isValidTicket(ticket string, t work.TaskID, id work.WorkerID) bool {
	i := strings.LastIndex(ticket, "/")
	until, err := strconv.ParseInt(ticket[i+1:], 10, 64)
	return err == nil && time.Now().UnixMilli() <= until && ticket == ticketFor(t, id, time.UnixMilli(until))
}
