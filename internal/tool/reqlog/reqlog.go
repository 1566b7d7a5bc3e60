// Package reqlog puts together what the logs of many instances say about one request.
package reqlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// gap is how long the log may say nothing before the reader is told so: a request that is looked after has a line
	// sooner, unless its tasks run.
	gap = 500 * time.Millisecond
	// longestLine bounds one line of a log, in bytes.
	longestLine = 1 << 20
)

// gapMessages are the messages that explain a gap, although they name no request.
var gapMessages = []string{
	"elect: leadership acquired", "elect: leadership released", "leader: stored state loaded",
	"engine: leases of former leaders have expired", "log: lines dropped", "platform: store does not answer",
	"host: started", "host: stopping",
	// Processes of the build before the renaming of packages log these.
	"tenure: seat taken", "tenure: seat left", "master: stored state loaded",
	"board: leases of former holders have lapsed",
}

// Line is one line of a log that belongs to a request.
type Line struct {
	Time time.Time
	Node string
	Text string
	// Values are the line's other fields, in their order.
	Values []Value
	// Matches means that the line names the request; others are there as context.
	Matches bool
}

// Value is one field of a line.
type Value struct{ Name, Text string }

// Read returns the lines of a log that name a request and those that may explain a gap. Text before the first brace of
// a line is skipped, as log collectors put it there; so are lines that are not of this program.
func Read(r io.Reader, id string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		names := bytes.Contains(s.Bytes(), []byte(id))
		if !names && !slices.ContainsFunc(gapMessages, func(c string) bool { return bytes.Contains(s.Bytes(), []byte(c)) }) {
			continue
		}
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		if l, ok := parse(s.Bytes()[start:]); ok {
			l.Matches = names
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("reqlog: %w", err)
	}
	return lines, nil
}

// parse decodes a line; it keeps the order of the fields.
func parse(text []byte) (Line, bool) {
	var l Line
	d := json.NewDecoder(bytes.NewReader(text))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return l, false
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return l, false
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return l, false
		}
		value := string(raw)
		var plain string
		if json.Unmarshal(raw, &plain) == nil {
			value = plain
		}
		switch name {
		case "level":
		case "ts":
			if l.Time, err = time.Parse(time.RFC3339Nano, value); err != nil {
				return l, false
			}
		case "msg":
			l.Text = value
		case "node":
			l.Node = value
		default:
			l.Values = append(l.Values, Value{fmt.Sprint(name), value})
		}
	}
	return l, !l.Time.IsZero()
}

// WriteTimeline writes a request's lines in the order of time, with the gaps between them and what may explain them. It
// returns false if no line names the request. The times are those of the instances' own clocks.
func WriteTimeline(w io.Writer, lines []Line, id string) (bool, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node)) })
	first := slices.IndexFunc(lines, func(l Line) bool { return l.Matches })
	if first < 0 {
		return false, nil
	}
	var out strings.Builder
	began, last := lines[first].Time, lines[first].Time
	var between []Line
	fmt.Fprintf(&out, "%s from %s\n", id, began.UTC().Format(time.RFC3339Nano))
	for _, l := range lines[first:] {
		if !l.Matches {
			between = append(between, l)
			continue
		}
		if silence := l.Time.Sub(last); silence >= gap {
			fmt.Fprintf(&out, "         %s without a line about it\n", silence.Round(time.Millisecond))
			for _, c := range between {
				write(&out, c, began, "  ")
			}
		}
		between, last = nil, l.Time
		write(&out, l, began, "")
	}
	_, err := io.WriteString(w, out.String())
	return true, err
}

func write(out *strings.Builder, l Line, began time.Time, indent string) {
	fmt.Fprintf(out, "%+8.3f %s%s: %s", l.Time.Sub(began).Seconds(), indent, l.Node, l.Text)
	for _, v := range l.Values {
		fmt.Fprintf(out, " %s=%s", v.Name, v.Text)
	}
	out.WriteByte('\n')
}
