package ctl

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

// maxRegisterBytes is the size of the largest accepted register.
const maxRegisterBytes = 16 << 20

// maxRows is the number of rows of the largest accepted register. A document
// of the largest size holds fewer instances.
const maxRows = 10_000

// notGiven is the value of a number that the register does not give.
const notGiven = -1

// row is the entry of one instance in the register. Numbers that the register
// does not give are notGiven.
type row struct {
	// line is the line number in CSV, or the number of the element in JSON,
	// from 1.
	line     int
	service  string
	owner    string
	region   string
	centre   string
	instance rules.Instance
}

// refusedRow is a row that is not imported.
type refusedRow struct {
	Line   int    `json:"line"`
	Name   string `json:"name,omitempty"`
	Reason string `json:"reason"`
}

// column describes one column of the register.
type column struct {
	name string
	// required means that no row may leave the cell empty.
	required bool
	set      func(r *row, cell string) error
}

// columns returns the columns that an import reads. The instance name comes
// first, so that a refusal for another column can name the instance.
func columns() []column {
	return []column{
		nameColumn("instance", func(r *row) *string { return &r.instance.Name }),
		nameColumn("service", func(r *row) *string { return &r.service }),
		textColumn("owner", func(r *row) *string { return &r.owner }),
		nameColumn("region", func(r *row) *string { return &r.region }),
		nameColumn("centre", func(r *row) *string { return &r.centre }),
		textColumn("host", func(r *row) *string { return &r.instance.Host }),
		numberColumn("inbound", func(r *row) *int { return &r.instance.Inbound }),
		numberColumn("outbound", func(r *row) *int { return &r.instance.Outbound }),
		numberColumn("control", func(r *row) *int { return &r.instance.Control }),
		numberColumn("operator", func(r *row) *int { return &r.instance.Operator }),
		numberColumn("slots", func(r *row) *int { return &r.instance.Slots }),
		numberColumn("conns", func(r *row) *int { return &r.instance.Conns }),
	}
}

func textColumn(name string, field func(r *row) *string) column {
	return column{
		name:     name,
		required: true,
		set: func(r *row, cell string) error {
			*field(r) = cell
			return nil
		},
	}
}

// nameColumn returns a column of names, which are put in lower case since
// registers often have them in capitals.
func nameColumn(name string, field func(r *row) *string) column {
	return column{
		name:     name,
		required: true,
		set: func(r *row, cell string) error {
			cell = strings.ToLower(cell)
			if !rules.IsName(cell) {
				return fmt.Errorf("%.70q is no name", cell)
			}
			*field(r) = cell
			return nil
		},
	}
}

func numberColumn(name string, field func(r *row) *int) column {
	return column{
		name: name,
		set: func(r *row, cell string) error {
			*field(r) = notGiven
			if cell == "" {
				return nil
			}
			n, err := strconv.Atoi(cell)
			if err != nil || n < 0 {
				return fmt.Errorf("%.40q is no whole number", cell)
			}
			*field(r) = n
			return nil
		},
	}
}

// register is the content of a register export.
type register struct {
	rows    []row
	refused []refusedRow
	// ignored holds the names of columns that are not imported.
	ignored []string
	// onProgress is called after each row with the offset in the export, in
	// bytes.
	onProgress func(offset int64)
}

var errTooManyRows = fmt.Errorf("more than %d rows", maxRows)

// isFull reports whether more than maxRows rows were read.
func (g *register) isFull() bool { return len(g.rows)+len(g.refused) > maxRows }

// read parses an export. It takes data that begins like a JSON array as JSON
// and everything else as CSV.
func (g *register) read(data []byte) error {
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte{'['}) {
		return g.readJSON(data)
	}
	return g.readCSV(data)
}

func (g *register) readCSV(data []byte) error {
	r := csv.NewReader(bytes.NewReader(data))
	r.FieldsPerRecord = -1
	header, _, _ := bytes.Cut(data, []byte{'\n'})
	if bytes.Count(header, []byte{';'}) > bytes.Count(header, []byte{','}) {
		r.Comma = ';'
	}
	names, err := r.Read()
	if err != nil {
		return fmt.Errorf("no header line: %w", err)
	}
	for n, name := range names {
		names[n] = strings.ToLower(strings.TrimSpace(name))
	}
	for _, c := range columns() {
		if c.required && !slices.Contains(names, c.name) {
			return fmt.Errorf("there is no column %q in the header line", c.name)
		}
	}
	for {
		cells, err := r.Read()
		var parseErr *csv.ParseError
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &parseErr):
			g.refuse(parseErr.StartLine, "", parseErr.Err.Error())
			continue
		case err != nil:
			return err
		}
		line, _ := r.FieldPos(0)
		if len(cells) != len(names) {
			g.refuse(line, "", fmt.Sprintf("the row has %d cells, the header line %d", len(cells), len(names)))
			continue
		}
		cellsByName := make(map[string]string, len(names))
		for n, name := range names {
			cellsByName[name] = cells[n]
		}
		g.add(line, cellsByName)
		g.onProgress(r.InputOffset())
		if g.isFull() {
			return errTooManyRows
		}
	}
}

func (g *register) readJSON(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if _, err := dec.Token(); err != nil {
		return err
	}
	for line := 1; dec.More(); line++ {
		var members map[string]json.RawMessage
		err := dec.Decode(&members)
		var typeErr *json.UnmarshalTypeError
		switch {
		case errors.As(err, &typeErr):
			g.refuse(line, "", "the element is no object")
			continue
		case err != nil:
			return fmt.Errorf("element %d: %w", line, err)
		}
		cellsByName := make(map[string]string, len(members))
		for name, raw := range members {
			cellsByName[strings.ToLower(name)] = cellOf(raw)
		}
		g.add(line, cellsByName)
		g.onProgress(dec.InputOffset())
		if g.isFull() {
			return errTooManyRows
		}
	}
	_, err := dec.Token()
	return err
}

// cellOf returns the content of a JSON string, or the JSON text of any other
// value.
func cellOf(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// add parses the cells of one row by column name. It refuses the row at the
// first cell that is missing or invalid. It removes the cells that it reads
// from the map.
func (g *register) add(line int, cells map[string]string) {
	r := row{
		line: line,
	}
	for _, c := range columns() {
		cell := strings.TrimSpace(cells[c.name])
		delete(cells, c.name)
		if cell == "" && c.required {
			g.refuse(line, r.instance.Name, c.name+" is missing")
			return
		}
		if err := c.set(&r, cell); err != nil {
			g.refuse(line, r.instance.Name, c.name+": "+err.Error())
			return
		}
	}
	for name := range cells {
		if !slices.Contains(g.ignored, name) {
			g.ignored = append(g.ignored, name)
		}
	}
	g.rows = append(g.rows, r)
}

func (g *register) refuse(line int, name, reason string) {
	g.refused = append(g.refused, refusedRow{
		Line:   line,
		Name:   name,
		Reason: reason,
	})
}
