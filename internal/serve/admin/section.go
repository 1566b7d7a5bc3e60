package admin

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// EditReply is the reply to an edit that is confirmed and in force.
type EditReply struct {
	// Revision is the first revision of the view with the edit.
	Revision uint64 `json:"revision"`
	// Section and Version are those of the edited section; Version is 0 if it was removed. Both are left out for an edit
	// of the whole document.
	Section string `json:"section,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

func (s *Server) getSection(w http.ResponseWriter, q *http.Request, a actor) error {
	v, name := s.Viewer.View(), q.PathValue("name")
	if err := a.authorizeAccess(v.Document(), name); err != nil {
		return err
	}
	section, ok := v.Section(name)
	if !ok {
		return notFoundError{reject.New(reject.KindRequest, reject.WorkNotRun, "no section %q", name)}
	}
	w.Header().Set("ETag", etagOf(section.Version))
	w.Header().Set("Content-Type", yamlType)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = io.WriteString(w, section.Text)
	return nil
}

const yamlType = "application/yaml"

func (s *Server) putSection(w http.ResponseWriter, q *http.Request, a actor) error {
	name := q.PathValue("name")
	if _, _, err := spec.Split(name); err != nil {
		return reject.New(reject.KindRequest, reject.WorkNotRun, "%v", err)
	}
	text, err := io.ReadAll(q.Body)
	if err != nil {
		return bodyReadError(err)
	}
	return s.editSection(w, q, a, name, change{written: []fleet.Section{{Name: name, Text: string(text)}}})
}

func (s *Server) deleteSection(w http.ResponseWriter, q *http.Request, a actor) error {
	name := q.PathValue("name")
	return s.editSection(w, q, a, name, change{removed: []string{name}})
}

func (s *Server) editSection(w http.ResponseWriter, q *http.Request, a actor, name string, c change) error {
	matches, err := precondition(q)
	if err != nil {
		return err
	}
	revision, err := s.edit(q, a, func(v fleet.View) ([]fleet.Item, error) {
		if err := a.authorizeAccess(v.Document(), name); err != nil {
			return nil, err
		}
		current, _ := v.Section(name)
		if !matches(etagOf(current.Version)) {
			return nil, reject.New(reject.KindConflict, reject.WorkNotRun,
				"section %q is at version %d, the edit is based on %s", name, current.Version, baseVersion(q))
		}
		return s.items(v, a, c)
	})
	if err != nil {
		return err
	}
	reply := EditReply{Revision: revision, Section: name, Version: revision}
	if len(c.removed) > 0 {
		reply.Version = 0
	}
	w.Header().Set("ETag", etagOf(reply.Version))
	return writeJSON(w, http.StatusOK, reply)
}

// etagOf returns the ETag of a section version; an absent section has version 0.
func etagOf(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// precondition returns the check of the current ETag against the request's If-Match or If-None-Match. One of them is
// required, so that operators don't overwrite each other's changes by accident; If-Match: * overwrites any version.
func precondition(q *http.Request) (func(etag string) bool, error) {
	match, none := strings.TrimSpace(q.Header.Get("If-Match")), strings.TrimSpace(q.Header.Get("If-None-Match"))
	switch {
	case match == "*":
		return func(string) bool { return true }, nil
	case match != "":
		return func(etag string) bool { return etag == match }, nil
	case none == "*":
		return func(etag string) bool { return etag == etagOf(0) }, nil
	}
	return nil, reject.New(reject.KindRequest, reject.WorkNotRun,
		"If-Match with the version the edit is based on is required; use If-None-Match: * for a new section")
}

func baseVersion(q *http.Request) string {
	if m := q.Header.Get("If-Match"); m != "" {
		return "version " + strings.Trim(m, `"`)
	}
	return "version 0 (absent)"
}

func bodyReadError(err error) error {
	if e := asRejection(err); e.Kind == reject.KindBody {
		return e
	}
	return reject.New(reject.KindRequest, reject.WorkNotRun, "the body could not be read").WithCause(err)
}

func zonesOf(d fleet.Document) []fleet.AvailabilityZone { return slices.Sorted(maps.Keys(d.Zones)) }
