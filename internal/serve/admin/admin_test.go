package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/plan/spare"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/serve/burn"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// fakeStore is a fake of the view replica and the store behind it. Its mode makes it fail.
type fakeStore struct {
	view  fleet.View
	mode  string
	audit []admin.AuditRecord
}

func (f *fakeStore) View() fleet.View { return f.view }

func (f *fakeStore) Fresh() error {
	if f.mode == "stale" {
		return reject.New(reject.KindStale, reject.WorkNotRun, "the view is not confirmed").WithRetryAfter(time.Second)
	}
	return nil
}

func (f *fakeStore) Edit(_ context.Context, author string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	if f.mode == "down" {
		return 0, reject.New(reject.KindStore, reject.WorkNotRun, "the edit was not applied").WithRetryAfter(2 * time.Second)
	}
	items, err := change(f.view)
	if err != nil || len(items) == 0 {
		return f.view.Revision(), err
	}
	record := admin.AuditRecord{Revision: f.view.Revision() + 1, Author: author}
	for _, i := range items {
		f.apply(i)
		record.Keys = append(record.Keys, i.Key)
	}
	f.audit = append(f.audit, record)
	d, findings := spec.Decode(f.view.Sections())
	if len(findings) > 0 {
		return 0, fmt.Errorf("accepted an edit with findings: %v", findings)
	}
	f.view = f.view.WithDocument(d).WithRevision(record.Revision)
	switch f.mode {
	case "unconfirmed":
		return record.Revision, reject.New(reject.KindUnconfirmed, reject.WorkRun, "stored, not yet confirmed")
	case "unknown":
		return 0, reject.New(reject.KindStore, reject.WorkUnknown, "the store did not say whether it was written")
	}
	return record.Revision, nil
}

func (f *fakeStore) apply(i fleet.Item) {
	parts := strings.SplitN(i.Key, "/", 3)
	switch {
	case parts[1] == "section" && i.Value == nil:
		f.view = f.view.WithoutSection(parts[2])
	case parts[1] == "section":
		s := decode[fleet.Section](i.Value)
		s.Version = f.view.Revision() + 1
		f.view = f.view.WithSection(s)
	case parts[1] == "zone":
		s := decode[fleet.ZoneStatus](i.Value)
		s.Generation = f.view.Revision() + 1
		f.view = f.view.WithZone(fleet.AvailabilityZone(parts[2]), s)
	case parts[1] == "pool":
		f.view = f.view.WithPool(fleet.PoolName(parts[2]), decode[[]fleet.PoolMember](i.Value))
	}
}

func decode[T any](b []byte) T {
	var v T
	if err := json.Unmarshal(b, &v); err != nil {
		panic(err)
	}
	return v
}

func (f *fakeStore) Audit(_ context.Context, after uint64, limit int) ([]admin.AuditRecord, error) {
	if f.mode == "down" {
		return nil, context.DeadlineExceeded
	}
	var page []admin.AuditRecord
	for _, r := range f.audit {
		if r.Revision > after && len(page) < limit {
			page = append(page, r)
		}
	}
	return page, nil
}

// fakeEntries is this entry instance and a fake of the others: b.1 answers and c.1 does not.
type fakeEntries struct{ store *fakeStore }

func (e fakeEntries) EntryStatus() admin.EntryStatus {
	return admin.EntryStatus{Entry: "a.1", Revision: e.store.view.Revision(), Fresh: true,
		Teams: []admin.TeamLoad{{Team: "ropes", Running: 3, Waiting: 1, Granted: 10}},
		Pools: []spare.Demand{{Pool: "main", Running: 3}},
		Zones: []admin.ZoneLoad{{Zone: "east", Running: 3}},
		Steps: []admin.ZoneReturn{{Pool: "main", Zone: "west", Generation: 0, State: "ramping", Percent: 50}}}
}

func (e fakeEntries) Status(_ context.Context, m fleet.Member) (peer.StatusReply, error) {
	if m.ID == "c.1" {
		return peer.StatusReply{}, context.DeadlineExceeded
	}
	s := e.EntryStatus()
	s.Steps[0].Percent = 25
	status, err := json.Marshal(s)
	return peer.StatusReply{From: m.ID, Status: status, Burn: []byte(`{"quotes":[{"good":5,"bad":5},{"good":5,"bad":5},{"good":5,"bad":5}]}`)}, err
}

