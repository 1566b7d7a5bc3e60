// Package intent keeps the record of the starts that workers may still execute. A start is in the store before it is sent, so
// that a new leader knows of every start of the former ones that can still take effect.
package intent

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Prefix is the prefix of the keys of the rows with starts.
const Prefix = "start/"

// maxRowStarts bounds the starts of one row to about 40 KiB; a row of the store holds 64 KiB.
const maxRowStarts = 400

// maxRows bounds the number of a row that is read.
const maxRows = 1000

// Start is a start that a worker may still execute.
type Start struct {
	Task   work.TaskID   `json:"task"`
	Number int64         `json:"number"`
	Worker work.WorkerID `json:"worker"`
}

// Run returns the run that the start begins.
func (s Start) Run() work.RunKey { return work.RunKey{Task: s.Task, Number: s.Number} }

// row is the stored form of some starts.
type row struct {
	Starts []Start `json:"starts"`
}

var errInvalid = errors.New("intent: start without a task, number or worker")

// Validate checks a row after decoding.
func (r row) Validate() error {
	for _, s := range r.Starts {
		if s.Task.Job == "" || s.Number < 1 || s.Worker == "" {
			return errInvalid
		}
	}
	return nil
}

// Log is the record in the store.
type Log struct {
	// rows are the values of the rows in the store, nil for one that is not known.
	rows [][]byte
}

// Restore returns the starts that former leaders recorded, for each task only the last one: the starts before it were ruled out
// when it was recorded. Rows that can't be read are returned as errors.
func (l *Log) Restore(items []table.Item) ([]Start, []error) {
	latest := map[work.TaskID]Start{}
	var damaged []error
	for _, i := range items {
		if !strings.HasPrefix(i.Key, Prefix) {
			continue
		}
		n, err := strconv.Atoi(strings.TrimPrefix(i.Key, Prefix))
		var r row
		if err == nil {
			err = cbor.Unmarshal(i.Value, &r)
		}
		if err == nil {
			err = r.Validate()
		}
		if err == nil && (n < 0 || n >= maxRows) {
			err = errInvalid
		}
		if err != nil {
			damaged = append(damaged, fmt.Errorf("intent: decode %s: %w", i.Key, err))
			continue
		}
		for len(l.rows) <= n {
			l.rows = append(l.rows, nil)
		}
		for _, s := range r.Starts {
			if s.Number > latest[s.Task].Number {
				latest[s.Task] = s
			}
		}
	}
	starts := make([]Start, 0, len(latest))
	for _, s := range latest {
		starts = append(starts, s)
	}
	slices.SortFunc(starts, Start.compare)
	return starts, damaged
}

func (s Start) compare(o Start) int {
	return cmp.Or(s.Task.Compare(o.Task), cmp.Compare(s.Number, o.Number))
}

// Writes returns the writes that make the record hold exactly some starts.
func (l *Log) Writes(starts []Start) ([]table.Write, error) {
	slices.SortFunc(starts, Start.compare)
	var rows [][]byte
	var writes []table.Write
	for chunk := range slices.Chunk(starts, maxRowStarts) {
		value, err := cbor.Marshal(row{chunk})
		if err != nil {
			return nil, fmt.Errorf("intent: encode starts: %w", err)
		}
		if n := len(rows); n >= len(l.rows) || !bytes.Equal(value, l.rows[n]) {
			writes = append(writes, table.Write{Key: key(n), Value: value})
		}
		rows = append(rows, value)
	}
	for n := len(rows); n < len(l.rows); n++ {
		writes = append(writes, table.Write{Key: key(n), Delete: true})
	}
	l.rows = rows
	return writes, nil
}

func key(n int) string { return Prefix + strconv.Itoa(n) }
