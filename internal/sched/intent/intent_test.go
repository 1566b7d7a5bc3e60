package intent

import (
	"fmt"
	"slices"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// store applies writes to rows.
func store(rows map[string][]byte, writes []table.Write) {
	for _, w := range writes {
		if w.Delete {
			delete(rows, w.Key)
		} else {
			rows[w.Key] = w.Value
		}
	}
}

func items(rows map[string][]byte) []table.Item {
	var list []table.Item
	for key, value := range rows {
		list = append(list, table.Item{Key: key, Value: value, Version: 1})
	}
	return list
}

func start(index int, number int64, worker work.WorkerID) Start {
	return Start{Task: work.TaskID{Job: "00000000000000a1", Index: index}, Number: number, Worker: worker}
}

// Guards against a new leader that misses a start which may still be executed, or takes one for it that was ruled out.
func TestLog(t *testing.T) {
	many := make([]Start, 0, 1000)
	for i := range 1000 {
		many = append(many, start(i, 1, "w1"))
	}
	for _, x := range []struct {
		name   string
		writes [][]Start
		want   []Start
		rows   int
	}{
		{"empty", [][]Start{{}}, nil, 0},
		{"one", [][]Start{{start(0, 1, "w1")}}, []Start{start(0, 1, "w1")}, 1},
		{"replaced", [][]Start{{start(0, 1, "w1")}, {start(1, 2, "w2")}}, []Start{start(1, 2, "w2")}, 1},
		{"several rows", [][]Start{many}, many, 3},
		{"fewer rows", [][]Start{many, {start(7, 3, "w2")}}, []Start{start(7, 3, "w2")}, 1},
		{"no row left", [][]Start{many, {}}, nil, 0},
		{"the last start of a task", [][]Start{{start(0, 1, "w1"), start(0, 1001, "w2")}}, []Start{start(0, 1001, "w2")}, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			rows := map[string][]byte{}
			var l Log
			for _, starts := range x.writes {
				writes, err := l.Writes(slices.Clone(starts))
				if err != nil {
					t.Fatal(err)
				}
				store(rows, writes)
			}
			var next Log
			got, damaged := next.Restore(items(rows))
			if len(damaged) > 0 || !slices.Equal(got, x.want) || len(rows) != x.rows {
				t.Errorf("%d starts in %d rows, want %d in %d: %v %v", len(got), len(rows), len(x.want), x.rows, got, damaged)
			}
			writes, err := next.Writes(nil)
			if err != nil {
				t.Fatal(err)
			}
			if store(rows, writes); len(rows) > 0 {
				t.Errorf("%d rows are left", len(rows))
			}
		})
	}
}

// Guards against a transaction for each confirmation of leadership that writes the same starts again.
func TestUnchangedRowsAreNotWritten(t *testing.T) {
	var l Log
	for i, want := range []int{1, 0} {
		writes, err := l.Writes([]Start{start(0, 1, "w1")})
		if err != nil || len(writes) != want {
			t.Errorf("write %d: %d rows, want %d: %v", i, len(writes), want, err)
		}
	}
}

// Guards against a record that can't be read and passes for one without starts.
func TestDamagedRows(t *testing.T) {
	for _, x := range []struct{ key, value string }{
		{"start/0", "\xff"}, {"start/x", "\xa0"}, {"start/-1", "\xa0"}, {"start/1000000000", "\xa0"},
		{"start/0", "\xa1fstarts\x81\xa0"},
	} {
		t.Run(fmt.Sprintf("%s %x", x.key, x.value), func(t *testing.T) {
			var l Log
			if _, damaged := l.Restore([]table.Item{{Key: x.key, Value: []byte(x.value)}}); len(damaged) != 1 {
				t.Errorf("errors %v", damaged)
			}
		})
	}
}

// The record of 400 starts of one transaction, and its size in the store.
func BenchmarkWrites(b *testing.B) {
	starts := make([]Start, 0, maxRowStarts)
	for i := range maxRowStarts {
		starts = append(starts, start(i, 1001, "i-0001"))
	}
	size := 0
	for b.Loop() {
		var l Log
		writes, err := l.Writes(starts)
		if err != nil {
			b.Fatal(err)
		}
		size = len(writes[0].Value)
	}
	b.ReportMetric(float64(size)/maxRowStarts, "bytes/start")
}
