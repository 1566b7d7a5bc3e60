// Package load generates open-loop load on a deployment and measures what its callers see.
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
	// Rate is the mean, in requests a second.
	Rate float64 `json:"rate"`
	// Run is the mean run time of a task in milliseconds; single ones run from half to one and a half times as long.
	Run int64 `json:"run"`
	// Size and Body are the lengths of answers and payloads, in bytes.
	Size int `json:"size"`
	Body int `json:"body"`
	// Once and Async are the parts of requests that are non-idempotent and asynchronous, from 0 to 1.
	Once  float64 `json:"once"`
	Async float64 `json:"async"`
	// Timeout is the longest time to an answer, in milliseconds.
	Timeout int64 `json:"timeout"`
	// Slots is the number of slots of a task; 0 leaves it to the queue.
	Slots int `json:"slots,omitempty"`
	// Urgent is the part of requests that are urgent, from 0 to 1.
	Urgent float64 `json:"urgent,omitempty"`
	// Endpoints replaces the endpoints of the settings; one that is listed more than once gets more requests.
	Endpoints []string `json:"endpoints,omitempty"`
}

// Settings describe a run.
type Settings struct {
	Endpoints []string
	Teams     []Team
	Length    time.Duration
	// Surge is the length of each surge; 0 is an even load.
	Surge time.Duration
	// Tries is how often a request is submitted at most.
	Tries int
	// Seed makes arrivals and inputs repeatable.
	Seed uint64
	// Prefix begins the ids and keys of requests, which must be unique in a deployment.
	Prefix string
	Sink   record.Sink[record.Call]
}

// Validate checks the settings.
func (s Settings) Validate() error {
	if len(s.Endpoints) == 0 || len(s.Teams) == 0 || s.Sink == nil {
		return fmt.Errorf("%w: endpoints, teams and a sink are needed", ErrSettings)
	}
	for _, t := range s.Teams {
		if t.Rate < 0 || t.Run < 0 || t.Timeout <= 0 || t.Size < 0 || t.Body < 0 {
			return fmt.Errorf("%w: team %s", ErrSettings, t.Name)
		}
	}
	return nil
}

// Run submits each request at its own time, however long earlier ones take, and returns once each has ended.
// Latency counts from the intended time, so that a stall is not hidden by requests that were sent late.
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
				j := s.job(t, i, n, r)
				pause(ctx, time.Until(begin.Add(at)))
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

func (s Settings) job(t Team, team, n int, r *rand.Rand) Job {
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
