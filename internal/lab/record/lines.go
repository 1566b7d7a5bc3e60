package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// maxLineBytes bounds the length of one record as JSON.
const maxLineBytes = 1 << 20

// Kind is the set of record types.
type Kind interface{ Journal | Call | Edit }

// Sink receives records; it is safe for concurrent use.
type Sink[R Kind] interface {
	Write(r R)
}

// Log keeps records in memory.
type Log[R Kind] struct {
	mu      sync.Mutex
	records []R
}

// Write appends a record.
func (l *Log[R]) Write(r R) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// Records returns a copy of every record so far.
func (l *Log[R]) Records() []R {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]R(nil), l.records...)
}

// Lines is a sink that writes records as JSON, one per line.
type Lines[R Kind] struct {
	mu  sync.Mutex
	out io.Writer
	err error
}

// NewLines returns a sink that writes each record to out with one call of Write,
// so that several processes may append to one file.
func NewLines[R Kind](out io.Writer) *Lines[R] { return &Lines[R]{out: out} }

// Write writes a record; Err returns the first failure.
func (l *Lines[R]) Write(r R) {
	b, err := json.Marshal(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		_, err = l.out.Write(append(b, '\n'))
	}
	if err != nil && l.err == nil {
		l.err = fmt.Errorf("record: %w", err)
	}
}

// Err returns the first error of Write.
func (l *Lines[R]) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// Read returns the records of a stream of JSON lines; empty lines are skipped.
func Read[R Kind](in io.Reader) ([]R, error) {
	var records []R
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		var r R
		if err := json.Unmarshal(s.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("record: line %d: %w", n, err)
		}
		records = append(records, r)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return records, nil
}