// key returns a key whose secret is "s-<id>".
func key(id string, role fleet.KeyRole) string {
	salt := strings.Repeat("0", 32)
	raw, _ := hex.DecodeString(salt)
	hash := sha256.Sum256(append(raw, "s-"+id...))
	return fmt.Sprintf("  - {id: %s, role: %s, salt: %q, hash: %q}\n", id, role, salt, hex.EncodeToString(hash[:]))
}

func newServer(t testing.TB) (*admin.Server, *fakeStore) {
	text, err := os.ReadFile("testdata/document.yaml")
	if err != nil {
		t.Fatal(err)
	}
	long := string(text) + "keys/ropes:\n  keys:\n" + strings.ReplaceAll(key("edit1", "edit")+key("sub1", "submit"), "  -", "    -") +
		"keys/nets:\n  keys:\n" + strings.ReplaceAll(key("adm1", "admin")+key("edit2", "edit"), "  -", "    -")
	d, sections, findings := spec.DecodeDocument(long)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	f := &fakeStore{}
	for _, s := range sections {
		s.Version = 1
		f.view = f.view.WithSection(s)
	}
	f.view = f.view.WithDocument(d).WithRevision(1)
	for _, id := range []fleet.EntryID{"a.1", "b.1", "c.1"} {
		f.view = f.view.WithMember(fleet.Member{ID: id, Zone: "east"})
	}
	f.view = f.view.WithPool("main", []fleet.PoolMember{
		{ID: "w1", Zone: "east", State: fleet.InstanceActive}, {ID: "w2", Zone: "east", State: fleet.InstanceActive},
		{ID: "w3", Zone: "west", State: fleet.InstanceActive}, {ID: "w4", Zone: "north", State: fleet.InstanceActive}})
	return admin.New(admin.Options{Self: func() fleet.EntryID { return "a.1" }, Viewer: f, Editor: f, Audit: f,
		Local: fakeEntries{f}, Peers: fakeEntries{f}, Burn: burn.NewRecorder(), Token: "token", Version: "test"}), f
}

var credentials = map[string]string{"token": "token", "wrong": "other", "admin": "yh_adm1_s-adm1", "edit": "yh_edit1_s-edit1",
	"submit": "yh_sub1_s-sub1", "forged": "yh_adm1_s-edit1", "nobody": "yh_none_x"}

func request(c *datadriven.TestData) *http.Request {
	path := c.CmdArgs[1].Key
	if len(c.CmdArgs[1].Vals) > 0 {
		path += "=" + c.CmdArgs[1].Vals[0]
	}
	q := httptest.NewRequest(c.CmdArgs[0].Key, path, strings.NewReader(c.Input))
	for _, a := range c.CmdArgs[2:] {
		switch a.Key {
		case "as":
			q.Header.Set("Authorization", "Bearer "+credentials[a.Vals[0]])
		case "match":
			q.Header.Set("If-Match", strings.ReplaceAll(a.Vals[0], "'", `"`))
		case "new":
			q.Header.Set("If-None-Match", "*")
		case "accept":
			q.Header.Set("Accept", a.Vals[0])
		}
	}
	return q
}

var secrets = regexp.MustCompile(`(yh_\w+?_|salt: "?|hash: "?)[0-9a-f]{32,}`)

// Guards against replies with the wrong outcome of an edit, and against keys that may do more than their role allows.
func TestRequests(t *testing.T) {
	datadriven.Walk(t, "testdata/requests", func(t *testing.T, path string) {
		s, f := newServer(t)
		datadriven.RunTest(t, path, func(t *testing.T, c *datadriven.TestData) string {
			if c.Cmd == "mode" {
				f.mode = c.CmdArgs[0].Key
				return ""
			}
			w := httptest.NewRecorder()
			s.ServeHTTP(w, request(c))
			var out bytes.Buffer
			_, _ = fmt.Fprintf(&out, "%d", w.Code)
			for _, h := range []string{"ETag", "Retry-After", "WWW-Authenticate"} {
				if v := w.Header().Get(h); v != "" {
					_, _ = fmt.Fprintf(&out, " %s=%s", h, v)
				}
			}
			return out.String() + "\n" + secrets.ReplaceAllString(strings.TrimSpace(w.Body.String()), "${1}XX") + "\n"
		})
	})
}

