package engine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against accepted jobs that never start after a burst on a queue that needs tickets: the authorizer handles one call
// at a time, and tickets must not expire while their requests wait for it.
func TestTicketsOfBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			jobs      = 40
			workers   = 8
			callTime  = 180 * time.Millisecond
			ticketTTL = 3 * time.Second
			runTime   = 500 * time.Millisecond
		)
		var list []work.Worker
		for i := range workers {
			list = append(list, work.Worker{ID: work.WorkerID(fmt.Sprint("w", i)), Pool: "p", Zone: "a",
				Capacity: work.Need{CPU: 32000, Memory: 128000}})
		}
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", NeedsTicket: true}},
			Customers: map[string]work.Customer{"c": {Name: "c", Weight: 1}}}, list)
		for i := range jobs {
			if _, err := sc.Submit(work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: "c",
				Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 2000, Memory: 1000},
					Estimate: runTime}}}); err != nil {
				t.Fatal(err)
			}
		}
		store(t, sc)
		began := time.Now()
		started := 0
		var calls []TicketRequest
		var replyAt time.Time
		for started < jobs && time.Since(began) < time.Minute {
			if len(calls) > 0 && !time.Now().Before(replyAt) {
				var tickets []Ticket
				for _, id := range calls[0].Workers {
					tickets = append(tickets, Ticket{Worker: id, Text: "t"})
				}
				sc.HandleTickets(calls[0], tickets, ticketTTL, true)
				calls = calls[1:]
				replyAt = time.Now().Add(callTime)
			}
			for _, c := range dispatch(sc) {
				switch c := c.(type) {
				case TicketRequest:
					if len(calls) == 0 {
						replyAt = time.Now().Add(callTime)
					}
					calls = append(calls, c)
				case Start:
					started++
					sc.HandleOutcome(c, Applied, time.Now())
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		if most := jobs * (callTime + 10*time.Millisecond); started < jobs || time.Since(began) > most {
			t.Errorf("%d of %d jobs have started after %s, want all within %s", started, jobs, time.Since(began), most)
		}
	})
}

// Guards against requests that take longer than the tickets are valid.
func TestTicketWorkers(t *testing.T) {
	for _, c := range []struct {
		call, worker, ttl time.Duration
		want              int
	}{
		{0, 0, 0, maxTicketWorkers},
		{100 * time.Millisecond, 10 * time.Millisecond, 3 * time.Second, maxTicketWorkers},
		{500 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second, 2},
		{2 * time.Second, 100 * time.Millisecond, 3 * time.Second, 1},
	} {
		q := work.Queue{NeedsTicket: true, TicketCallTime: c.call, TicketWorkerTime: c.worker, TicketTTL: c.ttl}
		if got := ticketWorkers(q); got != c.want {
			t.Errorf("%+v: %d workers, want %d", c, got, c.want)
		}
	}
}
