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
