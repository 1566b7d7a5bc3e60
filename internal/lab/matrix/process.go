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
func (g *process) awaitRunning() error {
	for {
		g.mu.Lock()
		thaw, dead := g.resumed, g.dead
		g.mu.Unlock()
		switch {
		case dead:
			<-g.end
			return errCellEnded
		case thaw == nil:
			return g.checkCell()
		}
		select {
		case <-thaw:
		case <-g.end:
			return errCellEnded
		}
	}
}

func (g *process) checkCell() error {
	select {
	case <-g.end:
		return errCellEnded
	default:
		return nil
	}
}

func (g *process) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

func (g *process) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *process) kill() {
	g.resume()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

func (g *process) isDead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead
}

func (g *process) isFrozen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed != nil
}
