// Package logbuf buffers log lines so that logging never blocks.
package logbuf

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultLines is the default number of buffered lines; further lines are dropped and counted.
const DefaultLines = 4096

// Writer writes lines to another writer in the background.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New starts a writer that buffers at most the given number of lines.
func New(to io.Writer, lines int) *Writer {
	w := &Writer{lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run(to)
	return w
}

// Write buffers a line, or drops it if the buffer is full; it never fails.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer; it does nothing, because it would have to block.
func (w *Writer) Sync() error { return nil }

// Close writes the buffered lines and stops the writer; Write must not be called afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

// maxBatchBytes bounds a write of several lines: readers that take the log in parts of this size get whole lines.
const maxBatchBytes = 8 << 10

func (w *Writer) run(to io.Writer) {
	defer close(w.done)
	var batch []byte
	flush := func() {
		// An error is ignored, because there is nowhere to log it.
		_, _ = to.Write(batch)
		batch = batch[:0]
	}
	add := func(line []byte) {
		if len(batch) > 0 && len(batch)+len(line) > maxBatchBytes {
			flush()
		}
		batch = append(batch, line...)
	}
	for line := range w.lines {
		add(line)
		for more := true; more; {
			select {
			case line, more = <-w.lines:
				add(line)
			default:
				more = false
			}
		}
		if n := w.dropped.Swap(0); n > 0 {
			add(fmt.Appendf(nil, `{"level":"warn","msg":"log: lines dropped","lines":%d}`+"\n", n))
		}
		flush()
	}
}
