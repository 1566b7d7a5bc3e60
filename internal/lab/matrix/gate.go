package matrix

import (
	"errors"
	"sync"
)

// errEnded is returned to whatever still runs when a cell has ended.
var errEnded = errors.New("matrix: the cell has ended")

// gate is passed by every message of an entry instance. While the entry instance is frozen or dead nothing passes.
type gate struct {
	end <-chan struct{}

	mu   sync.Mutex
	thaw chan struct{} // closed at the end of a freeze; nil while not frozen
	dead bool
}

// pass waits for the end of a freeze. In a dead entry instance it returns only at the end of the cell.
func (g *gate) pass() error {
	for {
		g.mu.Lock()
		thaw, dead := g.thaw, g.dead
		g.mu.Unlock()
		switch {
		case dead:
			<-g.end
			return errEnded
		case thaw == nil:
			return g.ended()
		}
		select {
		case <-thaw:
		case <-g.end:
			return errEnded
		}
	}
}

func (g *gate) ended() error {
	select {
	case <-g.end:
		return errEnded
	default:
		return nil
	}
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thaw == nil {
		g.thaw = make(chan struct{})
	}
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thaw != nil {
		close(g.thaw)
		g.thaw = nil
	}
}

func (g *gate) kill() {
	g.release()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
}

func (g *gate) isDead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead
}

func (g *gate) isFrozen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.thaw != nil
}
