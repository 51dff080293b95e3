// Package sheetcsv parses the planners' morning sheet, a CSV file in which each
// row declares one item of the configuration. It reports all faults at once, by
// row and column. Change this package to change the columns of the sheet and
// what they accept.
package sheetcsv

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Columns of the sheet, in the order of the header row.
const (
	columnKind        = "kind"
	columnName        = "name"
	columnService     = "service"
	columnDataCentre  = "data_centre"
	columnAddress     = "address"
	columnSlots       = "slots"
	columnConnections = "connections"
	columnState       = "state"
	columnAt          = "at"
	columnProbeRate   = "probes_per_1000_s"
	columnIdempotent  = "idempotent"
)

// columns is the required header row.
var columns = []string{
	columnKind, columnName, columnService, columnDataCentre, columnAddress, columnSlots,
	columnConnections, columnState, columnAt, columnProbeRate, columnIdempotent,
}

// kind describes one kind of row: the columns that it uses and its reader.
type kind struct {
	columns []string
	read    func(r *row, into *schema.Configuration)
}

// kinds maps the value of the kind column to its description.
var kinds = map[string]kind{
	"day":            {[]string{columnAt}, readDay},
	"service":        {[]string{columnName, columnProbeRate, columnIdempotent}, readService},
	"data_centre":    {[]string{columnName, columnState}, readDataCentre},
	"backend_server": {[]string{columnService, columnDataCentre, columnAddress, columnSlots, columnConnections, columnState}, readBackendServer},
	"planned_stop":   {[]string{columnName, columnAt}, readPlannedStop},
}

// Parse returns the configuration that a sheet declares. The error is a
// *schema.InvalidError that lists every fault.
func Parse(file string, data []byte) (schema.Configuration, error) {
	p := parser{file: file}
	p.read(data)
	p.checkReferences()
	if len(p.faults) > 0 {
		return schema.Configuration{}, &schema.InvalidError{Input: file, Faults: p.faults}
	}
	sortConfiguration(&p.configuration)

	return p.configuration, nil
}

// parser collects the declarations of the rows and their faults.
type parser struct {
	file          string
	configuration schema.Configuration
	faults        []schema.Fault
	declaredAt    map[string]string
}

// read reads the header and all rows.
func (p *parser) read(data []byte) {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	reader.Comment = '#'
	header, err := reader.Read()
	if err != nil || !slices.Equal(header, columns) {
		p.rejectf("row 1", fmt.Sprint(header), "the header row must be %v", columns)

		return
	}
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.rejectf("csv", "", "%v", err)

			return
		}
		line, _ := reader.FieldPos(0)
		p.row(line, record)
	}
}

// row reads one row and rejects values in columns that its kind does not use.
func (p *parser) row(line int, record []string) {
	place := fmt.Sprintf("row %d", line)
	if len(record) != len(columns) {
		p.rejectf(place, fmt.Sprint(len(record)), "must have %d columns", len(columns))

		return
	}
	r := &row{parser: p, place: place, values: map[string]string{}}
	for i, column := range columns {
		r.values[column] = record[i]
	}
	rowKind, ok := kinds[r.values[columnKind]]
	if !ok {
		r.reject(columnKind, "must be day, service, data_centre, backend_server or planned_stop")

		return
	}
	for _, column := range columns[1:] {
		if r.values[column] != "" && !slices.Contains(rowKind.columns, column) {
			r.reject(column, "must be empty in a row of kind "+r.values[columnKind])
		}
	}
	rowKind.read(r, &p.configuration)
}

// rejectf records a fault.
func (p *parser) rejectf(place, value, format string, args ...any) {
	p.faults = append(p.faults, schema.Fault{
		Place: p.file + " " + place, Value: value, Problem: fmt.Sprintf(format, args...),
	})
}

// row holds the values of one row by column.
type row struct {
	parser *parser
	place  string
	values map[string]string
}

// reject records a fault in a column.
func (r *row) reject(column, problem string) {
	r.parser.rejectf(r.place+" column "+column, r.values[column], "%s", problem)
}

// number reads a whole number from low to high.
func (r *row) number(column string, low, high int) int {
	value, err := strconv.Atoi(r.values[column])
	if err != nil || value < low || value > high {
		r.reject(column, fmt.Sprintf("must be a whole number from %d to %d", low, high))
	}

	return value
}

// name reads a value that must be a valid name.
func (r *row) name(column string) string {
	if !schema.IsName(r.values[column]) {
		r.reject(column, "must be 1 to 63 lower-case letters, digits or dashes, starting with a letter")
	}

	return r.values[column]
}

// oneOf reads one of two values and reports whether it is the first.
func (r *row) oneOf(column, first, second string) bool {
	value := r.values[column]
	if value != first && value != second {
		r.reject(column, fmt.Sprintf("must be %s or %s", first, second))
	}

	return value == first
}

// unique rejects a second row of the same kind and key.
func (r *row) unique(column, key string) {
	if r.parser.declaredAt == nil {
		r.parser.declaredAt = map[string]string{}
	}
	key = r.values[columnKind] + " " + key
	if earlier, ok := r.parser.declaredAt[key]; ok {
		r.reject(column, "is already declared in "+earlier)
	}
	r.parser.declaredAt[key] = r.place
}
