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

// editTimeout bounds one request of an operator.
const editTimeout = 10 * time.Second

var operatorClient = &http.Client{Timeout: editTimeout}

// errNotAccepted reports a refusal that a retry would not change.
var errNotAccepted = errors.New("proof: edit refused")

// acceptedEdit is an edit whose acceptance an instance has confirmed.
type acceptedEdit struct {
	Section  string `json:"section"`
	Version  uint64 `json:"version"`
	sent     record.Stamp
	accepted record.Stamp
}

// sendEdit makes one attempt of an edit. The status is 0 if no reply was received.
func (f *Fleet) sendEdit(ctx context.Context, i *Instance, path, body, match string) (int, acceptedEdit, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, i.URL()+path, strings.NewReader(body))
	if err != nil {
		return 0, acceptedEdit{}, err
	}
	r.Header.Set("Authorization", "Bearer "+adminToken)
	r.Header.Set("If-Match", match)
	a := acceptedEdit{sent: record.Now()}
	p, err := operatorClient.Do(r)
	if err != nil {
		return 0, a, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, 64<<10))
	a.accepted = record.Now()
	if err != nil || p.StatusCode >= http.StatusMultipleChoices {
		return p.StatusCode, a, errors.Join(err, fmt.Errorf("status %d: %s", p.StatusCode, b))
	}
	return p.StatusCode, a, json.Unmarshal(b, &a)
}

// put sends an edit to the running instances in turn, beginning with a given one, until it is accepted or refused
// with a client error.
func (f *Fleet) put(ctx context.Context, first *Instance, path, body, match string) (acceptedEdit, error) {
	sent := record.Now()
	at := append([]*Instance{first}, f.running()...)
	n := 0
	var done acceptedEdit
	err := until(ctx, func() error {
		i := at[n%len(at)]
		n++
		status, a, err := f.sendEdit(ctx, i, path, body, match)
		if err != nil && status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			return errors.Join(errProcessExited, errNotAccepted, err)
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

func (f *Fleet) putSection(ctx context.Context, i *Instance, name, text string) (acceptedEdit, error) {
	return f.put(ctx, i, "/v1/document/sections/"+name, text, "*")
}

// Zone sets the state of an availability zone.
func (f *Fleet) Zone(ctx context.Context, i *Instance, z fleet.AvailabilityZone, s fleet.ZoneState) error {
	a, err := f.putSection(ctx, i, "zone/"+string(z), zoneText(s))
	if err == nil {
		f.edits.Write(record.Edit{Kind: record.EditZone, Sent: a.sent, Time: a.accepted, Zone: z, State: s})
	}
	return err
}

// Ceiling sets the ceiling of a team.
func (f *Fleet) Ceiling(ctx context.Context, i *Instance, t fleet.TeamName, n int) error {
	a, err := f.putSection(ctx, i, "team/"+string(t), teamText(n))
	if err == nil {
		f.edits.Write(record.Edit{Kind: record.EditCeiling, Sent: a.sent, Time: a.accepted, Team: t, Count: n})
	}
	return err
}

// raceEdits has two operators change the ceiling of a team at the same time, each based on the version that it read. It
// fails if one of them overwrote a change that it had not read.
func (f *Fleet) raceEdits(ctx context.Context, at [2]*Instance, t fleet.TeamName, rounds int) error {
	section := "team/" + string(t)
	l := &editLog{}
	var g sync.WaitGroup
	for o, i := range at {
		g.Go(func() {
			for n := range rounds {
				_, base, err := f.readSection(ctx, i, section)
				if err != nil {
					continue
				}
				// The two operators never request the same ceiling in a round.
				limit := ceiling - 2 + (n+2*o)%4
				status, a, err := f.sendEdit(ctx, i, "/v1/document/sections/"+section, teamText(limit),
					fmt.Sprintf("%q", fmt.Sprint(base)))
				l.add(status, base, a.Version)
				// An edit of unknown outcome may have been applied, so it is recorded too.
				if err == nil || status != http.StatusConflict {
					f.edits.Write(record.Edit{Kind: record.EditCeiling, Sent: a.sent, Time: record.Now(), Team: t, Count: limit})
				}
			}
		})
	}
	g.Wait()
	// The order of the replies at the operators may differ from that of the versions; this edit sets a known last
	// value.
	if err := f.Ceiling(ctx, at[0], t, ceiling); err != nil {
		return err
	}
	return l.check()
}

// editLog records which version each accepted edit of a section replaced.
type editLog struct {
	mu          sync.Mutex
	replacedBy  map[uint64]uint64
	lostUpdates []string
	versions    map[uint64]bool
	unknown     int
	accepted    int
}

func (l *editLog) add(status int, base, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case status == http.StatusOK:
		if l.replacedBy == nil {
			l.replacedBy, l.versions = map[uint64]uint64{}, map[uint64]bool{}
		}
		if other, ok := l.replacedBy[base]; ok {
			l.lostUpdates = append(l.lostUpdates, fmt.Sprintf("%d and %d both replace %d", other, version, base))
		}
		l.replacedBy[base], l.versions[version] = version, true
		l.accepted++
	case status == 0 || status >= http.StatusInternalServerError:
		l.unknown++
	}
}

func (l *editLog) check() error {
	if len(l.lostUpdates) > 0 {
		return fmt.Errorf("proof: lost updates: %v", l.lostUpdates)
	}
	if l.accepted == 0 {
		return errors.New("proof: no edit of the race was accepted")
	}
	unknownBases := 0
	for base := range l.replacedBy {
		if !l.versions[base] {
			unknownBases++
		}
	}
	// One base is the version before the first edit; an edit of unknown outcome may have written another.
	if unknownBases > 1+l.unknown {
		return fmt.Errorf("proof: %d edits replace versions that no accepted edit wrote, %d edits have an unknown outcome",
			unknownBases, l.unknown)
	}
	return nil
}
