package admin

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/serve/burn"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// AuditRecord is the author and the changed keys of one revision.
type AuditRecord = view.AuditRecord

// maxAuditRecords bounds the audit records in one reply; the store returns them in one scan.
const maxAuditRecords = 1000

// AuditPage is a page of audit records, oldest first; the next page begins after its last revision.
type AuditPage struct {
	Records []AuditRecord `json:"records"`
}

func (s *Server) getAudit(w http.ResponseWriter, q *http.Request, a actor) error {
	if err := a.requireAdmin(); err != nil {
		return err
	}
	after, err := uintParam(q, "after", 0)
	if err != nil {
		return err
	}
	limit, err := uintParam(q, "limit", 100)
	if err != nil {
		return err
	}
	records, err := s.Audit.Audit(q.Context(), after, int(min(max(limit, 1), maxAuditRecords)))
	if err != nil {
		return reject.New(reject.KindStore, reject.WorkNotRun, "the audit record can't be read now").
			WithRetryAfter(peerTimeout).WithCause(err)
	}
	if records == nil {
		records = []AuditRecord{}
	}
	return writeJSON(w, http.StatusOK, AuditPage{Records: records})
}

func uintParam(q *http.Request, name string, fallback uint64) (uint64, error) {
	text := q.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, reject.New(reject.KindRequest, reject.WorkNotRun, "%s must be a number, not %q", name, text)
	}
	return n, nil
}

func (s *Server) getBurn(w http.ResponseWriter, q *http.Request, a actor) error {
	if err := a.requireAdmin(); err != nil {
		return err
	}
	v := s.Viewer.View()
	var counts burn.Counts
	entries, missing := 0, []fleet.EntryID(nil)
	for _, r := range s.collectReports(q.Context(), v) {
		if !r.ok {
			missing = append(missing, r.member.ID)
			continue
		}
		entries++
		counts = counts.Plus(r.counts)
	}
	b := burn.NewReport(v.Document(), counts)
	b.Entries, b.Missing = entries, missing
	if !strings.HasPrefix(q.Header.Get("Accept"), "text/plain") {
		return writeJSON(w, http.StatusOK, b)
	}
	var text bytes.Buffer
	if err := b.WriteText(&text); err != nil {
		return err
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = text.WriteTo(w)
	return nil
}

func teamsOf(d fleet.Document) []fleet.TeamName { return slices.Sorted(maps.Keys(d.Teams)) }

// allZones returns the sorted zones that have a section, a pool member or an entry instance.
func allZones(v fleet.View) []fleet.AvailabilityZone {
	zones := zonesOf(v.Document())
	for _, p := range v.PoolNames() {
		for _, m := range v.Pool(p) {
			zones = append(zones, m.Zone)
		}
	}
	for _, m := range v.Members() {
		zones = append(zones, m.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
