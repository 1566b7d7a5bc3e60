package demo

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// Guards against a paused instance that ends by SIGHUP: the system sends it to a process group with a stopped process when the
// shell job that started the group ends.
func TestLaunchUsesOwnProcessGroup(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	p, err := Launch(program, dir, Entry{Name: "e1"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	if group, err := syscall.Getpgid(p.PID()); err != nil || group != p.PID() {
		t.Errorf("process %d is in group %d, error %v", p.PID(), group, err)
	}
}
