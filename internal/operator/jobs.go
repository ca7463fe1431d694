package operator

import "github.com/mimosaspool/mimosaspool/internal/language"

// JobOutcome is what became of a job that a node was handed, or was told to
// cancel.
type JobOutcome struct {
	ID string `json:"id"`
	// Action is Add or Drop.
	Action Action `json:"action"`
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	// Node is the one that answered, if one did.
	Node string `json:"node,omitempty"`
}

// NewTable returns an empty table with the columns of a list.
func NewTable(list string) *Table { return newTable(list) }

// Text and Number are cells.
func Text(s string) Cell { return str(s) }

// Number is the cell of a numeric column.
func Number(n int64) Cell { return num(n) }

// Add adds a row.
func (t *Table) Add(cells ...Cell) { t.add(cells...) }

// Arrange keeps, sorts and cuts the rows as a list statement says. Without an
// order the rows stay as they are.
func (t *Table) Arrange(l *language.List) {
	t.filter(l.Where)
	if len(l.Order) > 0 {
		t.order(l.Order)
	}
	t.limit(language.Max(l.Limit, maxRows))
}

// MaxRows bounds the rows of an answer.
const MaxRows = maxRows
