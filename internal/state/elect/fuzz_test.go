package elect

import (
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// FuzzLeaderRecord guards against a leader record that ends the process of each instance, and against one that is accepted
// without what others need to reach the leader.
func FuzzLeaderRecord(f *testing.F) {
	b, err := encode(LeaderRecord{Name: "e1", Boot: "e1.1", Address: "10.0.0.1:1", Term: 3, Sequence: 7, Logged: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa1, 0x64, 't', 'e', 'r', 'm', 0x20})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decode(table.Item{Key: LeaderKey, Value: b, Version: 1})
		if err == nil && (r.Boot == "" || r.Address == "" || r.Term < 1) {
			t.Errorf("accepted %+v", r)
		}
	})
}
