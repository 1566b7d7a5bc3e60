package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// editTimeout bounds one attempt of an operator.
const editTimeout = 10 * time.Second

var operators = &http.Client{Timeout: editTimeout}

// errNotAccepted is returned for an edit that was refused for good.
var errNotAccepted = errors.New("proof: edit refused")

// accepted is an edit that the operator was told to be in force.
type accepted struct {
	Section string `json:"section"`
	Version uint64 `json:"version"`
	sent    record.Stamp
	at      record.Stamp
}

// sendEdit makes one attempt of an edit. The status is 0 if no answer came.
func (f *Fleet) sendEdit(ctx context.Context, i *Instance, path, body, match string) (int, accepted, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, i.URL()+path, strings.NewReader(body))
	if err != nil {
		return 0, accepted{}, err
	}
	r.Header.Set("Authorization", "Bearer "+adminToken)
	r.Header.Set("If-Match", match)
	a := accepted{sent: record.Now()}
	p, err := operators.Do(r)
	if err != nil {
		return 0, a, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, 64<<10))
	a.at = record.Now()
	if err != nil || p.StatusCode >= http.StatusMultipleChoices {
		return p.StatusCode, a, errors.Join(err, fmt.Errorf("status %d: %s", p.StatusCode, b))
	}
	return p.StatusCode, a, json.Unmarshal(b, &a)
}

// put sends an edit, at each instance in turn from a first one on, until it is accepted or refused for good.
func (f *Fleet) put(ctx context.Context, first *Instance, path, body, match string) (accepted, error) {
	sent := record.Now()
	at := append([]*Instance{first}, f.running()...)
	n := 0
	var done accepted
	err := until(ctx, func() error {
		i := at[n%len(at)]
		n++
		status, a, err := f.sendEdit(ctx, i, path, body, match)
		if err != nil && status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			return errors.Join(errEnded, errNotAccepted, err)
		}
		done = a
		return err
	})
	done.sent = sent
	if err != nil {
		return done, fmt.Errorf("proof: edit %s: %w", path, err)
	}
	f.watch.track(done)
	return done, nil
}

func (f *Fleet) putSection(ctx context.Context, i *Instance, name, text string) (accepted, error) {
	return f.put(ctx, i, "/v1/document/sections/"+name, text, "*")
}

// Zone sets the state of an availability zone.
func (f *Fleet) Zone(ctx context.Context, i *Instance, z fleet.AvailabilityZone, s fleet.ZoneState) error {
	a, err := f.putSection(ctx, i, "zone/"+string(z), zoneText(s))
	if err == nil {
		f.edits.Write(record.Edit{Kind: record.EditZone, Sent: a.sent, Time: a.at, Zone: z, State: s})
	}
	return err
}

// Ceiling sets the ceiling of a team.
func (f *Fleet) Ceiling(ctx context.Context, i *Instance, t fleet.TeamName, n int) error {
	a, err := f.putSection(ctx, i, "team/"+string(t), teamText(n))
	if err == nil {
		f.edits.Write(record.Edit{Kind: record.EditCeiling, Sent: a.sent, Time: a.at, Team: t, Count: n})
	}
	return err
}

// race lets two operators change the ceiling of a team, each based on the version that it read, and returns an error
// if one of them overwrote a change that it had not seen.
func (f *Fleet) race(ctx context.Context, at [2]*Instance, t fleet.TeamName, rounds int) error {
	section := "team/" + string(t)
	l := &lineage{}
	var g sync.WaitGroup
	for o, i := range at {
		g.Go(func() {
			for n := range rounds {
				_, base, err := f.read(ctx, i, section)
				if err != nil {
					continue
				}
				limit := ceiling - 2 + (n+2*o)%4
				status, a, err := f.sendEdit(ctx, i, "/v1/document/sections/"+section, teamText(limit), fmt.Sprintf("%q", fmt.Sprint(base)))
				l.note(status, base, a.Version)
				if err == nil || status != http.StatusConflict {
					f.edits.Write(record.Edit{Kind: record.EditCeiling, Sent: a.sent, Time: record.Now(), Team: t, Count: limit})
				}
			}
		})
	}
	g.Wait()
	// The order of acceptance at the operators need not be that of the versions; this edit settles the last one.
	if err := f.Ceiling(ctx, at[0], t, ceiling); err != nil {
		return err
	}
	return l.check()
}

// lineage is which version each accepted edit of a section replaced.
type lineage struct {
	mu       sync.Mutex
	next     map[uint64]uint64
	shared   []string
	written  map[uint64]bool
	unknown  int
	accepted int
}

func (l *lineage) note(status int, base, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case status == http.StatusOK:
		if l.next == nil {
			l.next, l.written = map[uint64]uint64{}, map[uint64]bool{}
		}
		if other, ok := l.next[base]; ok {
			l.shared = append(l.shared, fmt.Sprintf("%d and %d both replace %d", other, version, base))
		}
		l.next[base], l.written[version] = version, true
		l.accepted++
	case status == 0 || status >= http.StatusInternalServerError:
		l.unknown++
	}
}

func (l *lineage) check() error {
	if len(l.shared) > 0 {
		return fmt.Errorf("proof: lost updates: %v", l.shared)
	}
	if l.accepted == 0 {
		return errors.New("proof: no edit of the race was accepted")
	}
	foreign := 0
	for base := range l.next {
		if !l.written[base] {
			foreign++
		}
	}
	if foreign > 1+l.unknown {
		return fmt.Errorf("proof: %d edits replace versions that nobody wrote, with %d unknown outcomes", foreign, l.unknown)
	}
	return nil
}
