package logbuf_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/logbuf"
)

// gate is a writer that waits until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// Guards against an author that waits for a log that can't be written, and against lines that vanish without a word.
func TestWriterNeverWaits(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := logbuf.New(g, 4)
	const lines = 100
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	close(g.open)
	w.Close()
	text := g.text.String()
	kept := strings.Count(text, "line\n")
	if kept < 4 || kept > 6 {
		t.Errorf("%d lines kept", kept)
	}
	if !strings.Contains(text, `"msg":"log: lines dropped"`) {
		t.Errorf("dropped lines are not told: %s", text)
	}
}
