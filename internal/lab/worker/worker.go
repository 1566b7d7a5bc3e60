// Package worker implements fakes of the platform's workers, which run tasks as the header of their input says, keep a
// journal and inject the faults that real workers show.
package worker

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// Defaults and limits of a worker.
const (
	DefaultSlots    = 8
	DefaultBootTime = time.Second
	// MaxConnections is the number of connections that a worker accepts.
	MaxConnections = 64
	// retention is how long ended tasks and fenced ids are kept.
	retention = 15 * time.Minute
	// rebootDelay lets the reply to a reboot request reach the caller before the worker goes down.
	rebootDelay = 50 * time.Millisecond
)

// ErrNotIdle is returned for a reboot while tasks run.
var ErrNotIdle = errors.New("worker: tasks are running")

// Worker is one fake worker.
type Worker struct {
	listing  roster.Listing
	bootTime time.Duration
	sink     record.Sink[record.Journal]

	mu                  sync.Mutex
	endpoint            port.Endpoint
	version             string
	bootCount           int
	tasks               map[fleet.TaskID]*task
	usedSlots           int
	cleanedAt           time.Time
	down                bool
	leaving             bool
	refusesReservations bool
	rebooting           bool
	failText            string
	throttleFactor      float64
	// thawed is closed at the end of a freeze and nil while the worker is not frozen. Timers that fire during a freeze
	// are kept in delayed.
	thawed  chan struct{}
	delayed []func()
}

// Option changes a setting of a Worker.
type Option func(*Worker)

// WithBootTime sets how long a reboot takes.
func WithBootTime(d time.Duration) Option { return func(w *Worker) { w.bootTime = d } }

// WithVersion sets the system version of the first boot.
func WithVersion(v string) Option { return func(w *Worker) { w.version = v } }

// New returns a booted worker; its id, zone, rack and slots (0 is DefaultSlots) come from its listing.
func New(l roster.Listing, sink record.Sink[record.Journal], options ...Option) *Worker {
	if l.Slots == 0 {
		l.Slots = DefaultSlots
	}
	l.Kind, l.State = roster.Worker, roster.Live
	w := &Worker{listing: l, bootTime: DefaultBootTime, sink: sink, throttleFactor: 1, cleanedAt: time.Now()}
	for _, o := range options {
		o(w)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bootLocked()
	return w
}

// Listen serves the worker on a TCP port.
func (w *Worker) Listen(address string) (*port.TCP, error) {
	p, err := port.Listen(address, MaxConnections, w.Handler())
	if err != nil {
		return nil, fmt.Errorf("worker: %s: %w", w.listing.ID, err)
	}
	w.attach(p)
	return p, nil
}

// Join serves the worker in an in-memory network under its listed address.
func (w *Worker) Join(n *port.Network) { w.attach(n.Listen(w.listing.Address, w.Handler())) }

// Listing returns the worker as the roster lists it.
func (w *Worker) Listing() roster.Listing {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listing
}

func (w *Worker) attach(e port.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoint = e
	w.listing.Address = e.Address()
}

func (w *Worker) bootLocked() {
	w.bootCount++
	w.tasks = map[fleet.TaskID]*task{}
	w.usedSlots, w.down, w.leaving, w.refusesReservations, w.rebooting = 0, false, false, false, false
	w.writeJournalLocked(record.Journal{Event: record.Booted, Detail: w.version})
}

func (w *Worker) bootID() string { return fmt.Sprintf("%s.%d", w.listing.ID, w.bootCount) }

func (w *Worker) writeJournalLocked(r record.Journal) {
	r.Time, r.Instance, r.Zone, r.Boot = record.Now(), w.listing.ID, w.listing.Zone, w.bootID()
	w.sink.Write(r)
}

// Report returns the worker's status.
func (w *Worker) Report() worker.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := worker.Report{
		Instance: w.listing.ID, Slots: w.listing.Slots, Used: w.usedSlots, Leaving: w.leaving,
		Version: w.version, Boot: w.bootID(), Tasks: []worker.ReportedTask{},
	}
	if w.endpoint != nil {
		r.Connections = w.endpoint.Connections()
	}
	for id, t := range w.tasks {
		if !t.status.State.Ended() {
			r.Tasks = append(r.Tasks, worker.ReportedTask{Task: id, Team: t.reservation.Team, State: t.status.State})
		}
	}
	return r
}
