package demo

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
)

// Guards against a signal to a process that has ended without a word on how it ended: a scenario that failed so could
// not be traced.
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
