package parser

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// The columns of a sheet.
const (
	columnKind = iota
	columnName
	columnZone
	columnStart
	columnEnd
	columnValue
	columnCount
)

// Header is the first line of every sheet.
var Header = []string{"kind", "name", "zone", "start", "end", "value"}

// The kinds of rows.
const (
	KindWindow   = "window"
	KindCapacity = "capacity"
	KindPriority = "priority"
)

// Fault is one thing wrong with a sheet.
type Fault struct {
	Line    int
	Column  int
	Message string
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
}

// sheetReader collects the rows and faults of one sheet.
type sheetReader struct {
	reader *csv.Reader
	sheet  dragonflypass.Sheet
	faults []Fault
}

// Parse reads a sheet for the day and names every fault; the sheet is of use only when there is none.
func Parse(input io.Reader, day string) (dragonflypass.Sheet, []Fault) {
	r := &sheetReader{reader: csv.NewReader(input), sheet: dragonflypass.Sheet{Day: day}}
	r.reader.FieldsPerRecord = -1
	r.reader.TrimLeadingSpace = true
	r.header()
	for r.row() {
	}
	if day == "" {
		r.sheet.Day = r.firstDay()
	}
	if len(r.faults) == 0 && r.sheet.Day == "" {
		r.fault(1, 1, "the sheet has no rows")
	}
	return r.sheet, r.faults
}

func (r *sheetReader) fault(line, column int, format string, args ...any) {
	r.faults = append(r.faults, Fault{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (r *sheetReader) header() {
	record, err := r.reader.Read()
	if err != nil {
		r.fault(1, 1, "the header is missing")
		return
	}
	if len(record) > 0 {
		record[0] = strings.TrimPrefix(record[0], "\ufeff")
	}
	if !slices.Equal(record, Header) {
		r.fault(1, 1, "the header must be %s", strings.Join(Header, ","))
	}
}

// row reads one row and reports whether there was one.
func (r *sheetReader) row() bool {
	record, err := r.reader.Read()
	if errors.Is(err, io.EOF) {
		return false
	}
	if parse, ok := errors.AsType[*csv.ParseError](err); ok {
		r.fault(parse.Line, parse.Column, "%v", parse.Err)
		return true
	}
	if err != nil {
		r.fault(0, 0, "%v", err)
		return false
	}
	if len(record) != columnCount {
		line, column := r.reader.FieldPos(0)
		r.fault(line, column, "the row has %d fields, not %d", len(record), columnCount)
		return true
	}
	r.fields(record)
	return true
}

// at reports a fault of a field of the current row.
func (r *sheetReader) at(column int, format string, args ...any) {
	line, position := r.reader.FieldPos(column)
	r.fault(line, position, format, args...)
}

func (r *sheetReader) fields(record []string) {
	before := len(r.faults)
	start := r.instant(record, columnStart)
	end := r.instant(record, columnEnd)
	if record[columnName] == "" {
		r.at(columnName, "the name is missing")
	}
	if len(r.faults) == before && !end.After(start) {
		r.at(columnEnd, "the end must be after the start")
	}
	switch record[columnKind] {
	case KindWindow:
		r.window(record, start, end)
	case KindCapacity:
		slots := r.number(record, func(value float64) bool { return value >= 0 && value == float64(int(value)) }, "a whole number of slots, 0 or above")
		r.sheet.CapacityOverrides = append(r.sheet.CapacityOverrides, dragonflypass.CapacityOverride{
			Server: dragonflypass.ServerID(record[columnName]), Slots: int(slots), Start: start, End: end,
		})
	case KindPriority:
		weight := r.number(record, func(value float64) bool { return value > 0 }, "a weight above 0")
		r.sheet.WeightOverrides = append(r.sheet.WeightOverrides, dragonflypass.WeightOverride{
			Account: dragonflypass.AccountID(record[columnName]), Weight: weight, Start: start, End: end,
		})
	default:
		r.at(columnKind, "the kind %q is not window, capacity or priority", record[columnKind])
	}
}

func (r *sheetReader) window(record []string, start, end time.Time) {
	if record[columnZone] == "" {
		r.at(columnZone, "a window needs its zone")
	}
	if record[columnValue] != "" {
		r.at(columnValue, "a window has no value")
	}
	r.sheet.Windows = append(r.sheet.Windows, dragonflypass.MaintenanceWindow{
		Name: record[columnName], Zone: dragonflypass.AvailabilityZone(record[columnZone]), Start: start, End: end,
	})
}

func (r *sheetReader) instant(record []string, column int) time.Time {
	instant, err := time.Parse(time.RFC3339, record[column])
	if err != nil {
		r.at(column, "%q is not a time such as 2026-12-04T08:00:00+01:00", record[column])
	}
	return instant
}

func (r *sheetReader) number(record []string, valid func(float64) bool, wanted string) float64 {
	value, err := strconv.ParseFloat(record[columnValue], 64)
	if err != nil || !valid(value) {
		r.at(columnValue, "%q is not %s", record[columnValue], wanted)
	}
	return value
}

// firstDay is the date of the earliest start, as the sheet's own time zone has it.
func (r *sheetReader) firstDay() string {
	var starts []time.Time
	for _, row := range r.sheet.Windows {
		starts = append(starts, row.Start)
	}
	for _, row := range r.sheet.CapacityOverrides {
		starts = append(starts, row.Start)
	}
	for _, row := range r.sheet.WeightOverrides {
		starts = append(starts, row.Start)
	}
	if len(starts) == 0 {
		return ""
	}
	return slices.MinFunc(starts, time.Time.Compare).Format(time.DateOnly)
}
