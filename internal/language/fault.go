package language

import (
	"fmt"
	"sort"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Fault is one thing wrong with a script.
type Fault struct {
	Line   int `json:"line"`
	Column int `json:"column"`
	// Word is the word that the fault lies in.
	Word    string `json:"word,omitempty"`
	Message string `json:"message"`
	// Suggestion is the nearest word that would do, if one is near.
	Suggestion string `json:"suggestion,omitempty"`
	// Source is the line of the text.
	Source string `json:"source,omitempty"`
}

// String writes the fault with its line and a caret under the word.
func (f Fault) String() string {
	s := fmt.Sprintf("line %d, column %d: ", f.Line, f.Column)
	if f.Word != "" {
		s += fmt.Sprintf("%q: ", f.Word)
	}
	s += f.Message
	if f.Suggestion != "" {
		s += fmt.Sprintf("; did you mean %q?", f.Suggestion)
	}
	if f.Source != "" {
		s += "\n  " + f.Source + "\n  " + indent(f.Source, f.Column) + "^"
	}
	return s
}

// indent returns blanks as wide as the line before the column.
func indent(line string, column int) string {
	var b strings.Builder
	for i, r := range []rune(line) {
		switch {
		case i >= column-1:
			return b.String()
		case r == '\t':
			b.WriteRune('\t')
		default:
			b.WriteByte(' ')
		}
	}
	return b.String()
}

// Faults lists everything wrong with a script, in the order of the text.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, x := range f {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// Sort puts the faults in the order of the text.
func (f Faults) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
}

// maxSource bounds the part of a line that a fault shows.
const maxSource = 200

func (s *Script) faultAt(pos lexer.Position, word, message string) Fault {
	f := Fault{Line: max(pos.Line, 1), Column: max(pos.Column, 1), Word: word, Message: message}
	if i := f.Line - 1; i < len(s.lines) && len(s.lines[i]) <= maxSource {
		f.Source = strings.TrimRight(s.lines[i], "\r")
	}
	return f
}

// Fault returns a fault that points at w.
func (s *Script) Fault(w *Word, format string, args ...any) Fault {
	return s.faultAt(w.Pos, w.Text, fmt.Sprintf(format, args...))
}

// Unknown returns the fault of a word that is none of the known ones.
func (s *Script) Unknown(w *Word, what string, known []string) Fault {
	f := s.Fault(w, "unknown %s", what)
	f.Suggestion = Nearest(w.Text, known)
	return f
}

// Nearest returns the known word that differs least from w, or nothing if none
// is near.
func Nearest(w string, known []string) string {
	best, least := "", max(1, len(w)/3)+1
	if len(w) > maxName {
		return ""
	}
	for _, k := range known {
		if d := distance(w, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance counts the edits that turn a into b; a swap of neighbours is one.
func distance(a, b string) int {
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			d := min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d = min(d, rows[i-2][j-2]+1)
			}
			rows[i][j] = d
		}
	}
	return rows[len(a)][len(b)]
}

// keywords are the words of the language.
var keywords = []string{
	"declare", "set", "drain", "return", "cancel", "remove", "list", "explain", "history", "if", "version", "absent",
	"domain", "team", "service", "services", "batch", "gang", "gangs", "workload", "workloads", "region", "workers", "entries",
	"count", "cpu", "memory", "accelerators", "policy", "urgency", "run", "spread", "weight", "homes",
	"job", "show", "holder", "queue", "spec", "first", "interval", "times", "step", "after", "of", "same-rack", "requires", "rack",
	"most-per-worker", "speculative", "checkpointing", "long-running", "filler", "image", "target", "disruption-budget",
	"for", "where", "and", "order", "by", "desc", "asc", "limit",
}
