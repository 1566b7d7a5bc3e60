// Package demo runs a whole deployment on loopback addresses: a fake platform, real entry instances, mixed load,
// and an availability zone that is taken out of service and returned. It reports what workers and callers recorded.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// programPackage is the import path of the program that Build builds.
const programPackage = "github.com/yuccahaven/yuccahaven/cmd/yuccahaven"

// Entry is the configuration of one entry instance; only Args maps it to flags.
type Entry struct {
	Name string
	Zone fleet.AvailabilityZone
	// Listen is the address for callers and operators, Peer the one for other entry instances.
	Listen, Peer string
	// Table, Object and Roster are the base URLs of the platform's services.
	Table, Object, Roster string
	PeerToken, AdminToken string
	// ExtraFlags holds additional flags.
	ExtraFlags []string
}

// Args returns the command line without the program name.
func (e Entry) Args() []string {
	return append([]string{
		"serve", "--name=" + e.Name, "--zone=" + string(e.Zone), "--listen=" + e.Listen, "--peer-listen=" + e.Peer,
		"--table=" + e.Table, "--object=" + e.Object, "--roster=" + e.Roster,
		"--peer-token=" + e.PeerToken, "--admin-token=" + e.AdminToken,
	}, e.ExtraFlags...)
}

// URL returns the base URL for callers and operators.
func (e Entry) URL() string { return "http://" + e.Listen }

// Build builds the program into a directory and returns its path; flags are passed to "go build".
func Build(ctx context.Context, dir string, flags ...string) (string, error) {
	path := filepath.Join(dir, "yuccahaven")
	out, err := exec.CommandContext(ctx, "go",
		append(append([]string{"build"}, flags...), "-o", path, programPackage)...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("demo: build: %w: %s", err, out)
	}
	return path, nil
}

// Process is a running entry instance.
type Process struct {
	Entry   Entry
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
	err     error
}

// Launch starts an entry instance and writes its output to NAME.log in a directory.
func Launch(binary, dir string, e Entry) (*Process, error) {
	path := filepath.Join(dir, e.Name+".log")
	out, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	p := &Process{Entry: e, cmd: exec.Command(binary, e.Args()...), logPath: path, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// In a group of its own a stopped process gets no SIGHUP when the shell that has started this process exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		_ = out.Close()
		return nil, fmt.Errorf("demo: start %s: %w", e.Name, err)
	}
	go func() {
		defer close(p.done)
		p.err = p.cmd.Wait()
		_ = out.Close()
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process; if it has exited, the error holds its exit state and the end of its log.
func (p *Process) Signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.done
	tail, readErr := readTail(p.logPath, logTailBytes)
	if readErr != nil {
		return fmt.Errorf("%w: %v; its log: %v", err, p.cmd.ProcessState, readErr)
	}
	return fmt.Errorf("%w: %v; its log ends: %s", err, p.cmd.ProcessState, tail)
}

// logTailBytes is the number of bytes of a log that an error quotes, enough for a few lines.
const logTailBytes = 2000

// readTail returns the last size bytes of a file.
func readTail(path string, size int) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return string(b[max(0, len(b)-size):]), nil
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exited reports whether the process has exited, and returns the error of its exit.
func (p *Process) Exited() (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	default:
		return false, nil
	}
}

// Stop requests a graceful shutdown and kills the process if it has not exited within the timeout.
func (p *Process) Stop(timeout time.Duration) error {
	if exited, err := p.Exited(); exited {
		return fmt.Errorf("demo: %s exited before it was stopped: %v", p.Entry.Name, err)
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("demo: %s: %w", p.Entry.Name, p.err)
		}
		return nil
	case <-t.C:
		p.Kill()
		return fmt.Errorf("demo: %s did not stop within %v and was killed", p.Entry.Name, timeout)
	}
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// freeAddress returns a loopback address that was free at the time of the call.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
