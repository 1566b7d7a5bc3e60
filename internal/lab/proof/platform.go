package proof

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/lab/worker"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

const workersPerZone = 2

// platform is the fake store, roster and workers of one fleet, in this process, each behind a proxy.
type platform struct {
	store       *store.Store
	workers     map[fleet.InstanceID]*worker.Worker
	workerLinks map[fleet.InstanceID]*Link
	journal     record.Log[record.Journal]
	edits       record.Log[record.Edit]
	listeners   []*port.TCP
	mu          sync.Mutex
	// written holds every value that was written to the table, except those of task records.
	written bytes.Buffer
}

func newPlatform() (*platform, error) {
	p := &platform{workers: map[fleet.InstanceID]*worker.Worker{}, workerLinks: map[fleet.InstanceID]*Link{}}
	recordPools := demo.RecordPoolEdits(&p.edits)
	p.store = store.New(store.WithCommitObserver(func(t table.Transaction) {
		recordPools(t)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, w := range t.Writes {
			if !strings.HasPrefix(w.Key, "task/") {
				p.written.Write(w.Value)
			}
		}
	}))
	for _, z := range zones() {
		for n := range workersPerZone {
			if err := p.addWorker(z, n); err != nil {
				return p, err
			}
		}
	}
	return p, nil
}

func (p *platform) addWorker(z fleet.AvailabilityZone, n int) error {
	l := roster.Listing{ID: fleet.InstanceID(fmt.Sprintf("w-%s%d", z, n)), Zone: z, Rack: fmt.Sprintf("%s%d", z, n)}
	w := worker.New(l, &p.journal, worker.WithVersion("v1"))
	t, err := w.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listeners = append(p.listeners, t)
	link, err := NewLink(string(l.ID), t.Address())
	if err != nil {
		return err
	}
	p.workers[l.ID], p.workerLinks[l.ID] = w, link
	listing := w.Listing()
	listing.Address = link.Address()
	p.store.Put(listing)
	return nil
}

// usage counts the requests of one entry instance to a service and the bytes of the replies.
type usage struct {
	requests, bytes atomic.Int64
}

// serveStore opens a separate port for one entry instance, so that its use of a service can be counted and cut
// separately.
func (p *platform) serveStore(v store.Service, u *usage) (*Link, error) {
	h := p.store.Handler(v)
	t, err := port.Listen("127.0.0.1:0", 0, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.requests.Add(1)
		h.ServeHTTP(&countingWriter{ResponseWriter: w, usage: u}, r)
	}))
	if err != nil {
		return nil, err
	}
	p.listeners = append(p.listeners, t)
	return NewLink(string(v), t.Address())
}

type countingWriter struct {
	http.ResponseWriter
	usage *usage
}

// Write implements http.ResponseWriter.
func (c *countingWriter) Write(b []byte) (int, error) {
	c.usage.bytes.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}

// tableValues returns every value that was written to the table, except those of task records.
func (p *platform) tableValues() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Clone(p.written.Bytes())
}

func (p *platform) close() {
	for _, l := range p.workerLinks {
		l.Close()
	}
	for _, t := range p.listeners {
		t.Refuse()
	}
}
