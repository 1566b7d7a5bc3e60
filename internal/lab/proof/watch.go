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

// watchInterval is the pause between two rounds of reads. A violation that lasts for less may be missed.
const watchInterval = 200 * time.Millisecond

// watch reads the edited sections at every instance, with an API key, so that an instance answers only from a fresh
// view. An answer to a request that was sent more than audit.Grace after an edit's acceptance must show the edit, and
// no later answer of an instance may show an older version than an earlier one.
type watch struct {
	fleet *Fleet
	done  chan struct{}
	once  sync.Once
	g     sync.WaitGroup

	mu         sync.Mutex
	sections   map[string][]acceptedEdit
	violations []string
	// failed counts the reads without an answer, answered those with one.
	failed, answered int
}

func newWatch(f *Fleet) *watch {
	return &watch{fleet: f, done: make(chan struct{}), sections: map[string][]acceptedEdit{}}
}

func (w *watch) track(a acceptedEdit) {
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

// start begins to watch every instance.
func (w *watch) start() {
	for _, i := range w.fleet.instances {
		w.g.Go(func() { w.watchInstance(i) })
	}
}

func (w *watch) stop() {
	w.once.Do(func() { close(w.done) })
	w.g.Wait()
}

func (w *watch) watchInstance(i *Instance) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { <-w.done; cancel() }()
	last := map[string]uint64{}
	for ctx.Err() == nil {
		for _, name := range w.tracked() {
			sent := record.Now()
			_, version, err := w.fleet.readSection(ctx, i, name)
			w.check(i, name, sent, version, last[name], err)
			if err == nil {
				last[name] = version
			}
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
		}
	}
}

func (w *watch) check(i *Instance, name string, sent record.Stamp, version, last uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed++
		return
	}
	w.answered++
	if version < last {
		w.violations = append(w.violations, fmt.Sprintf("%s shows %s at version %d after %d", i.Name, name, version, last))
	}
	for _, a := range w.sections[name] {
		if sent > a.accepted.Add(audit.Grace) && version < a.Version {
			w.violations = append(w.violations, fmt.Sprintf("%s shows %s at version %d, %s after version %d was accepted",
				i.Name, name, version, sent.Sub(a.accepted), a.Version))
		}
	}
}

// checkCurrent returns an error unless an instance serves every accepted edit.
func (w *watch) checkCurrent(ctx context.Context, i *Instance) error {
	for _, name := range w.tracked() {
		_, version, err := w.fleet.readSection(ctx, i, name)
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

// readTimeout bounds one read of a section.
const readTimeout = 3 * time.Second

// readSection returns a section with its version from an instance's fresh view.
func (f *Fleet) readSection(ctx context.Context, i *Instance, section string) (string, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, i.URL()+"/v1/document/sections/"+section, nil)
	if err != nil {
		return "", 0, err
	}
	r.Header.Set("Authorization", "Bearer "+f.adminKey.bearer())
	p, err := operatorClient.Do(r)
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
