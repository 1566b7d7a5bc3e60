// Package reqlog merges the log lines of many instances about one request into a timeline.
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
	// minGap is the shortest time without a log line that the timeline shows as a gap. Lines of a request that makes
	// progress are closer together, unless its tasks run.
	minGap = 500 * time.Millisecond
	// maxLineSize bounds one log line, in bytes.
	maxLineSize = 1 << 20
)

// gapMessages are messages that may explain a gap although they do not name a request.
var gapMessages = []string{
	"elect: leadership acquired", "elect: leadership released", "leader: stored state loaded",
	"engine: leases of former leaders have expired", "log: lines dropped", "platform: store does not answer",
	"host: started", "host: stopping",
	// Messages of the previous build, before packages were renamed; its logs must still be read.
	"tenure: seat taken", "tenure: seat left", "master: stored state loaded",
	"board: leases of former holders have lapsed",
}

// Line is one log line of a request's timeline.
type Line struct {
	Time time.Time
	Node string
	Text string
	// Values are the line's other fields in their original order.
	Values []Value
	// Matches means that the line names the request; other lines may explain a gap.
	Matches bool
}

// Value is one field of a log line.
type Value struct{ Name, Text string }

// Read returns the lines of a log that name a request or may explain a gap. It skips text before the first brace of a
// line, which log collectors add, and lines of other programs.
func Read(r io.Reader, id string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineSize)
	for s.Scan() {
		matches := bytes.Contains(s.Bytes(), []byte(id))
		if !matches && !slices.ContainsFunc(gapMessages, func(m string) bool {
			return bytes.Contains(s.Bytes(), []byte(m))
		}) {
			continue
		}
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		if l, ok := parse(s.Bytes()[start:]); ok {
			l.Matches = matches
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("reqlog: %w", err)
	}
	return lines, nil
}

// parse decodes a log line and keeps the order of its fields.
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

// WriteTimeline writes a request's lines in chronological order, with the gaps between them and the lines that may
// explain a gap. It returns false if no line names the request. Times are those of the instances' own clocks.
func WriteTimeline(w io.Writer, lines []Line, id string) (bool, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	first := slices.IndexFunc(lines, func(l Line) bool { return l.Matches })
	if first < 0 {
		return false, nil
	}
	var out strings.Builder
	began, last := lines[first].Time, lines[first].Time
	var context []Line
	fmt.Fprintf(&out, "%s from %s\n", id, began.UTC().Format(time.RFC3339Nano))
	for _, l := range lines[first:] {
		if !l.Matches {
			context = append(context, l)
			continue
		}
		if gap := l.Time.Sub(last); gap >= minGap {
			fmt.Fprintf(&out, "         %s without a line about it\n", gap.Round(time.Millisecond))
			for _, c := range context {
				write(&out, c, began, "  ")
			}
		}
		context, last = nil, l.Time
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
