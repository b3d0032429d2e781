package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextBefore is how long before the arrival of a request its related lines begin.
	contextBefore = time.Second
	// assumedDuration is the duration assumed for a request whose end is not in the logs.
	assumedDuration = 20 * time.Second
)

// ErrRequestNotFound is returned if no line has the ID of the request.
var ErrRequestNotFound = errors.New("no line has the ID of the request")

// Explainer collects the lines of several logs and prints those about one request.
type Explainer struct {
	lines []line
	// unparsed counts the lines that are not JSON or not from an entry VM.
	unparsed int
}

// line is one log line; its fields keep their order.
type line struct {
	at      time.Time
	vm      string
	message string
	fields  []field
}

type field struct {
	name  string
	value string
}

// field returns the value of a field, or "" if the line does not have it.
func (l *line) field(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// Read adds the lines of a log. Text before the JSON of a line, such as the prefix of a log collector, is ignored.
// It returns an error if reading fails or a line is longer than 1 MiB.
func (e *Explainer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			e.unparsed++
			continue
		}
		l, err := parseLine(text[start:])
		if err != nil {
			e.unparsed++
			continue
		}
		e.lines = append(e.lines, l)
	}
	return scanner.Err()
}

// parseLine decodes a line and keeps the order of its fields.
func parseLine(text []byte) (line, error) {
	var l line
	decoder := json.NewDecoder(bytes.NewReader(text))
	if _, err := decoder.Token(); err != nil {
		return l, err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return l, err
		}
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return l, err
		}
		l.setField(fmt.Sprint(name), raw)
	}
	if l.at.IsZero() || l.message == "" {
		return l, errors.New("not a log line of an entry VM")
	}
	return l, nil
}

func (l *line) setField(name string, raw json.RawMessage) {
	value := string(raw)
	if value == "null" {
		return
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		value = text
	}
	switch name {
	case "time":
		// A malformed time becomes the zero time; parseLine rejects such a line.
		l.at, _ = time.Parse(time.RFC3339Nano, value)
	case "msg":
		l.message = value
	case "vm":
		l.vm = value
	case "level":
	default:
		l.fields = append(l.fields, field{name: name, value: value})
	}
}

// Explain writes the lines of the request, marked with *, and the related lines in order of time. Times are relative
// to the arrival of the request. It returns ErrRequestNotFound if no line has the ID.
func (e *Explainer) Explain(w io.Writer, id string) error {
	slices.SortStableFunc(e.lines, func(a, b line) int { return a.at.Compare(b.at) })
	requestLines := e.requestLines(id)
	if len(requestLines) == 0 {
		return fmt.Errorf("%w: %s (%d lines read, %d not from an entry VM)", ErrRequestNotFound, id, len(e.lines), e.unparsed)
	}
	from, to, ended := timeRange(requestLines)
	vms, servers := participants(requestLines)
	fmt.Fprintf(w, "request %s arrived about %s\n", id, from.UTC().Format("2006-01-02 15:04:05.000"))
	lossReports := 0
	for i := range e.lines {
		l := &e.lines[i]
		matches := l.field("id") == id
		if !matches && (l.at.Before(from.Add(-contextBefore)) || l.at.After(to) || !isRelated(l, vms, servers)) {
			continue
		}
		if l.message == "lines dropped" || l.message == "lines gathered" {
			lossReports++
		}
		prefix := " "
		if matches {
			prefix = "*"
		}
		fmt.Fprintf(w, "%s %+10.1f ms  %-20s %s%s\n", prefix, float64(l.at.Sub(from))/float64(time.Millisecond), l.vm, l.message, formatFields(l))
	}
	if !ended {
		fmt.Fprintln(w, "no line records the request's end: its VM may have crashed, or the log of that VM is not among the files")
	}
	if lossReports > 0 {
		fmt.Fprintf(w, "%d lines report dropped or aggregated log lines, so parts of the history may be missing\n", lossReports)
	}
	return nil
}

// requestLines returns the lines with the ID of the request.
func (e *Explainer) requestLines(id string) (lines []line) {
	for _, l := range e.lines {
		if l.field("id") == id {
			lines = append(lines, l)
		}
	}
	return lines
}

// timeRange returns when the request arrived and when it ended. If no line records its end, ended is false and the
// range lasts assumedDuration from the first line.
func timeRange(lines []line) (from, to time.Time, ended bool) {
	from, to = lines[0].at, lines[0].at.Add(assumedDuration)
	for _, l := range lines {
		totalTime, err := time.ParseDuration(l.field("whole_ms") + "ms")
		if err != nil {
			continue
		}
		from, to, ended = l.at.Add(-totalTime), l.at, true
	}
	return from, to, ended
}

// participants returns the VMs that logged the request and the backend servers named in its lines.
func participants(lines []line) (vms, servers map[string]bool) {
	vms, servers = make(map[string]bool), make(map[string]bool)
	for i := range lines {
		l := &lines[i]
		vms[l.vm] = true
		servers[l.field("server")] = true
		var list []string
		if json.Unmarshal([]byte(l.field("helpers")), &list) == nil {
			for _, server := range list {
				servers[server] = true
			}
		}
		list = nil
		if json.Unmarshal([]byte(l.field("attempts")), &list) == nil {
			for _, attempt := range list {
				server, _, _ := strings.Cut(attempt, " ")
				servers[server] = true
			}
		}
	}
	delete(servers, "")
	return vms, servers
}

// isRelated reports whether a line without a request ID comes from one of the VMs and names either no server or
// one of the given servers.
func isRelated(l *line, vms, servers map[string]bool) bool {
	if l.field("id") != "" || !vms[l.vm] {
		return false
	}
	server := l.field("server")
	return server == "" || servers[server]
}

// formatFields returns the fields of a line as name=value pairs, without the request ID.
func formatFields(l *line) string {
	var text strings.Builder
	for _, f := range l.fields {
		if f.name == "id" {
			continue
		}
		fmt.Fprintf(&text, " %s=%s", f.name, f.value)
	}
	return text.String()
}
