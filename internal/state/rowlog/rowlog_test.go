package rowlog

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// store is a table that applies transactions of at most limit rows.
type store struct {
	rows    map[string]table.Item
	version uint64
}

func (s *store) apply(writes []table.Write) error {
	s.version++
	seen := map[string]bool{}
	for _, w := range writes {
		if seen[w.Key] {
			return fmt.Errorf("%s is written twice", w.Key)
		}
		seen[w.Key] = true
		if w.Delete {
			delete(s.rows, w.Key)
		} else {
			s.rows[w.Key] = table.Item{Key: w.Key, Value: w.Value, Version: s.version}
		}
	}
	return nil
}

func (s *store) items() []table.Item {
	var list []table.Item
	for _, i := range s.rows {
		list = append(list, i)
	}
	return list
}

// Guards against changes that are lost, or deleted rows that return, because an older entry of the log counts after a restart, or
// because an entry is dropped that an older one needs.
func TestRestartsKeepNewestValues(t *testing.T) {
	const limit = 8
	rapid.Check(t, func(t *rapid.T) {
		s := &store{rows: map[string]table.Item{}}
		want := map[string]string{}
		l := New(1)
		for n := range rapid.IntRange(1, 60).Draw(t, "transactions") {
			var changes []table.Write
			// Without changes a transaction confirms leadership, and may turn entries into rows.
			count := rapid.SampledFrom([]int{0, 0, 1, 3, 12, 30}).Draw(t, "changes")
			keys := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24,
				25, 26, 27, 28, 29}).Draw(t, "keys")
			for _, k := range keys[:count] {
				w := table.Write{Key: fmt.Sprintf("job/%d", k)}
				if w.Delete = rapid.Bool().Draw(t, "delete"); w.Delete {
					delete(want, w.Key)
				} else {
					w.Value = []byte(fmt.Sprintf("%d.%d", n, k))
					want[w.Key] = string(w.Value)
				}
				changes = append(changes, w)
			}
			writes, err := l.Fold(changes, limit)
			if err != nil {
				t.Fatal(err)
			}
			if len(writes) > limit {
				t.Fatalf("%d rows in one transaction", len(writes))
			}
			if err := s.apply(writes); err != nil {
				t.Fatal(err)
			}
			restored, next, damaged := Restore(s.items(), int64(n+2))
			if len(damaged) > 0 {
				t.Fatal(damaged)
			}
			if len(restored) != len(want) {
				t.Fatalf("%d keys after a restart, want %d", len(restored), len(want))
			}
			for _, i := range restored {
				if want[i.Key] != string(i.Value) {
					t.Fatalf("%s is %q after a restart, want %q", i.Key, i.Value, want[i.Key])
				}
			}
			if rapid.Bool().Draw(t, "restart") {
				l = next
			}
		}
		for range 100 {
			writes, err := l.Fold(nil, limit)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.apply(writes); err != nil {
				t.Fatal(err)
			}
		}
		if len(s.rows) != len(want) {
			t.Fatalf("%d rows at rest, want %d", len(s.rows), len(want))
		}
	})
}

// Guards against a transaction that the store refuses because a log row or the whole is too large.
func TestSizeOfRows(t *testing.T) {
	var changes []table.Write
	for i := range 400 {
		changes = append(changes, table.Write{Key: fmt.Sprintf("job/%d", i), Value: make([]byte, 1400)})
	}
	changes = append(changes, table.Write{Key: "job/large", Value: make([]byte, 60<<10)})
	writes, err := New(1).Fold(changes, 90)
	if err != nil {
		t.Fatal(err)
	}
	if len(writes) > 20 {
		t.Errorf("%d rows", len(writes))
	}
	for _, w := range writes {
		if len(w.Value) > 64<<10 {
			t.Errorf("%s has %d bytes", w.Key, len(w.Value))
		}
		if w.Key == "job/large" == strings.HasPrefix(w.Key, Prefix) {
			t.Errorf("%s is written", w.Key)
		}
	}
}

// Guards against a leader that can't start, or that overwrites rows, because one log row is damaged.
func TestDamagedRow(t *testing.T) {
	items := []table.Item{{Key: "log/1", Value: []byte("x"), Version: 7}, {Key: "job/1", Value: []byte("a"), Version: 3}}
	restored, l, damaged := Restore(items, 2)
	if len(damaged) != 1 || len(restored) != 1 || restored[0].Key != "job/1" || l.Rows() != 0 {
		t.Errorf("restored %v, %d log rows, damaged %v", restored, l.Rows(), damaged)
	}
}

// FuzzRestore guards against a log row that ends the process that reads it.
func FuzzRestore(f *testing.F) {
	log, err := New(1).append([]table.Write{{Key: "job/1", Value: []byte("a")}, {Key: "job/2", Delete: true}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(log[0].Value)
	f.Add([]byte{0xa1, 0x67})
	f.Fuzz(func(t *testing.T, value []byte) {
		restored, l, _ := Restore([]table.Item{{Key: "log/1", Value: value, Version: 2}, {Key: "job/1", Value: []byte("b"), Version: 1}}, 2)
		if len(restored) > 1+len(value) {
			t.Errorf("%d items restored from %d bytes", len(restored), len(value))
		}
		if _, err := l.Fold(nil, 90); err != nil {
			t.Error(err)
		}
	})
}
