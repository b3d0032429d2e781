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

// Indexes of the columns of a sheet.
const (
	columnKind = iota
	columnName
	columnZone
	columnStart
	columnEnd
	columnValue
	columnCount
)

// Header has the column names, which are the first line of every sheet.
var Header = []string{"kind", "name", "zone", "start", "end", "value"}

// Values in the kind column.
const (
	KindWindow   = "window"
	KindCapacity = "capacity"
	KindPriority = "priority"
)

// Fault is one error in a sheet. Line and Column are counted from 1; both are 0 for an error while reading the file.
type Fault struct {
	Line    int
	Column  int
	Message string
}

// String returns the position and the message of the fault.
func (f Fault) String() string {
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Message)
}

// sheetReader parses one sheet and collects its rows and faults.
type sheetReader struct {
	reader *csv.Reader
	sheet  dragonflypass.Sheet
	faults []Fault
}

// Parse parses a sheet and returns all faults; the sheet is valid only if there are none.
// If day is empty, the day of the sheet is the date of its earliest start.
func Parse(input io.Reader, day string) (dragonflypass.Sheet, []Fault) {
	r := &sheetReader{reader: csv.NewReader(input), sheet: dragonflypass.Sheet{Day: day}}
	r.reader.FieldsPerRecord = -1
	r.reader.TrimLeadingSpace = true
	r.readHeader()
	for r.readRow() {
	}
	if day == "" {
		r.sheet.Day = r.firstDay()
	}
	if len(r.faults) == 0 && r.sheet.Day == "" {
		r.addFault(1, 1, "the sheet has no rows")
	}
	return r.sheet, r.faults
}

func (r *sheetReader) addFault(line, column int, format string, args ...any) {
	r.faults = append(r.faults, Fault{Line: line, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (r *sheetReader) readHeader() {
	record, err := r.reader.Read()
	if err != nil {
		r.addFault(1, 1, "the header is missing")
		return
	}
	if len(record) > 0 {
		record[0] = strings.TrimPrefix(record[0], "\ufeff")
	}
	if !slices.Equal(record, Header) {
		r.addFault(1, 1, "the header must be %s", strings.Join(Header, ","))
	}
}

// readRow parses the next row and reports whether there was one.
func (r *sheetReader) readRow() bool {
	record, err := r.reader.Read()
	if errors.Is(err, io.EOF) {
		return false
	}
	if parseErr, ok := errors.AsType[*csv.ParseError](err); ok {
		r.addFault(parseErr.Line, parseErr.Column, "%v", parseErr.Err)
		return true
	}
	if err != nil {
		r.addFault(0, 0, "%v", err)
		return false
	}
	if len(record) != columnCount {
		line, column := r.reader.FieldPos(0)
		r.addFault(line, column, "the row has %d fields, not %d", len(record), columnCount)
		return true
	}
	r.parseRow(record)
	return true
}

// addFieldFault adds a fault at a field of the current row.
func (r *sheetReader) addFieldFault(column int, format string, args ...any) {
	line, position := r.reader.FieldPos(column)
	r.addFault(line, position, format, args...)
}

func (r *sheetReader) parseRow(record []string) {
	faultCount := len(r.faults)
	start := r.parseTime(record, columnStart)
	end := r.parseTime(record, columnEnd)
	if record[columnName] == "" {
		r.addFieldFault(columnName, "the name is missing")
	}
	if len(r.faults) == faultCount && !end.After(start) {
		r.addFieldFault(columnEnd, "the end must be after the start")
	}
	switch record[columnKind] {
	case KindWindow:
		r.parseWindow(record, start, end)
	case KindCapacity:
		slots := r.parseNumber(record, func(value float64) bool { return value >= 0 && value == float64(int(value)) }, "a whole number of slots, 0 or above")
		r.sheet.CapacityOverrides = append(r.sheet.CapacityOverrides, dragonflypass.CapacityOverride{
			Server: dragonflypass.ServerID(record[columnName]), Slots: int(slots), Start: start, End: end,
		})
	case KindPriority:
		weight := r.parseNumber(record, func(value float64) bool { return value > 0 }, "a weight above 0")
		r.sheet.WeightOverrides = append(r.sheet.WeightOverrides, dragonflypass.WeightOverride{
			Account: dragonflypass.AccountID(record[columnName]), Weight: weight, Start: start, End: end,
		})
	default:
		r.addFieldFault(columnKind, "the kind %q is not window, capacity or priority", record[columnKind])
	}
}

func (r *sheetReader) parseWindow(record []string, start, end time.Time) {
	if record[columnZone] == "" {
		r.addFieldFault(columnZone, "a window needs its zone")
	}
	if record[columnValue] != "" {
		r.addFieldFault(columnValue, "a window has no value")
	}
	r.sheet.Windows = append(r.sheet.Windows, dragonflypass.MaintenanceWindow{
		Name: record[columnName], Zone: dragonflypass.AvailabilityZone(record[columnZone]), Start: start, End: end,
	})
}

func (r *sheetReader) parseTime(record []string, column int) time.Time {
	value, err := time.Parse(time.RFC3339, record[column])
	if err != nil {
		r.addFieldFault(column, "%q is not a time such as 2026-12-04T08:00:00+01:00", record[column])
	}
	return value
}

func (r *sheetReader) parseNumber(record []string, valid func(float64) bool, expected string) float64 {
	value, err := strconv.ParseFloat(record[columnValue], 64)
	if err != nil || !valid(value) {
		r.addFieldFault(columnValue, "%q is not %s", record[columnValue], expected)
	}
	return value
}

// firstDay returns the date of the earliest start, in the time zone of that start, or "" if there are no rows.
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
