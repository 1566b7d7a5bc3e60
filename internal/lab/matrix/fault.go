package matrix

import (
	"fmt"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// trap fires a cell's fault at the first message of a step.
type trap struct {
	entry   string
	step    string
	target  bool
	fire    func(message) treatment
	reached chan struct{}
}

// arm sets the trap; the returned channel is closed once it has fired.
func (w *Cluster) arm(t *trap) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.reached = make(chan struct{})
	w.trap = t
}

func (w *Cluster) isArmed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.trap != nil
}

// spring fires the trap if a message is the one it waits for.
func (w *Cluster) spring(m message) treatment {
	w.mu.Lock()
	t := w.trap
	if t == nil || !strings.HasPrefix(m.step, t.step) || t.entry != "" && t.entry != m.entry.name || t.target && !m.target {
		w.mu.Unlock()
		return deliver
	}
	w.trap = nil
	w.zone = "z1"
	if x := w.workers[m.host]; x != nil {
		w.zone = string(x.Listing().Zone)
	}
	w.mu.Unlock()
	w.note("fault at %s from %s to %s", m.step, m.entry.name, m.host)
	defer close(t.reached)
	return t.fire(m)
}

func route(m message) string { return m.entry.name + ">" + m.host }

// awaitOvertaking holds a message until a later one from the same sender to the same receiver has arrived.
func (w *Cluster) awaitOvertaking(m message) {
	passed := make(chan struct{})
	w.mu.Lock()
	w.waiting[route(m)] = passed
	w.mu.Unlock()
	select {
	case <-passed:
	case <-time.After(overtakenBy):
	}
}

func (w *Cluster) overtake(m message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if passed, ok := w.waiting[route(m)]; ok {
		close(passed)
		delete(w.waiting, route(m))
	}
}

// Column is one fault.
type Column struct {
	Name string
	// For is how long the fault lasts before everything is healed.
	For  time.Duration
	fire func(w *Cluster, m message) treatment
}

const (
	// longFreeze outlasts the freshness of 2 s, a reservation of 1 s and a lease of 10 s with its margin.
	longFreeze = 14 * time.Second
	// shortFreeze is shorter than each of them.
	shortFreeze = 700 * time.Millisecond
	// outage is longer than the bound of 5 s after which an edit must be in force.
	outage = 8 * time.Second
	// slowBy makes every reply of the store come after its client has given up.
	slowBy    = 2500 * time.Millisecond
	rosterLag = 3 * time.Second
)

// Columns returns every fault.
func Columns() []Column {
	treat := func(t treatment) func(*Cluster, message) treatment {
		return func(*Cluster, message) treatment { return t }
	}
	return []Column{
		{"entry killed", 3 * time.Second, func(w *Cluster, m message) treatment { w.kill(m.entry); return deliver }},
		{"frozen long", longFreeze, func(w *Cluster, m message) treatment { return w.freeze(m, longFreeze) }},
		{"frozen short", shortFreeze, func(w *Cluster, m message) treatment { return w.freeze(m, shortFreeze) }},
		{"cut", outage, func(w *Cluster, m message) treatment { w.partition(m.entry); return breakReply }},
		{"silent", 4 * time.Second, (*Cluster).silence},
		{"late", 2 * time.Second, treat(late)},
		{"doubled", 2 * time.Second, treat(double)},
		{"reordered", 2 * time.Second, treat(reorder)},
		{"store down", outage, func(w *Cluster, _ message) treatment { return w.fault(store.Faults{Outage: store.OutageRefuse}) }},
		{"store slow", outage, func(w *Cluster, _ message) treatment { return w.fault(store.Faults{Delay: slowBy}) }},
		{"reply lost", 2 * time.Second, func(w *Cluster, _ message) treatment { return w.fault(store.Faults{Lose: 1}) }},
		{"list lags", 2 * rosterLag, (*Cluster).takeAway},
		{"lease lapsed", longFreeze, (*Cluster).freezeWorker},
		{"operators race", 3 * time.Second, treat(yield)}, // the row's own race commands run
		{"worker killed", 4 * time.Second, (*Cluster).killWorker},
	}
}

func (w *Cluster) freeze(m message, d time.Duration) treatment {
	w.note("%s is frozen", m.entry.name)
	m.entry.gate.freeze()
	time.AfterFunc(d, func() {
		w.note("%s goes on", m.entry.name)
		m.entry.gate.release()
	})
	return hold
}

// silence makes the present connections between sender and receiver unresponsive for good; new ones work.
func (w *Cluster) silence(m message) treatment {
	if w.entry(m.host) != nil {
		w.eachConn(m.entry.name, m.host, (*conn).silence)
		return deliver
	}
	if m.host != callerHost {
		w.mu.Lock()
		w.silent[[2]string{m.entry.name, m.host}] = true
		w.mu.Unlock()
	}
	return silenceReply
}

func (w *Cluster) fault(f store.Faults) treatment {
	_ = w.store.SetAll(f)
	return deliver
}

// takeAway has the platform take a worker away while its list of instances lags.
func (w *Cluster) takeAway(m message) treatment {
	w.store.SetLag(rosterLag)
	id := fleet.InstanceID(w.workerAt(m))
	w.mu.Lock()
	w.taken = id
	w.mu.Unlock()
	_ = w.store.Leave(id)
	w.edits.Write(record.Edit{Kind: record.EditLeaving, Time: record.Now().Add(rosterLag), Instance: id})
	return deliver
}

// workerAt returns the worker of a message, or else one of the first availability zone.
func (w *Cluster) workerAt(m message) string {
	if w.isWorker(m.host) {
		return m.host
	}
	return "w1"
}

func (w *Cluster) freezeWorker(m message) treatment {
	id := w.workerAt(m)
	w.note("worker %s is frozen", id)
	w.workers[id].Freeze()
	w.mu.Lock()
	w.frozen = append(w.frozen, id)
	w.mu.Unlock()
	return deliver
}

func (w *Cluster) killWorker(m message) treatment {
	w.note("worker %s dies", w.workerAt(m))
	w.workers[w.workerAt(m)].Die()
	return deliver
}

// column returns the fault with a name.
func column(name string) (Column, error) {
	for _, c := range Columns() {
		if c.Name == name {
			return c, nil
		}
	}
	return Column{}, fmt.Errorf("matrix: unknown fault %q", name)
}
