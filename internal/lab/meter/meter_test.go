package meter

import (
	"io"
	"net"
	"runtime"
	"testing"
)

// TestListener guards against bytes that are counted in only one direction or not at all.
func TestListener(t *testing.T) {
	l, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		_, err = io.CopyN(c, c, 5)
		done <- err
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := l.Bytes(); got != 10 {
		t.Errorf("%d bytes counted, want 10", got)
	}
}

// TestHeap guards against a heap size that leaves out reachable memory, and against a processor time that does not
// advance.
func TestHeap(t *testing.T) {
	const size = 16 << 20
	cpu := CPU()
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i)
	}
	// The whole heap is compared, not its growth, which memory that is freed elsewhere meanwhile can make smaller than
	// size (64 bytes were seen).
	live := Heap()
	runtime.KeepAlive(b)
	if live < size {
		t.Errorf("heap of %d bytes while %d bytes are reachable", live, len(b))
	}
	if CPU() <= cpu {
		t.Error("processor time did not advance")
	}
}
