package leader

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Guards against a report that does not tell refused from unconfirmed requests, or counts an answer twice.
func TestRequestLog(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	l := newRequestLog()
	for _, k := range []requestKind{kindSubmit, kindSubmit, kindSubmit, kindSubmit, kindCancel, kindCancel, kindState} {
		l.began(k)
	}
	l.again()
	l.ended(kindSubmit, peer.Accepted, time.Second)
	l.ended(kindSubmit, peer.Unknown, 2*time.Second)
	l.ended(kindSubmit, peer.Impossible, 0)
	l.ended(kindCancel, peer.Unknown, 3*time.Second)
	l.ended(kindState, peer.NotFound, 0)
	l.report(zap.New(core))
	l.report(zap.New(core))
	first, second := logs.All()[0].ContextMap(), logs.All()[1].ContextMap()
	for name, want := range map[string]any{"accepted": int64(1), "unconfirmed": int64(1), "refused": int64(1), "repeated": int64(1),
		"awaiting": int64(1), "longest": 2 * time.Second, "cancelled": int64(0), "cancelsUnconfirmed": int64(1),
		"cancelsAwaiting": int64(1), "longestCancel": 3 * time.Second, "states": int64(1)} {
		if first[name] != want {
			t.Errorf("%s is %v, want %v", name, first[name], want)
		}
	}
	if second["accepted"] != int64(0) || second["longest"] != time.Duration(0) || second["awaiting"] != int64(1) {
		t.Errorf("second report %v", second)
	}
}
