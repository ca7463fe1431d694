package operator

import (
	"bytes"
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/language"
)

// Cell is one value of a table: a text, or a number when Numeric is set.
type Cell struct {
	Text    string
	Number  float64
	Numeric bool
}

// String writes the value.
func (c Cell) String() string {
	if c.Numeric {
		return strconv.FormatFloat(c.Number, 'f', -1, 64)
	}
	return c.Text
}

// MarshalJSON writes a JSON string or number.
func (c Cell) MarshalJSON() ([]byte, error) {
	if c.Numeric {
		return json.Marshal(c.Number)
	}
	return json.Marshal(c.Text)
}

// UnmarshalJSON reads a JSON string or number.
func (c *Cell) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, &c.Text)
	}
	c.Numeric = true
	return json.Unmarshal(data, &c.Number)
}

func str[T ~string](s T) Cell { return Cell{Text: string(s)} }

func num[T int | int64 | float64](n T) Cell { return Cell{Number: float64(n), Numeric: true} }

// Table is a list of objects. In JSON each row is an object with a member for
// each column.
type Table struct {
	Columns []string
	Rows    [][]Cell
}

type tableJSON struct {
	Columns []string          `json:"columns"`
	Rows    []map[string]Cell `json:"-"`
	Raw     []json.RawMessage `json:"rows"`
}

// MarshalJSON writes the columns and the rows.
func (t Table) MarshalJSON() ([]byte, error) {
	out := tableJSON{Columns: t.Columns, Raw: []json.RawMessage{}}
	for _, row := range t.Rows {
		var b bytes.Buffer
		for i, c := range row {
			key, _ := json.Marshal(t.Columns[i])
			value, err := json.Marshal(c)
			if err != nil {
				return nil, errors.WithStack(err)
			}
			b.WriteString(map[bool]string{true: "{", false: ","}[i == 0])
			b.Write(key)
			b.WriteByte(':')
			b.Write(value)
		}
		b.WriteByte('}')
		out.Raw = append(out.Raw, b.Bytes())
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (t *Table) UnmarshalJSON(data []byte) error {
	var in tableJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.WithStack(err)
	}
	t.Columns, t.Rows = in.Columns, nil
	for _, raw := range in.Raw {
		var cells map[string]Cell
		if err := json.Unmarshal(raw, &cells); err != nil {
			return errors.WithStack(err)
		}
		row := make([]Cell, len(t.Columns))
		for i, c := range t.Columns {
			row[i] = cells[c]
		}
		t.Rows = append(t.Rows, row)
	}
	return nil
}

func newTable(list string) *Table {
	t := &Table{}
	for _, c := range language.Columns(list) {
		t.Columns = append(t.Columns, c.Name)
	}
	return t
}

func (t *Table) add(cells ...Cell) { t.Rows = append(t.Rows, cells) }

func (t *Table) index(column string) int {
	for i, c := range t.Columns {
		if c == column {
			return i
		}
	}
	return -1
}

// filter keeps the rows that meet every condition.
func (t *Table) filter(where []*language.Condition) {
	kept := t.Rows[:0]
	for _, row := range t.Rows {
		if t.meets(row, where) {
			kept = append(kept, row)
		}
	}
	t.Rows = kept
}

func (t *Table) meets(row []Cell, where []*language.Condition) bool {
	for _, w := range where {
		i := t.index(w.Column.Text)
		if i < 0 || !holds(row[i], w.Op, w.Value.Text) {
			return false
		}
	}
	return true
}

func holds(c Cell, op, value string) bool {
	if op == "~" {
		return strings.Contains(c.String(), value)
	}
	order := strings.Compare(c.Text, value)
	if c.Numeric {
		n, err := language.Number(value)
		if err != nil {
			return false
		}
		order = compare(c, num(n))
	}
	switch op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

func compare(a, b Cell) int {
	switch {
	case a.Numeric && b.Numeric && a.Number < b.Number:
		return -1
	case a.Numeric && b.Numeric && a.Number > b.Number:
		return 1
	case a.Numeric && b.Numeric:
		return 0
	}
	return strings.Compare(a.String(), b.String())
}

// order sorts by the given columns, then by the first one.
func (t *Table) order(by []*language.Order) {
	sort.SliceStable(t.Rows, func(i, j int) bool {
		for _, o := range by {
			k := t.index(o.Column.Text)
			if d := compare(t.Rows[i][k], t.Rows[j][k]); d != 0 {
				return (d < 0) != o.Desc
			}
		}
		return compare(t.Rows[i][0], t.Rows[j][0]) < 0
	})
}

// maxRows bounds the rows of an answer.
const maxRows = 20000

func (t *Table) limit(n int) {
	if len(t.Rows) > n {
		t.Rows = t.Rows[:n]
	}
}
