package matrix

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Row is one step of a protocol, with what happens around it.
type Row struct {
	Name string
	// Step is the message at which the fault strikes, or "after <duration>" for a moment after Do has begun.
	Step string
	// Entry is the role of the entry instance whose message it is; empty is any.
	Entry string
	// Target demands that the message concerns the row's own request.
	Target bool
	// Before runs before the fault is armed, Do leads to the step, During runs half a second after the fault, and
	// the commands of Race run at the fault by operators at the same time. By default they take out both zones, of
	// which the budget of the pool allows one.
	Before, Do, During, Race []string
	// Skip says by column why a fault does not apply.
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

// after returns the moment of a step that is no message.
func (r Row) after() (time.Duration, bool) {
	s, ok := strings.CutPrefix(r.Step, "after ")
	d, err := time.ParseDuration(s)
	return d, ok && err == nil
}

func (r Row) moves() bool {
	return slices.ContainsFunc(r.Do, func(line string) bool { return strings.HasPrefix(line, "move ") })
}

// command is a parsed line of a script: a verb with its words and its options.
type command struct {
	verb    string
	words   []string
	options map[string]string
}

func parse(line string) command {
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

func (c command) duration(name string, absent time.Duration) time.Duration {
	if d, err := time.ParseDuration(c.options[name]); err == nil {
		return d
	}
	return absent
}

func (c command) number(name string, absent int) int {
	if n, err := strconv.Atoi(c.options[name]); err == nil {
		return n
	}
	return absent
}

// do runs the commands of a script one after the other.
func (w *Cluster) do(lines []string) {
	for _, line := range lines {
		w.run(parse(line))
	}
}

func (w *Cluster) run(c command) {
	at := w.nameOf(c.options["at"])
	if at == "" {
		at = w.nameOf("next")
	}
	switch c.verb {
	case "submit":
		q := request{key: c.options["key"], queue: workQueue, once: c.flag("once"), async: c.flag("async"),
			run: c.duration("run", 300*time.Millisecond), at: at}
		if c.flag("target") {
			q.queue = targetQueue
		}
		w.submit(c.number("n", 1), q)
	case "wait":
		d, _ := time.ParseDuration(c.word(0))
		time.Sleep(d)
	case "zone":
		w.change(at, zoneEdit(w.zoneNamed(c.word(0)), c.word(1)))
	case "ceiling":
		w.change(at, ceilingEdit(c.number("to", ceiling)))
	case "min", "version":
		w.change(at, put("pool/main", fmt.Sprintf("min: %d\nquarantine: 20\nwave: 1\nversion: %q\n", c.number("min", 2), c.options["version"])))
	case "drain", "undrain":
		w.change(at, instanceEdit(c.word(0), c.verb, ""))
	case "move":
		w.change(at, instanceEdit(c.word(0), "move", c.word(1)))
	case "leave":
		e := w.entry(at)
		go e.leave()
		w.running.Go(e.awaitLeft)
	case "cancel":
		w.cancel(at, c.options["key"])
	case "kill":
		w.kill(w.entry(at))
	case "restart":
		w.kill(w.entry(at))
		w.launch(at)
	case "cut":
		w.partition(w.entry(at))
	case "delist":
		w.store.Remove(fleet.InstanceID(at))
	default:
		panic("matrix: unknown command " + c.verb)
	}
}

// zoneNamed replaces "here" by the zone of the worker at the step.
func (w *Cluster) zoneNamed(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if name == "here" {
		return w.zone
	}
	return name
}
