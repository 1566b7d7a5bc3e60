package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
)

// watchPause is the pause between two rounds of reads; it bounds only how much the watch sees.
const watchPause = 200 * time.Millisecond

// watch reads the edited sections at every instance, with a key, so that only fresh views answer. An answer whose
// request was sent more than the bound after an edit's acceptance must show the edit, and no later answer of an
// instance may show less than an earlier one.
type watch struct {
	fleet *Fleet
	end   chan struct{}
	once  sync.Once
	g     sync.WaitGroup

	mu       sync.Mutex
	sections map[string][]accepted
	breaches []string
	// blind counts reads without an answer, seen those with one.
	blind, seen int
}

func newWatch(f *Fleet) *watch {
	return &watch{fleet: f, end: make(chan struct{}), sections: map[string][]accepted{}}
}

func (w *watch) track(a accepted) {
	if a.Section == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sections[a.Section] = append(w.sections[a.Section], a)
}

func (w *watch) tracked() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for n := range w.sections {
		names = append(names, n)
	}
	return names
}

// start watches every instance until stop.
func (w *watch) start() {
	for _, i := range w.fleet.instances {
		w.g.Go(func() { w.follow(i) })
	}
}

func (w *watch) stop() {
	w.once.Do(func() { close(w.end) })
	w.g.Wait()
}

func (w *watch) follow(i *Instance) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { <-w.end; cancel() }()
	last := map[string]uint64{}
	for ctx.Err() == nil {
		for _, name := range w.tracked() {
			sent := record.Now()
			_, version, err := w.fleet.read(ctx, i, name)
			w.judge(i, name, sent, version, last[name], err)
			if err == nil {
				last[name] = version
			}
		}
		select {
		case <-time.After(watchPause):
		case <-ctx.Done():
		}
	}
}

func (w *watch) judge(i *Instance, name string, sent record.Stamp, version, last uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.blind++
		return
	}
	w.seen++
	if version < last {
		w.breaches = append(w.breaches, fmt.Sprintf("%s shows %s at version %d after %d", i.Name, name, version, last))
	}
	for _, a := range w.sections[name] {
		if sent > a.at.Add(audit.Grace) && version < a.Version {
			w.breaches = append(w.breaches, fmt.Sprintf("%s shows %s at version %d, %s after version %d was accepted",
				i.Name, name, version, sent.Sub(a.at), a.Version))
		}
	}
}

// inForce reports whether an instance shows every edit that was accepted.
func (w *watch) inForce(ctx context.Context, i *Instance) error {
	for _, name := range w.tracked() {
		_, version, err := w.fleet.read(ctx, i, name)
		if err != nil {
			return err
		}
		w.mu.Lock()
		all := w.sections[name]
		newest := all[len(all)-1].Version
		w.mu.Unlock()
		if version < newest {
			return fmt.Errorf("%s shows %s at version %d instead of %d", i.Name, name, version, newest)
		}
	}
	return nil
}

// readTimeout bounds one read.
const readTimeout = 3 * time.Second

// read returns a section with its version from an instance's fresh view.
func (f *Fleet) read(ctx context.Context, i *Instance, section string) (string, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, i.URL()+"/v1/document/sections/"+section, nil)
	if err != nil {
		return "", 0, err
	}
	r.Header.Set("Authorization", "Bearer "+f.admin.bearer())
	p, err := operators.Do(r)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, 64<<10))
	if err != nil || p.StatusCode != http.StatusOK {
		return "", 0, fmt.Errorf("proof: read %s at %s: status %d (%v)", section, i.Name, p.StatusCode, err)
	}
	version, err := strconv.ParseUint(strings.Trim(p.Header.Get("ETag"), `"`), 10, 64)
	return string(b), version, err
}
