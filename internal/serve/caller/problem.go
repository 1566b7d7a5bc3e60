package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// Problem is the problem document (RFC 9457) of a rejection.
type Problem struct {
	Type   string      `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	Kind   reject.Kind `json:"kind"`
	Work   reject.Work `json:"work"`
}

// ProblemType is the media type of problem documents.
const ProblemType = "application/problem+json"

// NewProblem returns the problem document of a rejection, without its cause.
func NewProblem(e *reject.Error) Problem {
	return Problem{Type: "/problems/" + string(e.Kind), Title: http.StatusText(e.Status()), Status: e.Status(),
		Detail: e.Detail, Kind: e.Kind, Work: e.Work}
}

// WriteProblem answers with a problem document and, if a retry may help, Retry-After in whole seconds.
func WriteProblem(w http.ResponseWriter, e *reject.Error) {
	body, err := json.Marshal(NewProblem(e))
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	if e.Kind == reject.KindKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", wholeSeconds(e.RetryAfter))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(body)
}

func wholeSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// asRejection returns the rejection in an error. Any other error is a fault of this program, after which the state of
// the work is unknown.
func asRejection(err error) *reject.Error {
	var e *reject.Error
	if errors.As(err, &e) {
		return e
	}
	return reject.New(reject.KindInternal, reject.WorkUnknown, "internal error").WithCause(err)
}
