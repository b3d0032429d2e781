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
	// longestLine is the longest line read in bytes.
	longestLine = 1 << 20
	// before is the time before a request's arrival from which lines about its VMs and servers are shown.
	before = time.Second
	// known is the time for which a request is taken to have lasted while no line tells of its end.
	known = 20 * time.Second
)

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("no line names the request")

// Explainer holds the lines of several logs.
type Explainer struct {
	lines []line
	// foreign counts the lines that are not in JSON.
	foreign int
}

// line is one line of a log, with its fields in their order.
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

// field returns the value of a field, empty when there is none.
func (l *line) field(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// Read takes in a log; what stands before a line's JSON, such as the mark of a log collector, is left out.
func (e *Explainer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			e.foreign++
			continue
		}
		l, err := parse(text[begin:])
		if err != nil {
			e.foreign++
			continue
		}
		e.lines = append(e.lines, l)
	}
	return scanner.Err()
}

// parse reads a line's fields in their order.
func parse(text []byte) (line, error) {
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
		l.add(fmt.Sprint(name), raw)
	}
	if l.at.IsZero() || l.message == "" {
		return l, errors.New("no line of an entry VM")
	}
	return l, nil
}

func (l *line) add(name string, raw json.RawMessage) {
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
		// A time that cannot be read leaves the line out.
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

// Explain writes the story of the request.
func (e *Explainer) Explain(w io.Writer, id string) error {
	slices.SortStableFunc(e.lines, func(a, b line) int { return a.at.Compare(b.at) })
	own := e.own(id)
	if len(own) == 0 {
		return fmt.Errorf("%w: %s (%d lines read, %d were none of an entry VM)", ErrUnknown, id, len(e.lines), e.foreign)
	}
	from, to, ended := span(own)
	vms, servers := parties(own)
	fmt.Fprintf(w, "request %s arrived about %s\n", id, from.UTC().Format("2006-01-02 15:04:05.000"))
	missing := 0
	for i := range e.lines {
		l := &e.lines[i]
		mine := l.field("id") == id
		if !mine && (l.at.Before(from.Add(-before)) || l.at.After(to) || !concerns(l, vms, servers)) {
			continue
		}
		if l.message == "lines dropped" || l.message == "lines gathered" {
			missing++
		}
		mark := " "
		if mine {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %+10.1f ms  %-20s %s%s\n", mark, float64(l.at.Sub(from))/float64(time.Millisecond), l.vm, l.message, values(l))
	}
	if !ended {
		fmt.Fprintln(w, "no line tells of the request's end: its VM may have died, or the log of that VM is not among the files")
	}
	if missing > 0 {
		fmt.Fprintf(w, "%d lines tell that others were left out meanwhile, so that parts of the story may be missing\n", missing)
	}
	return nil
}

// own returns the lines that name the request.
func (e *Explainer) own(id string) (own []line) {
	for _, l := range e.lines {
		if l.field("id") == id {
			own = append(own, l)
		}
	}
	return own
}

// span returns the time in which the request was served; ended is false when no line tells of its end.
func span(own []line) (from, to time.Time, ended bool) {
	from, to = own[0].at, own[0].at.Add(known)
	for _, l := range own {
		whole, err := time.ParseDuration(l.field("whole_ms") + "ms")
		if err != nil {
			continue
		}
		from, to, ended = l.at.Add(-whole), l.at, true
	}
	return from, to, ended
}

// parties returns the VMs that wrote of the request and the backend servers that the lines name.
func parties(own []line) (vms, servers map[string]bool) {
	vms, servers = make(map[string]bool), make(map[string]bool)
	for i := range own {
		l := &own[i]
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

// concerns reports whether a line that names no request tells of the VMs or servers.
func concerns(l *line, vms, servers map[string]bool) bool {
	if l.field("id") != "" || !vms[l.vm] {
		return false
	}
	server := l.field("server")
	return server == "" || servers[server]
}

// values joins the fields.
func values(l *line) string {
	var text strings.Builder
	for _, f := range l.fields {
		if f.name == "id" {
			continue
		}
		fmt.Fprintf(&text, " %s=%s", f.name, f.value)
	}
	return text.String()
}
