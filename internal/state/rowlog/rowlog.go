// Package rowlog stores more changes in one transaction than it may hold rows. Changes beyond that are entries of log rows,
// many in each, and become rows of their own when a later transaction has room for them.
//
// Two rules make the result independent of when that happens. The newest value of a key is the one that was written by the
// latest transaction, as a row or as an entry. And a key of which the log has any entry is deleted by an entry, never as a row,
// so that no older entry can return.
package rowlog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Prefix is the prefix of the keys of log rows.
const Prefix = "log/"

const (
	// maxRowBytes bounds the entries of one log row; a row of the store holds 64 KiB.
	maxRowBytes = 44 << 10
	// maxEntryBytes is the largest change that becomes an entry.
	maxEntryBytes = 8 << 10
	// maxSettled is the largest number of entries that one transaction turns into rows.
	maxSettled = 60
)

// entry is a change of one row.
type entry struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// body is the stored form of a log row.
type body struct {
	Entries []entry `json:"entries"`
}

var errInvalid = errors.New("rowlog: entry without a key")

// Validate checks a log row after decoding.
func (b body) Validate() error {
	for _, e := range b.Entries {
		if e.Key == "" || strings.HasPrefix(e.Key, Prefix) {
			return errInvalid
		}
	}
	return nil
}

// segment is a log row with those of its entries that hold the newest value of their key.
type segment struct {
	key     string
	keys    []string
	entries map[string]entry
}

// Log is the log of one leader. It is not safe for concurrent use: its transactions follow one another, and one that fails ends
// its use.
type Log struct {
	term     int64
	next     int
	segments []*segment
	// newest is the segment with the newest value of a key, held the number of segments that have any entry of the key.
	newest map[string]*segment
	held   map[string]int
}

// New returns an empty log for a leader's term.
func New(term int64) *Log {
	return &Log{term: term, newest: map[string]*segment{}, held: map[string]int{}}
}

// Rows returns the number of log rows.
func (l *Log) Rows() int { return len(l.segments) }

// Fold returns the writes of a transaction of at most limit rows that makes the given changes of different keys. If all changes
// fit as rows, it also turns older entries into rows. Only changes too large for an entry may exceed the limit.
func (l *Log) Fold(changes []table.Write, limit int) ([]table.Write, error) {
	var rows, small []table.Write
	overflow := len(changes) > limit
	for _, w := range changes {
		switch {
		case w.Delete && l.held[w.Key] > 0:
			small = append(small, w)
		case overflow && len(w.Key)+len(w.Value) <= maxEntryBytes:
			small = append(small, w)
		default:
			rows = append(rows, w)
		}
	}
	for _, w := range rows {
		l.supersede(w.Key)
	}
	log, err := l.append(small)
	if err != nil {
		return nil, err
	}
	rows = append(rows, log...)
	if overflow {
		return rows, nil
	}
	return l.settle(rows, limit), nil
}

// append adds changes as entries and returns the new log rows.
func (l *Log) append(changes []table.Write) ([]table.Write, error) {
	var rows []table.Write
	for len(changes) > 0 {
		n, size := 0, 0
		for n < len(changes) && (n == 0 || size+len(changes[n].Key)+len(changes[n].Value) <= maxRowBytes) {
			size += len(changes[n].Key) + len(changes[n].Value)
			n++
		}
		s := &segment{key: fmt.Sprintf("%s%012d-%012d", Prefix, l.term, l.next), entries: map[string]entry{}}
		l.next++
		var b body
		for _, w := range changes[:n] {
			b.Entries = append(b.Entries, entry(w))
		}
		value, err := cbor.Marshal(b)
		if err != nil {
			return nil, fmt.Errorf("rowlog: encode %s: %w", s.key, err)
		}
		for _, e := range b.Entries {
			l.supersede(e.Key)
			l.hold(s, e)
		}
		l.segments = append(l.segments, s)
		rows = append(rows, table.Write{Key: s.key, Value: value})
		changes = changes[n:]
	}
	return rows, nil
}

// hold records that a segment has the newest value of a key.
func (l *Log) hold(s *segment, e entry) {
	s.keys = append(s.keys, e.Key)
	s.entries[e.Key] = e
	l.newest[e.Key] = s
	l.held[e.Key]++
}

// supersede records that a newer value of a key is written.
func (l *Log) supersede(key string) {
	if s, ok := l.newest[key]; ok {
		delete(s.entries, key)
		delete(l.newest, key)
	}
}

// settle adds writes that turn the oldest entries into rows, as far as there is room, and deletes log rows without entries. The
// oldest log row goes first: an entry that deletes a key must outlast all older ones of the key.
func (l *Log) settle(rows []table.Write, limit int) []table.Write {
	written := map[string]bool{}
	for _, w := range rows {
		written[w.Key] = true
	}
	for settled := 0; len(l.segments) > 0 && len(rows) < limit; {
		s := l.segments[0]
		if written[s.key] {
			return rows
		}
		for _, key := range s.keys {
			e, ok := s.entries[key]
			if !ok {
				continue
			}
			if settled >= maxSettled || len(rows)+1 >= limit {
				return rows
			}
			rows = append(rows, table.Write(e))
			l.supersede(key)
			settled++
		}
		rows = append(rows, table.Write{Key: s.key, Delete: true})
		l.segments = l.segments[1:]
		for _, key := range s.keys {
			if l.held[key]--; l.held[key] == 0 {
				delete(l.held, key)
			}
		}
	}
	return rows
}

// Restore returns the newest values of all keys from the stored rows, those of the log included, and the log for a leader's
// term. Log rows that can't be decoded are returned as damaged; they stay in the store.
func Restore(items []table.Item, term int64) (restored []table.Item, l *Log, damaged []error) {
	l = New(term)
	newest := make(map[string]table.Item, len(items))
	var log []table.Item
	for _, i := range items {
		if strings.HasPrefix(i.Key, Prefix) {
			log = append(log, i)
		} else {
			newest[i.Key] = i
		}
	}
	slices.SortFunc(log, func(x, y table.Item) int { return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(x.Key, y.Key)) })
	for _, i := range log {
		var b body
		err := cbor.Unmarshal(i.Value, &b)
		if err == nil {
			err = b.Validate()
		}
		if err != nil {
			damaged = append(damaged, fmt.Errorf("rowlog: decode %s: %w", i.Key, err))
			continue
		}
		s := &segment{key: i.Key, entries: map[string]entry{}}
		l.segments = append(l.segments, s)
		for _, e := range b.Entries {
			if newest[e.Key].Version > i.Version {
				s.keys = append(s.keys, e.Key)
				l.held[e.Key]++
				continue
			}
			l.supersede(e.Key)
			l.hold(s, e)
			newest[e.Key] = table.Item{Key: e.Key, Value: e.Value, Version: i.Version}
		}
	}
	for key, i := range newest {
		if s := l.newest[key]; s == nil || !s.entries[key].Delete {
			restored = append(restored, i)
		}
	}
	slices.SortFunc(restored, func(x, y table.Item) int { return cmp.Compare(x.Key, y.Key) })
	return restored, l, damaged
}
