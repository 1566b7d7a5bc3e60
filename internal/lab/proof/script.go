package proof

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// command is a line of a script: a verb, its arguments and its options.
type command struct {
	verb    string
	words   []string
	options map[string]string
}

func parseCommand(line string) command {
	f := strings.Fields(line)
	c := command{verb: f[0], options: map[string]string{}}
	for _, s := range f[1:] {
		if k, v, ok := strings.Cut(s, "="); ok {
			c.options[k] = v
		} else {
			c.words = append(c.words, s)
		}
	}
	return c
}

func (c command) word(n int) string {
	if n < len(c.words) {
		return c.words[n]
	}
	return ""
}

// duration returns the value of an option, or a default without it.
func (c command) duration(name string, defaultValue time.Duration) time.Duration {
	if s, ok := c.options[name]; ok {
		d, err := time.ParseDuration(s)
		if err != nil {
			panic(fmt.Sprintf("proof: %s=%s: %v", name, s, err))
		}
		return d
	}
	return defaultValue
}

// number returns the value of an option, or a default without it.
func (c command) number(name string, defaultValue float64) float64 {
	if s, ok := c.options[name]; ok {
		n, err := strconv.ParseFloat(s, 64)
		if err != nil {
			panic(fmt.Sprintf("proof: %s=%s: %v", name, s, err))
		}
		return n
	}
	return defaultValue
}

// Scenario is one script, run on a fleet of its own.
type Scenario struct {
	Name    string
	Entries int
	// Allowed lists outcomes of requests that the scenario's faults permit.
	Allowed []string
	steps   []command
}

// ParseScenario reads a script, one command a line.
func ParseScenario(name, text string) Scenario {
	s := Scenario{Name: name, Entries: 3}
	for _, line := range strings.Split(text, "\n") {
		switch c := parseCommand(line); c.verb {
		case "entries":
			s.Entries, _ = strconv.Atoi(c.word(0))
		case "allow":
			s.Allowed = append(s.Allowed, c.words...)
		default:
			s.steps = append(s.steps, c)
		}
	}
	return s
}

// run is a scenario in progress.
type run struct {
	*Fleet
	ctx context.Context
	// waits are called in order after the last step.
	waits []func() error
	// notes are measurements of the run.
	notes []string
}

// Run runs a scenario and returns what its checks found.
func (s Scenario) Run(ctx context.Context, binary, dir string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*progressTimeout)
	defer cancel()
	f, err := NewFleet(ctx, binary, dir, s.Entries)
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	r := &run{Fleet: f, ctx: ctx}
	f.watch.start()
	for _, c := range s.steps {
		if err := r.execute(c); err != nil {
			return r.report(s), fmt.Errorf("proof: %s %s: %w", c.verb, strings.Join(c.words, " "), err)
		}
	}
	for _, wait := range r.waits {
		if err := wait(); err != nil {
			return r.report(s), err
		}
	}
	if err := f.AwaitConvergence(ctx); err != nil {
		return r.report(s), err
	}
	f.watch.stop()
	return r.report(s), nil
}

func (r *run) execute(c command) error {
	switch c.verb {
	case "wait":
		return r.pause(c.word(0))
	case "load":
		teams := []fleet.TeamName{blue, green}
		if t, ok := c.options["team"]; ok {
			teams = []fleet.TeamName{fleet.TeamName(t)}
		}
		r.background(func() error {
			return r.generateLoad(r.ctx, traffic{teams: teams, rate: c.number("rate", 15),
				runTime: c.duration("run", 300*time.Millisecond), duration: c.duration("for", 5*time.Second),
				once: c.number("once", 0.5), async: c.number("async", 0),
				maxAttempts: int(c.number("tries", maxAttempts))})
		})
		return nil
	case "direct":
		wait, err := r.submitTo(r.ctx, r.Instance(c.word(0)), int(c.number("n", 1)), c.duration("run", time.Second))
		r.waits = append(r.waits, wait)
		return err
	case "zone", "withdraw", "race", "rollout", "ceiling":
		return r.executeOperatorCommand(c)
	case "store":
		return r.executeStoreCommand(c)
	case "worker":
		return r.executeWorkerCommand(c)
	}
	return r.executeInstanceCommand(c, r.Instance(c.word(0)))
}

// background runs a step concurrently with the next ones; the scenario waits for it after its last step.
func (r *run) background(f func() error) {
	done := make(chan error, 1)
	go func() { done <- f() }()
	r.waits = append(r.waits, func() error { return <-done })
}

func (r *run) pause(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// executeInstanceCommand executes a command on an entry instance.
func (r *run) executeInstanceCommand(c command, i *Instance) error {
	switch c.verb {
	case "kill":
		r.Kill(i)
		return nil
	case "freeze":
		return r.Freeze(i)
	case "thaw":
		return r.Thaw(i)
	case "terminate":
		return r.Terminate(r.ctx, i)
	case "start":
		return r.Launch(r.ctx, i)
	case "replace":
		return r.replace(i)
	case "ready":
		return r.AwaitReady(r.ctx, i)
	case "fresh":
		// An instance answers a read of a section only from a fresh view.
		return until(r.ctx, func() error { _, _, err := r.readSection(r.ctx, i, "pool/main"); return err })
	case "cut", "heal":
		return r.executeConnectionCommand(c, i)
	}
	return fmt.Errorf("unknown command")
}

// executeConnectionCommand cuts or heals an instance's connections, as the words after its name say: "peers" is those
// to other entry instances, any other word those to table and object store.
func (r *run) executeConnectionCommand(c command, i *Instance) error {
	for _, part := range c.words[1:] {
		switch {
		case part == "peers" && c.verb == "cut":
			r.mesh.Cut(i.Name)
		case part == "peers":
			r.mesh.Heal(i.Name)
		default:
			if err := r.setStoreFault(i, c.verb); err != nil {
				return err
			}
		}
	}
	return nil
}

// setStoreFault cuts, silences or heals an instance's connections to the table and the object store, but not to the
// roster.
func (r *run) setStoreFault(i *Instance, verb string) error {
	for _, v := range []store.Service{store.Table, store.Object} {
		var err error
		switch l := i.storeLinks[v]; verb {
		case "cut":
			err = l.Cut()
		case "silent":
			err = l.Silence()
		case "heal":
			err = l.Heal()
		default:
			err = fmt.Errorf("unknown fault %s", verb)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *run) executeStoreCommand(c command) error {
	switch verb := c.word(0); verb {
	case "lossy":
		return r.store.Set(store.Table, store.Faults{Fraction: c.number("part", 0.3)})
	case "whole":
		return r.store.Set(store.Table, store.Faults{})
	default:
		for _, i := range r.instances {
			if err := r.setStoreFault(i, verb); err != nil {
				return err
			}
		}
		return nil
	}
}

func (r *run) executeWorkerCommand(c command) error {
	id := fleet.InstanceID(c.word(0))
	w := r.workers[id]
	if w == nil {
		return fmt.Errorf("no worker %s", id)
	}
	switch c.word(1) {
	case "silent":
		w.Silence()
	case "die":
		w.Die()
	case "boot":
		return w.Boot()
	case "slow":
		return r.workerLinks[id].Delay(int(c.duration("by", 0).Milliseconds()))
	case "heal":
		return r.workerLinks[id].Heal()
	default:
		return fmt.Errorf("unknown command")
	}
	return nil
}
