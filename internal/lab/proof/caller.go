package proof

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const (
	// jobTimeout is the time limit of a task, from submission to answer, that callers request.
	jobTimeout = 15 * time.Second
	// maxAttempts lets a caller retry a request for longer than any fault of a scenario lasts.
	maxAttempts = 300
)

// AwaitReady waits until an instance is ready.
func (f *Fleet) AwaitReady(ctx context.Context, i *Instance) error {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	err := until(ctx, func() error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, i.URL()+"/readyz", nil)
		if err != nil {
			return err
		}
		p, err := operatorClient.Do(r)
		if err != nil {
			return err
		}
		_ = p.Body.Close()
		if p.StatusCode >= http.StatusMultipleChoices {
			return fmt.Errorf("status %d", p.StatusCode)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("proof: %s is not ready: %w", i.Name, err)
	}
	return nil
}

// AwaitConvergence waits until every running instance serves every accepted edit and answers a new request of each team
// that has a valid key.
func (f *Fleet) AwaitConvergence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	var g sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for _, i := range f.running() {
		g.Go(func() {
			err := until(ctx, func() error { return f.watch.checkCurrent(ctx, i) })
			for t := range f.validKeys() {
				if err == nil {
					err = f.awaitAnswer(ctx, i, t)
				}
			}
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = errors.Join(failed, fmt.Errorf("%s: %w", i.Name, err))
			}
		})
	}
	g.Wait()
	return failed
}

// validKeys returns the keys of the teams whose key was not withdrawn.
func (f *Fleet) validKeys() map[fleet.TeamName]key {
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	teams := map[fleet.TeamName]key{blue: f.submitKeys[blue], green: f.submitKeys[green]}
	if len(f.watch.sections["keys/"+string(green)]) > 0 {
		delete(teams, green)
	}
	return teams
}

func (f *Fleet) job(t fleet.TeamName, id string, run time.Duration, once bool) load.Job {
	return load.Job{ID: id, Team: t, Queue: fleet.QueueName(t), Secret: f.submitKeys[t].bearer(), Key: id, Once: once,
		Timeout: jobTimeout, Input: input.Encode(input.Header{Run: run.Milliseconds(), Size: 256}, []byte(id))}
}

// awaitAnswer waits until an instance answers a task; these requests are not recorded for the audit.
func (f *Fleet) awaitAnswer(ctx context.Context, i *Instance, t fleet.TeamName) error {
	c := load.NewCaller([]string{i.URL()}, 1, &record.Log[record.Call]{})
	defer c.Close()
	return until(ctx, func() error {
		if o := c.Do(ctx, f.job(t, "probe-"+rand.Text(), 0, false)); o.Event != record.Answered {
			return fmt.Errorf("a task of %s ended with %q (%s)", t, o.Event, o.Kind)
		}
		return nil
	})
}

// traffic describes a load on all instances; rate is the mean number of requests per second of each team, once and
// async are the fractions of non-idempotent and of asynchronous requests, from 0 to 1.
type traffic struct {
	rate              float64
	runTime, duration time.Duration
	once, async       float64
	// teams are those that submit.
	teams []fleet.TeamName
	// maxAttempts bounds the submissions of one request.
	maxAttempts int
}

func (f *Fleet) generateLoad(ctx context.Context, x traffic) error {
	var urls []string
	for _, i := range f.instances {
		urls = append(urls, i.URL())
	}
	var teams []load.Team
	for _, t := range x.teams {
		teams = append(teams, load.Team{Name: t, Queue: fleet.QueueName(t), Secret: f.submitKeys[t].bearer(), Rate: x.rate,
			Run: x.runTime.Milliseconds(), Size: 1024, Body: 64, Once: x.once, Async: x.async,
			Timeout: jobTimeout.Milliseconds()})
	}
	ctx, cancel := context.WithTimeout(ctx, x.duration+2*progressTimeout)
	defer cancel()
	_, err := load.Run(ctx, load.Settings{Endpoints: urls, Teams: teams, Length: x.duration, Tries: x.maxAttempts, Seed: 1,
		Prefix: "load-" + strings.ToLower(rand.Text()), Sink: &f.calls})
	return err
}

// submitTo submits non-idempotent tasks to one instance, each in one attempt, and returns once all of them run. The
// returned function waits for their answers and fails unless every task was answered.
func (f *Fleet) submitTo(ctx context.Context, i *Instance, n int, run time.Duration) (func() error, error) {
	c := load.NewCaller([]string{i.URL()}, 1, &f.calls)
	prefix := "direct-" + strings.ToLower(rand.Text())
	outcomes := make(chan load.Outcome, n)
	for k := range n {
		go func() { outcomes <- c.Do(ctx, f.job(blue, fmt.Sprintf("%s-%d", prefix, k), run, true)) }()
	}
	err := until(ctx, func() error {
		started := 0
		for _, j := range f.journal.Records() {
			if j.Event == record.Started && strings.HasPrefix(j.Key, prefix) {
				started++
			}
		}
		if started < n {
			return fmt.Errorf("%d of %d direct tasks run", started, n)
		}
		return nil
	})
	return func() error {
		defer c.Close()
		for range n {
			if o := <-outcomes; o.Event != record.Answered {
				return fmt.Errorf("proof: a request in flight at %s ended with %q (%s)", i.Name, o.Event, o.Kind)
			}
		}
		return nil
	}, err
}

// submitWithKey submits tasks with the key of a team to every instance until the context ends. It returns the answers
// to requests that were sent more than audit.Grace after the withdrawal of the key.
func (f *Fleet) submitWithKey(ctx context.Context, t fleet.TeamName, withdrawn record.Stamp) []string {
	var g sync.WaitGroup
	var mu sync.Mutex
	var violations []string
	for _, i := range f.instances {
		g.Go(func() {
			c := load.NewCaller([]string{i.URL()}, 1, &record.Log[record.Call]{})
			defer c.Close()
			for ctx.Err() == nil {
				sent := record.Now()
				o := c.Do(ctx, f.job(t, "try-"+rand.Text(), 0, false))
				if o.Event == record.Answered && sent > withdrawn.Add(audit.Grace) {
					mu.Lock()
					violations = append(violations, fmt.Sprintf("%s accepted the key of %s sent %s after its withdrawal",
						i.Name, t, sent.Sub(withdrawn)))
					mu.Unlock()
				}
				select {
				case <-time.After(pollInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	g.Wait()
	return violations
}
