package demo

import (
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/lab/worker"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

// rosterLag is the delay after which the roster lists a change.
const rosterLag = time.Second

// Platform is the fake platform of one deployment, in this process.
type Platform struct {
	Store   *store.Store
	Workers map[fleet.InstanceID]*worker.Worker
	Journal *record.Log[record.Journal]
	Edits   *record.Log[record.Edit]
	urls    map[store.Service]string
	ports   []*port.TCP
	// workerPorts are the entries of ports that belong to workers.
	workerPorts []*port.TCP
}

// NewPlatform starts the store and a number of workers per zone on free loopback ports.
func NewPlatform(workersPerZone int) (*Platform, error) {
	p := &Platform{
		Workers: map[fleet.InstanceID]*worker.Worker{}, Journal: &record.Log[record.Journal]{},
		Edits: &record.Log[record.Edit]{}, urls: map[store.Service]string{},
	}
	recorder := newPoolRecorder(p.Edits)
	p.Store = store.New(store.WithLag(rosterLag), store.WithCommitObserver(recorder.observe))
	if err := p.listen(workersPerZone); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) listen(workersPerZone int) error {
	for _, v := range store.Services() {
		l, err := p.Store.Listen(v, "127.0.0.1:0")
		if err != nil {
			return err
		}
		p.ports = append(p.ports, l)
		p.urls[v] = "http://" + l.Address()
	}
	for _, z := range zones() {
		for n := range workersPerZone {
			if err := p.addWorker(z, n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Platform) addWorker(z fleet.AvailabilityZone, n int) error {
	const perRack = 4
	l := roster.Listing{
		ID: fleet.InstanceID(fmt.Sprintf("w-%s%d", z, n)), Zone: z, Rack: fmt.Sprintf("%s%d", z, n/perRack),
	}
	w := worker.New(l, p.Journal)
	t, err := w.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	p.ports = append(p.ports, t)
	p.workerPorts = append(p.workerPorts, t)
	p.Workers[l.ID] = w
	p.Store.Put(w.Listing())
	return nil
}

// Leave announces that the platform will remove a worker, and records when the roster lists that.
func (p *Platform) Leave(id fleet.InstanceID) error {
	if err := p.Store.Leave(id); err != nil {
		return fmt.Errorf("demo: %s: %w", id, err)
	}
	p.Workers[id].Leave(true, false)
	p.Edits.Write(record.Edit{Kind: record.EditLeaving, Time: record.Now().Add(rosterLag), Instance: id})
	return nil
}

// PeakConnections returns the largest number of simultaneous connections of any worker.
func (p *Platform) PeakConnections() int {
	peak := 0
	for _, t := range p.workerPorts {
		peak = max(peak, t.Peak())
	}
	return peak
}

// Close closes the ports of the store and the workers.
func (p *Platform) Close() {
	for _, t := range p.ports {
		t.Refuse()
	}
}
