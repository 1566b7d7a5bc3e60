package demo

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
)

// TestSignalAfterEnd guards against a signal to an exited process whose error does not say how the process exited: the
// cause of a scenario that failed so could not be found.
func TestSignalAfterEnd(t *testing.T) {
	p, err := Launch("false", t.TempDir(), Entry{Name: "e1"})
	if err != nil {
		t.Fatal(err)
	}
	<-p.Done()
	err = p.Signal(syscall.SIGCONT)
	if !errors.Is(err, os.ErrProcessDone) || !strings.Contains(err.Error(), "exit status 1") {
		t.Errorf("error: %v", err)
	}
}
