package matrix

import (
	"fmt"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// trigger injects a cell's fault at the first message of a step.
type trigger struct {
	entry  string // name of the message's entry instance; empty matches any
	step   string // prefix of the message's step
	target bool   // whether only messages about the row's own request match
	inject func(message) delivery
	fired  chan struct{}
}

// setTrigger installs a trigger, whose channel fired is closed once the fault is injected.
func (cl *Cluster) setTrigger(t *trigger) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	t.fired = make(chan struct{})
	cl.trigger = t
}

func (cl *Cluster) hasTrigger() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.trigger != nil
}

// intercept injects the cell's fault if the trigger matches a message, and returns how to deliver the message.
func (cl *Cluster) intercept(m message) delivery {
	cl.mu.Lock()
	t := cl.trigger
	if t == nil || !strings.HasPrefix(m.step, t.step) || t.entry != "" && t.entry != m.entry.name ||
		t.target && !m.target {
		cl.mu.Unlock()
		return deliver
	}
	cl.trigger = nil
	cl.faultZone = "z1"
	if x := cl.workers[m.host]; x != nil {
		cl.faultZone = string(x.Listing().Zone)
	}
	cl.mu.Unlock()
	cl.note("fault at %s from %s to %s", m.step, m.entry.name, m.host)
	defer close(t.fired)
	return t.inject(m)
}

func route(m message) string { return m.entry.name + ">" + m.host }

// awaitOvertaking holds a message back until a later one from the same sender to the same receiver has been answered,
// at most for overtakeTimeout.
func (cl *Cluster) awaitOvertaking(m message) {
	passed := make(chan struct{})
	cl.mu.Lock()
	cl.reordered[route(m)] = passed
	cl.mu.Unlock()
	select {
	case <-passed:
	case <-time.After(overtakeTimeout):
	}
}

func (cl *Cluster) releaseReordered(m message) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if passed, ok := cl.reordered[route(m)]; ok {
		close(passed)
		delete(cl.reordered, route(m))
	}
}

// Column is one fault.
type Column struct {
	Name string
	// Duration is the time from the fault until everything is healed.
	Duration time.Duration
	inject   func(cl *Cluster, m message) delivery
}

const (
	// longFreezeDuration exceeds a view's freshness of 2 s, a reservation of 1 s and a lease of 10 s with its margin.
	longFreezeDuration = 14 * time.Second
	// shortFreezeDuration is shorter than each of them.
	shortFreezeDuration = 700 * time.Millisecond
	// outageDuration exceeds the 5 s within which an edit must take effect.
	outageDuration = 8 * time.Second
	// storeDelay exceeds the timeout of the store's clients, so that every reply comes too late.
	storeDelay = 2500 * time.Millisecond
	// rosterLag is the delay after which the roster shows that the platform removes a worker.
	rosterLag = 3 * time.Second
)

// Columns returns every fault.
func Columns() []Column {
	deliverAs := func(d delivery) func(*Cluster, message) delivery {
		return func(*Cluster, message) delivery { return d }
	}
	return []Column{
		{"entry killed", 3 * time.Second, func(cl *Cluster, m message) delivery { cl.kill(m.entry); return deliver }},
		{"frozen long", longFreezeDuration, func(cl *Cluster, m message) delivery {
			return cl.freeze(m, longFreezeDuration)
		}},
		{"frozen short", shortFreezeDuration, func(cl *Cluster, m message) delivery {
			return cl.freeze(m, shortFreezeDuration)
		}},
		{"cut", outageDuration, func(cl *Cluster, m message) delivery { cl.partition(m.entry); return breakReply }},
		{"silent", 4 * time.Second, (*Cluster).silence},
		{"late", 2 * time.Second, deliverAs(delayAndBreak)},
		{"doubled", 2 * time.Second, deliverAs(duplicate)},
		{"reordered", 2 * time.Second, deliverAs(reorder)},
		{"store down", outageDuration, func(cl *Cluster, _ message) delivery {
			return cl.setStoreFaults(store.Faults{Outage: store.OutageRefuse})
		}},
		{"store slow", outageDuration, func(cl *Cluster, _ message) delivery {
			return cl.setStoreFaults(store.Faults{Delay: storeDelay})
		}},
		{"reply lost", 2 * time.Second, func(cl *Cluster, _ message) delivery {
			return cl.setStoreFaults(store.Faults{Lose: 1})
		}},
		{"list lags", 2 * rosterLag, (*Cluster).reclaimWorker},
		{"lease lapsed", longFreezeDuration, (*Cluster).freezeWorker},
		{"operators race", 3 * time.Second, deliverAs(yield)}, // Cell.inject runs the row's Race commands
		{"worker killed", 4 * time.Second, (*Cluster).killWorker},
	}
}

func (cl *Cluster) freeze(m message, d time.Duration) delivery {
	cl.note("%s is frozen", m.entry.name)
	m.entry.process.freeze()
	time.AfterFunc(d, func() {
		cl.note("%s resumes", m.entry.name)
		m.entry.process.resume()
	})
	return holdWhileFrozen
}

// silence makes the open connections between sender and receiver unresponsive for good; new ones work.
// A caller just gets no reply to this message.
func (cl *Cluster) silence(m message) delivery {
	if cl.entry(m.host) != nil {
		cl.eachConn(m.entry.name, m.host, (*conn).silence)
		return deliver
	}
	if m.host != callerHost {
		cl.mu.Lock()
		cl.silent[[2]string{m.entry.name, m.host}] = true
		cl.mu.Unlock()
	}
	return silenceReply
}

func (cl *Cluster) setStoreFaults(f store.Faults) delivery {
	_ = cl.store.SetAll(f)
	return deliver
}

// reclaimWorker has the platform remove a worker while its list of instances lags behind.
func (cl *Cluster) reclaimWorker(m message) delivery {
	cl.store.SetLag(rosterLag)
	id := fleet.InstanceID(cl.workerAt(m))
	cl.mu.Lock()
	cl.reclaimed = id
	cl.mu.Unlock()
	_ = cl.store.Leave(id)
	cl.edits.Write(record.Edit{Kind: record.EditLeaving, Time: record.Now().Add(rosterLag), Instance: id})
	return deliver
}

// workerAt returns the worker that receives a message, or a worker of the first availability zone if none does.
func (cl *Cluster) workerAt(m message) string {
	if cl.isWorker(m.host) {
		return m.host
	}
	return "w1"
}

func (cl *Cluster) freezeWorker(m message) delivery {
	id := cl.workerAt(m)
	cl.note("worker %s is frozen", id)
	cl.workers[id].Freeze()
	cl.mu.Lock()
	cl.frozen = append(cl.frozen, id)
	cl.mu.Unlock()
	return deliver
}

func (cl *Cluster) killWorker(m message) delivery {
	cl.note("worker %s is killed", cl.workerAt(m))
	cl.workers[cl.workerAt(m)].Die()
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
