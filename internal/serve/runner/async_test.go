package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func asyncJob(key string) Job {
	return Job{Queue: "rope", Team: "blue", Key: key, Input: []byte("x 5s")}
}

// Guards against a team that loses part of its ceiling for good: while the store rejected the record of an asynchronous
// job, its task was granted an attempt, which then stayed registered with its ceiling units.
func TestRejectedAsyncJobReleasesAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		c.mu.Lock()
		c.storeDown, c.storeDelay = true, time.Second
		c.mu.Unlock()
		e := c.runners["a.1"]
		for range 20 {
			if _, err := e.SubmitAsync(context.Background(), asyncJob("")); err == nil {
				t.Fatal("accepted without a record")
			}
		}
		time.Sleep(time.Minute)
		e.mu.Lock()
		used := e.used
		e.mu.Unlock()
		e.Runner.mu.Lock()
		attempts := len(e.attempts)
		e.Runner.mu.Unlock()
		if used != 0 || attempts != 0 {
			t.Errorf("%d ceiling units in use and %d attempts after all jobs were rejected", used, attempts)
		}
	})
}

// Guards against an accepted asynchronous job that its entry instance no longer finds: of two concurrent requests with
// one key, the one whose record was refused removed the task of the other.
func TestConcurrentAsyncRequestsShareTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		c.mu.Lock()
		c.storeDelay = 10 * time.Millisecond
		c.mu.Unlock()
		e := c.runners["a.1"]
		type result struct {
			id  string
			err error
		}
		results := make(chan result, 2)
		for range 2 {
			go func() {
				id, err := e.SubmitAsync(context.Background(), asyncJob("k"))
				results <- result{id, err}
			}()
		}
		first, second := <-results, <-results
		if first.err != nil || second.err != nil || first.id != second.id {
			t.Fatalf("results %+v and %+v", first, second)
		}
		time.Sleep(time.Second)
		if _, ok := e.find("blue", first.id); !ok {
			t.Error("the entry instance does not find the running task")
		}
	})
}
