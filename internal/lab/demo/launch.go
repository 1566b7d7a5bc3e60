// Package demo runs a whole deployment on loopback addresses: stand-ins for the platform, real entry instances,
// mixed load and an availability zone that leaves and returns. It reports what workers and callers recorded.
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

// command is the package that Build builds.
const command = "github.com/yuccahaven/yuccahaven/cmd/yuccahaven"

// Entry is how one entry instance is started; Args is the only place that knows the flags.
type Entry struct {
	Name string
	Zone fleet.AvailabilityZone
	// Listen is the address for callers and operators, Peer that for other entry instances.
	Listen, Peer string
	// Table, Object and Roster are base URLs.
	Table, Object, Roster string
	PeerToken, AdminToken string
	// More are further flags.
	More []string
}

// Args returns the command line without the program.
func (e Entry) Args() []string {
	return append([]string{
		"serve", "--name=" + e.Name, "--zone=" + string(e.Zone), "--listen=" + e.Listen, "--peer-listen=" + e.Peer,
		"--table=" + e.Table, "--object=" + e.Object, "--roster=" + e.Roster,
		"--peer-token=" + e.PeerToken, "--admin-token=" + e.AdminToken,
	}, e.More...)
}

// URL returns the base URL for callers and operators.
func (e Entry) URL() string { return "http://" + e.Listen }

// Build builds the program into a directory and returns its path; flags are those of the Go command.
func Build(ctx context.Context, dir string, flags ...string) (string, error) {
	path := filepath.Join(dir, "yuccahaven")
	out, err := exec.CommandContext(ctx, "go", append(append([]string{"build"}, flags...), "-o", path, command)...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("demo: build: %w: %s", err, out)
	}
	return path, nil
}

// Process is a running entry instance.
type Process struct {
	Entry Entry
	cmd   *exec.Cmd
	log   string
	done  chan struct{}
	err   error
}

// Launch starts an entry instance whose output goes to a file in a directory.
func Launch(binary, dir string, e Entry) (*Process, error) {
	path := filepath.Join(dir, e.Name+".log")
	out, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	p := &Process{Entry: e, cmd: exec.Command(binary, e.Args()...), log: path, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
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

// Signal sends a signal to the process; for one that has ended the error says how it ended and what it wrote last.
func (p *Process) Signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.done
	tail, readErr := lastLines(p.log, lastWords)
	if readErr != nil {
		return fmt.Errorf("%w: %v; its log: %v", err, p.cmd.ProcessState, readErr)
	}
	return fmt.Errorf("%w: %v; its log ends: %s", err, p.cmd.ProcessState, tail)
}

// lastWords is how many bytes of a log go into an error; a few lines.
const lastWords = 2000

// lastLines returns the end of a file.
func lastLines(path string, size int) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return string(b[max(0, len(b)-size):]), nil
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exited reports whether the process has ended, and how.
func (p *Process) Exited() (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	default:
		return false, nil
	}
}

// Stop asks for a graceful shutdown and kills the process if that takes longer than patience.
func (p *Process) Stop(patience time.Duration) error {
	if ended, err := p.Exited(); ended {
		return fmt.Errorf("demo: %s had ended before: %v", p.Entry.Name, err)
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("demo: %s: %w", p.Entry.Name, p.err)
		}
		return nil
	case <-t.C:
		p.Kill()
		return fmt.Errorf("demo: %s did not stop within %v", p.Entry.Name, patience)
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
