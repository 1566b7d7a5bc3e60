package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
)

const (
	maxKeyBytes = 255
	maxSlots    = 1 << 16
	maxTimeout  = 24 * time.Hour
)

// parseJob parses the headers of a submission.
func parseJob(q *http.Request) (runner.Job, error) {
	j := runner.Job{Queue: fleet.QueueName(q.PathValue("queue")), Key: q.Header.Get("Idempotency-Key")}
	if len(j.Key) > maxKeyBytes {
		return j, malformed("Idempotency-Key", "is longer than 255 bytes")
	}
	idempotent, err := parseBool(q, "Idempotent", true)
	if err != nil {
		return j, err
	}
	j.Once = !idempotent
	if j.Urgent, err = parseBool(q, "Urgent", false); err != nil {
		return j, err
	}
	if s := q.Header.Get("Slots"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxSlots {
			return j, malformed("Slots", "is not a positive number")
		}
		j.Slots = n
	}
	j.Timeout, err = parseTimeout(q)
	return j, err
}

// parseTimeout returns the header Timeout, which is in seconds and may have fractions; without it, it returns 0.
func parseTimeout(q *http.Request) (time.Duration, error) {
	s := q.Header.Get("Timeout")
	if s == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f > 0) || f > maxTimeout.Seconds() {
		return 0, malformed("Timeout", "is not a number of seconds up to a day")
	}
	return time.Duration(f * float64(time.Second)), nil
}

// parseBool parses a boolean structured field (RFC 8941): ?0 or ?1.
func parseBool(q *http.Request, name string, defaultValue bool) (bool, error) {
	switch strings.TrimSpace(q.Header.Get(name)) {
	case "":
		return defaultValue, nil
	case "?0":
		return false, nil
	case "?1":
		return true, nil
	}
	return defaultValue, malformed(name, "is neither ?0 nor ?1")
}

func malformed(header, detail string) error {
	return reject.New(reject.KindRequest, reject.WorkNotRun, "the header %s %s", header, detail)
}

// wantsAsync reports whether the caller prefers an asynchronous answer (RFC 7240).
func wantsAsync(q *http.Request) bool {
	for _, p := range preferences(q) {
		if strings.EqualFold(p, "respond-async") {
			return true
		}
	}
	return false
}

// preferredWait returns how long the caller prefers to wait for an answer (RFC 7240), at most maxWait; 0 without a
// preference.
func preferredWait(q *http.Request) time.Duration {
	for _, p := range preferences(q) {
		name, value, _ := strings.Cut(p, "=")
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(strings.TrimSpace(name), "wait") {
			return min(max(0, time.Duration(n)*time.Second), maxWait)
		}
	}
	return 0
}

func preferences(q *http.Request) []string {
	var all []string
	for _, h := range q.Header.Values("Prefer") {
		for p := range strings.SplitSeq(h, ",") {
			all = append(all, strings.TrimSpace(p))
		}
	}
	return all
}

// logCause logs rejections that have a cause inside this program or in a service it calls.
func (a *API) logCause(e *reject.Error) {
	if e.Cause != nil {
		a.log.Warn("caller: request refused", zap.String("kind", string(e.Kind)),
			zap.String("detail", e.Detail), zap.Error(e.Cause))
	}
}
