// Package logbuf writes log lines without ever making their author wait.
package logbuf

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultLines is how many lines may wait to be written; further ones are dropped and counted.
const DefaultLines = 4096

// Writer hands lines to another writer in the background.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a writer that holds at most a number of lines back.
func New(to io.Writer, lines int) *Writer {
	w := &Writer{lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run(to)
	return w
}

// Write takes a line in, or drops it if too many wait. It never fails.
func (w *Writer) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer; it does nothing, because it would have to wait.
func (w *Writer) Sync() error { return nil }

// Close writes what waits and ends the writer; no line may be written afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

// batchBytes is how much is written at once, in bytes.
const batchBytes = 32 << 10

func (w *Writer) run(to io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < batchBytes; {
			select {
			case line, ok := <-w.lines:
				batch = append(batch, line...)
				more = ok
			default:
				more = false
			}
		}
		if n := w.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, `{"level":"warn","msg":"log: lines dropped","lines":%d}`+"\n", n)
		}
		// Nothing can be done or said about a log that can't be written.
		_, _ = to.Write(batch)
	}
}
