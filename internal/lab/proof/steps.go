package proof

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// executeOperatorCommand executes a command of an operator.
func (r *run) executeOperatorCommand(c command) error {
	at := r.instances[0]
	if name, ok := c.options["at"]; ok {
		at = r.Instance(name)
	}
	switch c.verb {
	case "zone":
		return r.Zone(r.ctx, at, fleet.AvailabilityZone(c.word(0)), fleet.ZoneState(c.word(1)))
	case "ceiling":
		return r.Ceiling(r.ctx, at, fleet.TeamName(c.word(0)), int(c.number("to", ceiling)))
	case "withdraw":
		return r.withdraw(at, fleet.TeamName(c.word(0)), c.duration("try", 3*time.Second))
	case "race":
		return r.raceEdits(r.ctx, [2]*Instance{r.instances[0], r.instances[1]}, blue, int(c.number("rounds", 10)))
	case "rollout":
		return r.rollOut(at, c.word(0))
	}
	return errors.New("unknown command")
}

// withdraw removes every key of a team and submits with the old key in the background, until a given time after the
// bound within which the withdrawal must take effect.
func (r *run) withdraw(at *Instance, t fleet.TeamName, after time.Duration) error {
	a, err := r.putSection(r.ctx, at, "keys/"+string(t), "keys: []\n")
	if err != nil {
		return err
	}
	r.background(func() error {
		const bound = 5 * time.Second // as audit.Grace
		ctx, cancel := context.WithTimeout(r.ctx, bound+after)
		defer cancel()
		if violations := r.submitWithKey(ctx, t, a.accepted); len(violations) > 0 {
			return fmt.Errorf("proof: withdrawn key: %s", strings.Join(violations, "; "))
		}
		return nil
	})
	return nil
}

// rollOut sets the system version of the pool and waits until every worker runs it.
func (r *run) rollOut(at *Instance, version string) error {
	if _, err := r.putSection(r.ctx, at, "pool/"+string(pool), poolText(version)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, 2*progressTimeout)
	defer cancel()
	return until(ctx, func() error {
		for id, w := range r.workers {
			if v := w.Report().Version; v != version {
				return fmt.Errorf("worker %s runs version %s", id, v)
			}
		}
		return nil
	})
}

// replace shuts an instance down and starts a new process in an empty directory. It notes the time until the new
// process is ready and until it answers, and what it reads from the table until then.
func (r *run) replace(i *Instance) error {
	if err := r.Terminate(r.ctx, i); err != nil {
		return err
	}
	table := i.usage[store.Table]
	requests, bytes := table.requests.Load(), table.bytes.Load()
	began := time.Now()
	if err := r.Launch(r.ctx, i); err != nil {
		return err
	}
	if err := r.AwaitReady(r.ctx, i); err != nil {
		return err
	}
	ready := time.Since(began)
	if err := r.awaitAnswer(r.ctx, i, blue); err != nil {
		return err
	}
	r.notes = append(r.notes, fmt.Sprintf("%s: ready after %d ms, first answer after %d ms, %d table requests, %d bytes",
		i.Name, ready.Milliseconds(), time.Since(began).Milliseconds(), table.requests.Load()-requests,
		table.bytes.Load()-bytes))
	return nil
}
