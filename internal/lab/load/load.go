// Package load generates open-loop load on a deployment and measures outcomes and latencies as its callers see them.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Team is the load of one team on one queue.
type Team struct {
	Name   fleet.TeamName  `json:"name"`
	Queue  fleet.QueueName `json:"queue"`
	Secret string          `json:"secret,omitempty"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Run is the mean run time of a task in milliseconds; each task runs for 50 % to 150 % of it.
	Run int64 `json:"run"`
	// Size and Body are the sizes of answers and payloads, in bytes.
	Size int `json:"size"`
	Body int `json:"body"`
	// Once and Async are the fractions of non-idempotent and of asynchronous requests, from 0 to 1.
	Once  float64 `json:"once"`
	Async float64 `json:"async"`
	// Timeout bounds the time until an answer, in milliseconds.
	Timeout int64 `json:"timeout"`
	// Slots is the number of slots of a task; 0 means the queue's default.
	Slots int `json:"slots,omitempty"`
	// Urgent is the fraction of urgent requests, from 0 to 1.
	Urgent float64 `json:"urgent,omitempty"`
	// Endpoints overrides the endpoints of the settings; one that is listed repeatedly gets more requests.
	Endpoints []string `json:"endpoints,omitempty"`
}

// Settings configure a run.
type Settings struct {
	Endpoints []string
	Teams     []Team
	Length    time.Duration
	// Surge is the duration of each surge; 0 means a constant rate.
	Surge time.Duration
	// Tries is the maximum number of submissions of a request.
	Tries int
	// Seed seeds arrivals and inputs, which are the same for the same seed.
	Seed uint64
	// Prefix is the prefix of request IDs and keys, which must be unique in a deployment.
	Prefix string
	Sink   record.Sink[record.Call]
}

// Validate returns an error that wraps ErrSettings if the settings are invalid.
func (s Settings) Validate() error {
	if len(s.Endpoints) == 0 || len(s.Teams) == 0 || s.Sink == nil {
		return fmt.Errorf("%w: endpoints, teams and a sink are required", ErrSettings)
	}
	for _, t := range s.Teams {
		if t.Rate < 0 || t.Run < 0 || t.Timeout <= 0 || t.Size < 0 || t.Body < 0 {
			return fmt.Errorf("%w: team %s: rate, run time or size is negative or timeout is not positive",
				ErrSettings, t.Name)
		}
	}
	return nil
}

// Run submits each request at its arrival time, regardless of how long earlier requests take, and returns when all have
// ended. Latency counts from the arrival time, so that requests that were sent late do not hide a stall.
func Run(ctx context.Context, s Settings) (Report, error) {
	if err := s.Validate(); err != nil {
		return Report{}, err
	}
	meter := newMeter(s.Teams)
	var g sync.WaitGroup
	begin := time.Now()
	for i, t := range s.Teams {
		c := NewCaller(t.endpoints(s.Endpoints), s.Tries, s.Sink)
		defer c.Close()
		r := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		times := Profile{Rate: t.Rate, Surge: s.Surge, Turn: i, Turns: len(s.Teams)}.Arrivals(s.Length, r)
		g.Go(func() {
			for n, at := range times {
				j := s.newJob(t, i, n, r)
				sleep(ctx, time.Until(begin.Add(at)))
				if ctx.Err() != nil {
					return
				}
				g.Go(func() {
					o := c.Do(ctx, j)
					meter.add(i, j, o, time.Since(begin.Add(at)))
				})
			}
		})
	}
	g.Wait()
	return meter.report(), nil
}

func (t Team) endpoints(all []string) []string {
	if len(t.Endpoints) > 0 {
		return t.Endpoints
	}
	return all
}

func (s Settings) newJob(t Team, team, n int, r *rand.Rand) Job {
	id := fmt.Sprintf("%s-%d-%d", s.Prefix, team, n)
	h := input.Header{Size: t.Size, Seed: r.Uint64()}
	if t.Run > 0 {
		h.Run = t.Run/2 + r.Int64N(t.Run+1)
	}
	payload := make([]byte, t.Body)
	for i := range payload {
		payload[i] = byte(h.Seed >> (8 * (i % 8)))
	}
	j := Job{
		ID: id, Team: t.Name, Queue: t.Queue, Secret: t.Secret, Key: id, Once: r.Float64() < t.Once,
		Async: r.Float64() < t.Async, Slots: t.Slots, Timeout: time.Duration(t.Timeout) * time.Millisecond,
		Input: input.Encode(h, payload),
	}
	j.Urgent = t.Urgent > 0 && r.Float64() < t.Urgent
	return j
}
