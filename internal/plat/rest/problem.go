package rest

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Code is the reason why a service declined a call; all services use the same codes.
type Code string

// Problem is a reply that declines a call.
type Problem struct {
	Status int    `json:"-"`
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
	// Body is the undecoded reply.
	Body []byte `json:"-"`
}

// Error returns the status, code and detail.
func (p *Problem) Error() string {
	return strings.TrimSpace(fmt.Sprintf("rest: status %d %s %s", p.Status, p.Code, p.Detail))
}

// CodeOf returns the code with which a call was declined, or "".
func CodeOf(err error) Code {
	if p := (*Problem)(nil); errors.As(err, &p) {
		return p.Code
	}
	return ""
}

// IsUncodedServerError reports whether a call was declined without a code and with a status of 500 or above, as proxies
// do. The outcome of such a call is unknown.
func IsUncodedServerError(err error) bool {
	p := (*Problem)(nil)
	return errors.As(err, &p) && p.Code == "" && p.Status >= http.StatusInternalServerError
}

// WriteProblem writes a problem as the response to a request.
func WriteProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// WriteJSON writes a value as the JSON response to a request.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func decodeProblem(status int, body []byte) *Problem {
	p := &Problem{}
	if err := json.Unmarshal(body, p); err != nil {
		p = &Problem{Detail: http.StatusText(status)}
	}
	p.Status, p.Body = status, body
	return p
}

// DigestHeader is the header field with the SHA-256 digest of a body, as in RFC 9530.
const DigestHeader = "Repr-Digest"

// Digest returns the value of the DigestHeader field for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// HexDigest returns the SHA-256 digest of a body in hexadecimal.
func HexDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Intact reports whether the body of a reply matches the digest in its header.
func (r Reply) Intact() bool { return r.Header.Get(DigestHeader) == Digest(r.Body) }
