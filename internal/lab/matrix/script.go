package matrix

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Row is one step of a protocol, with the commands that run before, at and after it.
type Row struct {
	Name string
	// Step is the message at which the fault is injected, by a prefix of message.step, or "after <duration>" for a moment
	// after the start of Do.
	Step string
	// Entry is the role of the entry instance whose message it is; empty matches any.
	Entry string
	// Target restricts the step to messages that concern the row's own request.
	Target bool
	// Before runs before the trigger is set, Do leads to the step, During runs half a second after the fault, and the
	// commands of Race run at the fault, each by an operator of its own. By default those take both zones out of
	// service, of which the pool's budget allows one.
	Before, Do, During, Race []string
	// Skip holds, by column, why a fault does not apply.
	Skip map[string]string
}

// ParseRow reads the lines of a row: "step: ...", "before: ...", "do: ...", "during: ...", "race: ... | ..." and
// "n-a FAULT, FAULT: reason".
func ParseRow(name, text string) (Row, error) {
	r := Row{Name: name, Skip: map[string]string{}, Race: []string{"zone z1 out at=lead", "zone z2 out at=last"}}
	for _, line := range strings.Split(text, "\n") {
		head, rest, ok := strings.Cut(line, ": ")
		if !ok {
			return r, fmt.Errorf("matrix: row %s: no value in %q", name, line)
		}
		switch {
		case head == "step":
			r.parseStep(rest)
		case head == "before":
			r.Before = append(r.Before, rest)
		case head == "do":
			r.Do = append(r.Do, rest)
		case head == "during":
			r.During = append(r.During, rest)
		case head == "race":
			r.Race = strings.Split(rest, " | ")
		case strings.HasPrefix(head, "n-a "):
			for _, c := range strings.Split(strings.TrimPrefix(head, "n-a "), ", ") {
				if _, err := column(c); err != nil {
					return r, err
				}
				r.Skip[c] = rest
			}
		default:
			return r, fmt.Errorf("matrix: row %s: unknown line %q", name, line)
		}
	}
	return r, nil
}

func (r *Row) parseStep(text string) {
	var kept []string
	for _, f := range strings.Fields(text) {
		switch {
		case f == "target":
			r.Target = true
		case strings.HasPrefix(f, "entry="):
			r.Entry = strings.TrimPrefix(f, "entry=")
		default:
			kept = append(kept, f)
		}
	}
	r.Step = strings.Join(kept, " ")
}

// moment returns the time of a step that is not a message, from the start of Do.
func (r Row) moment() (time.Duration, bool) {
	s, ok := strings.CutPrefix(r.Step, "after ")
	d, err := time.ParseDuration(s)
	return d, ok && err == nil
}

func (r Row) movesWorkers() bool {
	return slices.ContainsFunc(r.Do, func(line string) bool { return strings.HasPrefix(line, "move ") })
}

// command is a parsed line of a script: a verb, its arguments and its options.
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

func (c command) word(i int) string {
	if i < len(c.words) {
		return c.words[i]
	}
	return ""
}

func (c command) flag(name string) bool {
	for _, s := range c.words {
		if s == name {
			return true
		}
	}
	return false
}

func (c command) duration(name string, defaultValue time.Duration) time.Duration {
	if d, err := time.ParseDuration(c.options[name]); err == nil {
		return d
	}
	return defaultValue
}

func (c command) number(name string, defaultValue int) int {
	if n, err := strconv.Atoi(c.options[name]); err == nil {
		return n
	}
	return defaultValue
}

// runScript runs the commands of a script one after the other.
func (cl *Cluster) runScript(lines []string) {
	for _, line := range lines {
		cl.runCommand(parseCommand(line))
	}
}

func (cl *Cluster) runCommand(c command) {
	at := cl.nameOf(c.options["at"])
	if at == "" {
		at = cl.nameOf("next")
	}
	switch c.verb {
	case "submit":
		q := request{key: c.options["key"], queue: workQueue, once: c.flag("once"), async: c.flag("async"),
			runTime: c.duration("run", 300*time.Millisecond), at: at}
		if c.flag("target") {
			q.queue = targetQueue
		}
		cl.submit(c.number("n", 1), q)
	case "wait":
		d, _ := time.ParseDuration(c.word(0))
		time.Sleep(d)
	case "zone":
		cl.applyEdit(at, zoneEdit(cl.resolveZone(c.word(0)), c.word(1)))
	case "ceiling":
		cl.applyEdit(at, ceilingEdit(c.number("to", ceiling)))
	case "min", "version":
		cl.applyEdit(at, sectionEdit("pool/main", fmt.Sprintf("min: %d\nquarantine: 20\nwave: 1\nversion: %q\n",
			c.number("min", 2), c.options["version"])))
	case "drain", "undrain":
		cl.applyEdit(at, instanceEdit(c.word(0), c.verb, ""))
	case "move":
		cl.applyEdit(at, instanceEdit(c.word(0), "move", c.word(1)))
	case "leave":
		e := cl.entry(at)
		go e.shutDown()
		cl.running.Go(e.awaitShutdown)
	case "cancel":
		cl.cancel(at, c.options["key"])
	case "kill":
		cl.kill(cl.entry(at))
	case "restart":
		cl.kill(cl.entry(at))
		cl.launch(at)
	case "cut":
		cl.partition(cl.entry(at))
	case "delist":
		cl.store.Remove(fleet.InstanceID(at))
	default:
		panic("matrix: unknown command " + c.verb)
	}
}

// resolveZone replaces "here" by the availability zone of the worker that received the step's message, or by z1 if no
// worker did.
func (cl *Cluster) resolveZone(name string) string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if name == "here" {
		return cl.faultZone
	}
	return name
}
