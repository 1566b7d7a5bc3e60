package reqlog

import (
	"bytes"
	"io"
	"testing"
)

// FuzzRead guards against a damaged log that ends the command that explains a request.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`12.3 e1 {"level":"info","ts":"2026-12-04T14:13:45.094648556Z","msg":"leader: job accepted","node":"e1","job":"00a1"}` + "\n"))
	f.Add([]byte(`{"ts":"2026-12-04T14:13:45Z","msg":7,"job":["00a1"]` + "\n" + `{{{00a1` + "\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		lines, err := Read(bytes.NewReader(b), "00a1")
		if err != nil {
			return
		}
		if _, err := WriteTimeline(io.Discard, lines, "00a1"); err != nil {
			t.Error(err)
		}
	})
}
