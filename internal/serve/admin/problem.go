package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// Problem is the problem document (RFC 9457) of a rejected admin request.
type Problem struct {
	Type   string      `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	Kind   reject.Kind `json:"kind"`
	// Work is "not-run" if nothing was applied, "run" if the edit is stored and "unknown" if the outcome is unknown.
	Work     reject.Work    `json:"work"`
	Findings []spec.Finding `json:"findings,omitempty"`
	// Revision is the revision of a stored edit that is not yet confirmed.
	Revision uint64 `json:"revision,omitempty"`
}

// findingsError is the rejection of an edit because of its findings.
type findingsError []spec.Finding

// Error returns the findings.
func (f findingsError) Error() string { return fmt.Sprintf("findings: %v", []spec.Finding(f)) }

// editError is a failed edit with its revision, if it was stored.
type editError struct {
	revision uint64
	cause    error
}

// Error returns the cause's text.
func (e editError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e editError) Unwrap() error { return e.cause }

// notFoundError is a rejection because the resource in the path does not exist.
type notFoundError struct{ rejection *reject.Error }

// Error returns the rejection's text.
func (e notFoundError) Error() string { return e.rejection.Error() }

// Unwrap returns the rejection.
func (e notFoundError) Unwrap() error { return e.rejection }

func asRejection(err error) *reject.Error {
	var e *reject.Error
	var findings findingsError
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &findings):
		return reject.New(reject.KindFindings, reject.WorkNotRun, "findings: %d", len(findings))
	case errors.As(err, &tooLong):
		return reject.New(reject.KindBody, reject.WorkNotRun, "the body is longer than %d bytes", tooLong.Limit)
	}
	return reject.New(reject.KindInternal, reject.WorkUnknown, "internal error").WithCause(err)
}

// newProblem returns the problem document and the rejection of an error; the document leaves out the rejection's cause.
func newProblem(err error) (Problem, *reject.Error) {
	var absent notFoundError
	var findings findingsError
	var edit editError
	e := asRejection(err)
	p := Problem{Type: "/problems/" + string(e.Kind), Status: e.Status(), Detail: e.Detail, Kind: e.Kind, Work: e.Work}
	if errors.As(err, &absent) {
		p.Status = http.StatusNotFound
	}
	if errors.As(err, &findings) {
		p.Findings = findings
	}
	if errors.As(err, &edit) && e.Kind == reject.KindUnconfirmed {
		p.Revision = edit.revision
	}
	p.Title = http.StatusText(p.Status)
	return p, e
}

func writeProblem(w http.ResponseWriter, err error) {
	p, e := newProblem(err)
	h := w.Header()
	if e.Kind == reject.KindKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	write(w, p.Status, "application/problem+json", p)
}

func writeJSON(w http.ResponseWriter, status int, body any) error {
	write(w, status, "application/json", body)
	return nil
}

func write(w http.ResponseWriter, status int, media string, body any) {
	b, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	b = append(b, '\n')
	w.Header().Set("Content-Type", media)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
