package fakes

import (
	"errors"
	"sync"
)

// ErrStreamClosed is the error of a closed stream.
var ErrStreamClosed = errors.New("fakes: stream closed")

// Stream is one end of an in-memory stream: it sends messages of one type and receives those of another.
type Stream[S, R any] struct {
	out  *direction[S]
	in   *direction[R]
	pair *streamPair
}

// streamPair is what both ends share.
type streamPair struct {
	once   sync.Once
	closed chan struct{}
}

// direction carries the messages of one end to the other. While it is held, messages wait; they are delivered afterwards,
// as by a network that was partitioned.
type direction[M any] struct {
	mu      sync.Mutex
	held    bool
	waiting []M
	// changed is closed and replaced when a message can be received or the direction is released.
	changed chan struct{}
}

// NewStream returns the two ends of a stream.
func NewStream[S, R any]() (*Stream[S, R], *Stream[R, S]) {
	there := &direction[S]{changed: make(chan struct{})}
	back := &direction[R]{changed: make(chan struct{})}
	pair := &streamPair{closed: make(chan struct{})}
	return &Stream[S, R]{there, back, pair}, &Stream[R, S]{back, there, pair}
}

// Send sends a message. It never blocks.
func (s *Stream[S, R]) Send(m S) error {
	select {
	case <-s.pair.closed:
		return ErrStreamClosed
	default:
	}
	s.out.add(m)
	return nil
}

// Receive waits for the next message.
func (s *Stream[S, R]) Receive() (R, error) {
	for {
		m, ok, changed := s.in.take()
		if ok {
			return m, nil
		}
		select {
		case <-changed:
		case <-s.pair.closed:
			return m, ErrStreamClosed
		}
	}
}

// Close closes both ends.
func (s *Stream[S, R]) Close() error {
	s.pair.once.Do(func() { close(s.pair.closed) })
	return nil
}

// Hold holds up what this end sends, or releases it.
func (s *Stream[S, R]) Hold(held bool) {
	d := s.out
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = held
	d.signal()
}

func (d *direction[M]) add(m M) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = append(d.waiting, m)
	d.signal()
}

// signal wakes the receiver; mu must be held.
func (d *direction[M]) signal() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *direction[M]) take() (M, bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var m M
	if d.held || len(d.waiting) == 0 {
		return m, false, d.changed
	}
	m = d.waiting[0]
	d.waiting = d.waiting[1:]
	return m, true, nil
}
