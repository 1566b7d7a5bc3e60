package matrix

import (
	"errors"
	"sync"
)

// errCellEnded is returned to goroutines that still run when a cell has ended.
var errCellEnded = errors.New("matrix: the cell has ended")

// process is the state of an entry instance's process. Every message of the entry instance waits for awaitRunning, so
// none is sent or received while the process is frozen or dead.
type process struct {
	end <-chan struct{}

	mu      sync.Mutex
	resumed chan struct{} // closed when the process is resumed; nil while it is not frozen
	dead    bool
}

// awaitRunning waits until the process is not frozen. For a dead process it returns only at the end of the cell.
func (p *process) awaitRunning() error {
	for {
		p.mu.Lock()
		resumed, dead := p.resumed, p.dead
		p.mu.Unlock()
		switch {
		case dead:
			<-p.end
			return errCellEnded
		case resumed == nil:
			return p.checkCell()
		}
		select {
		case <-resumed:
		case <-p.end:
			return errCellEnded
		}
	}
}

func (p *process) checkCell() error {
	select {
	case <-p.end:
		return errCellEnded
	default:
		return nil
	}
}

func (p *process) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *process) kill() {
	p.resume()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *process) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed != nil
}