// Guards against a granted key that is not accepted, and a withdrawn key that still is.
func TestKeyLife(t *testing.T) {
	s, _ := newServer(t)
	do := func(method, path, credential, body string) *httptest.ResponseRecorder {
		q := httptest.NewRequest(method, path, strings.NewReader(body))
		q.Header.Set("Authorization", "Bearer "+credential)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, q)
		return w
	}
	w := do("POST", "/v1/keys/ropes", "token", `{"role":"admin"}`)
	if w.Code != http.StatusCreated {
		t.Fatalf("grant: %d %s", w.Code, w.Body)
	}
	granted := decode[admin.GrantReply](w.Body.Bytes())
	if w := do("GET", "/v1/status", granted.Key, ""); w.Code != http.StatusOK {
		t.Errorf("granted key: %d %s", w.Code, w.Body)
	}
	if w := do("DELETE", "/v1/keys/ropes/"+granted.ID, granted.Key, ""); w.Code != http.StatusOK {
		t.Errorf("withdraw: %d %s", w.Code, w.Body)
	}
	if w := do("GET", "/v1/status", granted.Key, ""); w.Code != http.StatusUnauthorized {
		t.Errorf("withdrawn key: %d, want 401", w.Code)
	}
}

// Guards against demand that counts only one entry instance.
func TestLoads(t *testing.T) {
	s, _ := newServer(t)
	demands, err := s.Demands(t.Context())
	total := 0
	for _, d := range demands {
		total += d.Running
	}
	if err != nil || total != 6 {
		t.Errorf("running %d, error %v; want 3 at each of two entry instances", total, err)
	}
}

// racingEditor makes a change between the authentication of a request and the evaluation of its edit.
type racingEditor struct {
	*fakeStore
	before func()
}

func (r racingEditor) Edit(ctx context.Context, author string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	r.before()
	return r.fakeStore.Edit(ctx, author, change)
}

// Guards against an edit by a key that was withdrawn after the request was authenticated.
func TestEditAfterWithdrawal(t *testing.T) {
	base, f := newServer(t)
	o := base.Options
	o.Editor = racingEditor{f, func() {
		f.view = f.view.WithDocument(fleet.Document{Pools: f.view.Document().Pools})
	}}
	q := httptest.NewRequest("POST", "/v1/instances/w1/drain", nil)
	q.Header.Set("Authorization", "Bearer yh_adm1_s-adm1")
	w := httptest.NewRecorder()
	admin.New(o).ServeHTTP(w, q)
	if m, _ := f.view.PoolMember("main", "w1"); w.Code != http.StatusUnauthorized || m.State != fleet.InstanceActive {
		t.Errorf("answer %d, instance %s; want 401 and active", w.Code, m.State)
	}
}

// Guards against a zone that counts as in service before all pools that use it have reported so for the current
// generation, and against one that never does.
func TestInService(t *testing.T) {
	step := func(n int) admin.ZoneReturn {
		return admin.NewZoneReturn("main", peer.ZoneStep{Zone: "east", Generation: 7, Step: n})
	}
	for _, c := range []struct {
		name string
		zone admin.ZoneStatus
		want bool
	}{
		{"never out", admin.ZoneStatus{State: fleet.ZoneIn, Pools: []fleet.PoolName{"main"}}, true},
		{"out", admin.ZoneStatus{State: fleet.ZoneOut, Generation: 7}, false},
		{"not begun", admin.ZoneStatus{State: fleet.ZoneIn, Generation: 7, Pools: []fleet.PoolName{"main"}}, false},
		{"settling", admin.ZoneStatus{State: fleet.ZoneIn, Generation: 7, Pools: []fleet.PoolName{"main"}, Returns: []admin.ZoneReturn{step(0)}}, false},
		{"last step", admin.ZoneStatus{State: fleet.ZoneIn, Generation: 7, Pools: []fleet.PoolName{"main"}, Returns: []admin.ZoneReturn{step(5)}}, false},
		{"back", admin.ZoneStatus{State: fleet.ZoneIn, Generation: 7, Pools: []fleet.PoolName{"main"}, Returns: []admin.ZoneReturn{step(6)}}, true},
		{"another pool missing", admin.ZoneStatus{State: fleet.ZoneIn, Generation: 7, Pools: []fleet.PoolName{"main", "other"}, Returns: []admin.ZoneReturn{step(6)}}, false},
	} {
		if got := c.zone.InService(); got != c.want {
			t.Errorf("%s: in service %v, want %v", c.name, got, c.want)
		}
	}
}
