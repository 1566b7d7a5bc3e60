package admin

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

func (s *Server) getDocument(w http.ResponseWriter, _ *http.Request, a actor) error {
	if err := a.requireAdmin(); err != nil {
		return err
	}
	sections := s.Viewer.View().Sections()
	text, err := spec.EncodeDocument(sections)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", documentETag(sections))
	w.Header().Set("Content-Type", yamlType)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = io.WriteString(w, text)
	return nil
}

// documentETag returns the ETag of the whole document. It is not the view's revision, because each change of pool
// membership advances that. An empty document has version 0, as an absent section does.
func documentETag(sections []fleet.Section) string {
	if len(sections) == 0 {
		return etagOf(0)
	}
	h := xxhash.New()
	for _, s := range sections {
		_, _ = fmt.Fprintf(h, "%s %d\n", s.Name, s.Version)
	}
	return fmt.Sprintf(`"%016x"`, h.Sum64())
}

// putDocument replaces the whole document in one transaction and removes the sections that the body leaves out.
func (s *Server) putDocument(w http.ResponseWriter, q *http.Request, a actor) error {
	if err := a.requireAdmin(); err != nil {
		return err
	}
	matches, err := precondition(q)
	if err != nil {
		return err
	}
	sections, err := readDocument(q)
	if err != nil {
		return err
	}
	revision, err := s.edit(q, a, func(v fleet.View) ([]fleet.Item, error) {
		current := documentETag(v.Sections())
		if !matches(current) {
			return nil, reject.New(reject.KindConflict, reject.WorkNotRun,
				"the document is at version %s, the edit is based on %s", current, baseVersion(q))
		}
		return s.items(v, a, replacement(v, sections))
	})
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, EditReply{Revision: revision})
}

func readDocument(q *http.Request) ([]fleet.Section, error) {
	text, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, bodyReadError(err)
	}
	_, sections, findings := spec.DecodeDocument(string(text))
	if len(findings) > 0 {
		return nil, findingsError(findings)
	}
	return sections, nil
}

func replacement(v fleet.View, sections []fleet.Section) change {
	c := change{written: sections}
	kept := map[string]bool{}
	for _, s := range sections {
		kept[s.Name] = true
	}
	for _, s := range v.Sections() {
		if !kept[s.Name] {
			c.removed = append(c.removed, s.Name)
		}
	}
	return c
}

// CheckReply is the reply to a check of a document; without findings the document would be accepted now.
type CheckReply struct {
	Findings []spec.Finding `json:"findings"`
}

// checkDocument checks a whole document against the current pools and budgets without applying it.
func (s *Server) checkDocument(w http.ResponseWriter, q *http.Request, a actor) error {
	if err := a.requireAdmin(); err != nil {
		return err
	}
	text, err := io.ReadAll(q.Body)
	if err != nil {
		return bodyReadError(err)
	}
	d, _, findings := spec.DecodeDocument(string(text))
	if len(findings) == 0 {
		v := s.Viewer.View()
		findings = append(spec.CheckRemovedPools(v, d), s.checkBudgets(v, d)...)
	}
	if findings == nil {
		findings = []spec.Finding{}
	}
	return writeJSON(w, http.StatusOK, CheckReply{Findings: findings})
}
