// Package proof runs real entry instances against fake workers and a fake platform, injects faults into processes and
// connections, and checks what workers, callers and operators recorded against the guarantees of the design page.
package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

const (
	// progressTimeout bounds every wait for progress. It is longer than a busy machine needs and no guarantee of the
	// design page.
	progressTimeout = 60 * time.Second
	pollInterval    = 50 * time.Millisecond
	peerToken       = "proof-peer-token"
	adminToken      = "proof-admin-token"
)

// Instance is one entry instance across its restarts.
type Instance struct {
	Name    string
	process *demo.Process
	dir     string // of the current process, which gets a new one at each start
	starts  int
	// callerLink is the proxy in front of the port that callers and operators use.
	callerLink *Link
	storeLinks map[store.Service]*Link
	usage      map[store.Service]*usage
}

// URL returns the base URL for callers and operators.
func (i *Instance) URL() string { return "http://" + i.callerLink.Address() }

// Fleet is one deployment: entry instances, fake workers and a fake platform.
type Fleet struct {
	*platform
	binary, dir string
	mesh        *Mesh
	instances   []*Instance
	submitKeys  map[fleet.TeamName]key
	adminKey    key
	calls       record.Log[record.Call]
	watch       *watch
	logPaths    []string
}

// NewFleet starts entry instances and returns once their document is in effect and tasks are answered.
func NewFleet(ctx context.Context, binary, dir string, entries int) (*Fleet, error) {
	p, err := newPlatform()
	f := &Fleet{platform: p, binary: binary, dir: dir, mesh: NewMesh(), adminKey: newKey("root", fleet.RoleAdmin),
		submitKeys: map[fleet.TeamName]key{blue: newKey("blue", fleet.RoleSubmit), green: newKey("green", fleet.RoleSubmit)}}
	f.watch = newWatch(f)
	if err == nil {
		err = f.start(ctx, entries)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, entries int) error {
	for n := range entries {
		i, err := f.add(fmt.Sprintf("e%d", n+1))
		if err != nil {
			return err
		}
		if err := f.Launch(ctx, i); err != nil {
			return err
		}
	}
	return f.prepare(ctx)
}

func (f *Fleet) add(name string) (*Instance, error) {
	i := &Instance{Name: name, storeLinks: map[store.Service]*Link{}, usage: map[store.Service]*usage{}}
	for _, v := range store.Services() {
		i.usage[v] = &usage{}
		l, err := f.serveStore(v, i.usage[v])
		if err != nil {
			return nil, err
		}
		i.storeLinks[v] = l
	}
	f.instances = append(f.instances, i)
	return i, nil
}

// Instance returns the entry instance with a name.
func (f *Fleet) Instance(name string) *Instance {
	for _, i := range f.instances {
		if i.Name == name {
			return i
		}
	}
	panic("proof: no entry instance " + name)
}

// Launch starts a new process of an entry instance and waits until it listens.
func (f *Fleet) Launch(ctx context.Context, i *Instance) error {
	i.starts++
	i.dir = filepath.Join(f.dir, fmt.Sprintf("%s.%d", i.Name, i.starts))
	if err := os.MkdirAll(i.dir, 0o700); err != nil {
		return err
	}
	peers, err := f.mesh.Listen(i.Name)
	if err != nil {
		return err
	}
	url := func(v store.Service) string { return "http://" + i.storeLinks[v].Address() }
	e := demo.Entry{Name: i.Name, Zone: "a", Listen: "127.0.0.1:0", Peer: "127.0.0.1:0",
		Table: url(store.Table), Object: url(store.Object), Roster: url(store.Roster),
		PeerToken: peerToken, AdminToken: adminToken, ExtraFlags: []string{"--peer-advertise=" + peers, "--log-level=debug"}}
	if i.process, err = demo.Launch(f.binary, i.dir, e); err != nil {
		return err
	}
	f.store.Put(roster.Listing{ID: fleet.InstanceID(i.Name), Kind: roster.Entry, Address: peers, Zone: "a",
		State: roster.Live})
	log := filepath.Join(i.dir, i.Name+".log")
	f.logPaths = append(f.logPaths, log)
	return f.attach(ctx, i, log)
}

// servingLine is the log line that an entry instance writes once it listens.
type servingLine struct {
	Message string `json:"msg"`
	Address string `json:"address"`
	Peers   string `json:"peers"`
}

func (f *Fleet) attach(ctx context.Context, i *Instance, log string) error {
	var at servingLine
	err := until(ctx, func() error {
		if ended, err := i.process.Exited(); ended {
			return errors.Join(errProcessExited, err)
		}
		var err error
		at, err = readServingLine(log)
		return err
	})
	if err != nil {
		return fmt.Errorf("proof: %s does not listen: %w", i.Name, err)
	}
	f.mesh.Attach(i.Name, at.Peers)
	if i.callerLink != nil {
		return i.callerLink.Move(at.Address)
	}
	i.callerLink, err = NewLink(i.Name, at.Address)
	return err
}

func readServingLine(log string) (servingLine, error) {
	file, err := os.Open(log)
	if err != nil {
		return servingLine{}, err
	}
	defer func() { _ = file.Close() }()
	for s := bufio.NewScanner(file); s.Scan(); {
		var x servingLine
		if json.Unmarshal(s.Bytes(), &x) == nil && x.Message == "node: serving" {
			return x, nil
		}
	}
	return servingLine{}, errors.New(`no log line "node: serving"`)
}

// prepare writes the document and waits until every instance answers tasks of every team.
func (f *Fleet) prepare(ctx context.Context) error {
	for _, i := range f.instances {
		if err := f.AwaitReady(ctx, i); err != nil {
			return err
		}
	}
	sent := record.Now()
	if _, err := f.put(ctx, f.instances[0], "/v1/document", f.document(), "*"); err != nil {
		return err
	}
	for _, t := range []fleet.TeamName{blue, green} {
		f.edits.Write(record.Edit{Kind: record.EditCeiling, Sent: sent, Time: record.Now(), Team: t, Count: ceiling})
	}
	f.edits.Write(record.Edit{Kind: record.EditBudget, Sent: sent, Time: record.Now(), Pool: pool, Count: budget})
	_, version, err := f.readSection(ctx, f.instances[0], baseSection)
	if err != nil {
		return err
	}
	f.watch.track(acceptedEdit{Section: baseSection, Version: version, accepted: record.Now()})
	return f.AwaitConvergence(ctx)
}

// baseSection is read at every instance in every scenario, so that a return to a state before the first document is
// found.
const baseSection = "pool/" + string(pool)

// Kill ends an instance's process without a graceful shutdown.
func (f *Fleet) Kill(i *Instance) { i.process.Kill() }

// Freeze suspends an instance's process until Thaw.
func (f *Fleet) Freeze(i *Instance) error { return i.process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (f *Fleet) Thaw(i *Instance) error { return i.process.Signal(syscall.SIGCONT) }

// Terminate shuts an instance down gracefully and waits for its exit; an exit status other than 0 is an error.
func (f *Fleet) Terminate(ctx context.Context, i *Instance) error {
	if err := i.process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-i.process.Done():
	case <-ctx.Done():
		return fmt.Errorf("proof: %s did not exit after SIGTERM: %w", i.Name, ctx.Err())
	}
	if _, err := i.process.Exited(); err != nil {
		return fmt.Errorf("proof: graceful shutdown of %s: %w", i.Name, err)
	}
	return nil
}

// running returns the instances whose process has not exited.
func (f *Fleet) running() []*Instance {
	var found []*Instance
	for _, i := range f.instances {
		if ended, _ := i.process.Exited(); !ended {
			found = append(found, i)
		}
	}
	return found
}

// Close ends all processes, proxies and fakes.
func (f *Fleet) Close() {
	f.watch.stop()
	for _, i := range f.instances {
		if i.process != nil {
			i.process.Kill()
		}
		if i.callerLink != nil {
			i.callerLink.Close()
		}
		for _, l := range i.storeLinks {
			l.Close()
		}
	}
	f.mesh.Close()
	f.close()
}

// errProcessExited makes until return at once; put also joins it to a refusal, which must not be repeated.
var errProcessExited = errors.New("the process has ended")

// until repeats f until it succeeds, it returns errProcessExited or the context ends.
func until(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || errors.Is(err, errProcessExited) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
