package matrix

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// answer is a recorded reply of an entry instance to a caller or operator.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header to send.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader sets the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write appends to the body.
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *answer) copyTo(w http.ResponseWriter) {
	for k, v := range a.header {
		w.Header()[k] = v
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}

func serve(h http.Handler, r *http.Request, ctx context.Context, body []byte) *answer {
	a := &answer{header: http.Header{}, status: http.StatusOK}
	c := r.Clone(ctx)
	c.Body = io.NopCloser(bytes.NewReader(body))
	h.ServeHTTP(a, c)
	return a
}

func isBroken(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// nameOf returns the name of the entry instance in an identifier.
func nameOf(id fleet.EntryID) string {
	name, _, _ := strings.Cut(string(id), ".")
	return name
}
