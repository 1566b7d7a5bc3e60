package logbuf_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/logbuf"
)

// blockedWriter is a writer whose writes block until unblock is closed; entered is closed when the first one blocks.
type blockedWriter struct {
	unblock chan struct{}
	entered chan struct{}
	once    sync.Once
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// TestWriteNeverBlocks guards against a Write that blocks while the log can't be written, and against lines that are
// dropped without being reported.
func TestWriteNeverBlocks(t *testing.T) {
	to := &blockedWriter{unblock: make(chan struct{}), entered: make(chan struct{})}
	const buffered, lines = 4, 100
	w := logbuf.New(to, buffered)
	for i := range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
		if i == 0 {
			<-to.entered
		}
	}
	close(to.unblock)
	w.Close()
	text := to.text.String()
	kept := strings.Count(text, "line\n")
	if kept != 1+buffered {
		t.Errorf("%d lines kept", kept)
	}
	if !strings.Contains(text, `"msg":"log: lines dropped"`) {
		t.Errorf("dropped lines are not reported: %s", text)
	}
}

// partialReader keeps the first bytes of each write only.
type partialReader struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *partialReader) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.Write(b[:min(len(b), 8<<10)])
	return len(b), nil
}

// TestWholeLines guards against lines that are lost or cut where a reader takes no more than 8 KiB of a write.
func TestWholeLines(t *testing.T) {
	to := &partialReader{}
	w := logbuf.New(to, logbuf.DefaultLines)
	const lines = 2000
	for i := range lines {
		_, _ = w.Write([]byte(strings.Repeat("x", 50+i%300) + "\n"))
	}
	w.Close()
	text := strings.Split(strings.TrimSuffix(to.text.String(), "\n"), "\n")
	if len(text) != lines {
		t.Fatalf("%d lines of %d are left", len(text), lines)
	}
	for i, l := range text {
		if len(l) != 50+i%300 {
			t.Fatalf("line %d has %d bytes, want %d", i, len(l), 50+i%300)
		}
	}
}
