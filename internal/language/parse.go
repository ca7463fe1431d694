package language

import (
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"
)

// Script is a sequence of statements, each ended by a semicolon.
type Script struct {
	Statements []*Statement
	lines      []string
	// doubtful holds the words of statements that were left out for a fault.
	doubtful map[string]bool
	// names counts the workers and entries that the script names.
	names int
}

// Bounds of one script.
const (
	// MaxText bounds its bytes.
	MaxText = 4 << 20
	// MaxFaults is the number of faults from which on no more are looked for.
	MaxFaults = 100
)

// parser is built when it is first used: few programs that link it read scripts.
var parser = sync.OnceValue(func() *participle.Parser[Statement] {
	return participle.MustBuild[Statement](participle.Lexer(tokens()), participle.Elide("Comment", "Space"), participle.UseLookahead(2))
})

var tokens = sync.OnceValue(func() *lexer.StatefulDefinition {
	return lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Word", Pattern: `[A-Za-z0-9_./\[\]-]+`},
		{Name: "Op", Pattern: `!=|<=|>=|[=<>~]`},
		{Name: "Punct", Pattern: `[;,]`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "Other", Pattern: `.`},
	})
})

// Parse reads a script and checks all that can be checked without a server.
// Its error is of type Faults and names every fault; the script then holds the
// statements that have none.
func Parse(text string) (*Script, error) {
	s := &Script{lines: strings.Split(text, "\n"), doubtful: map[string]bool{}}
	if len(text) > MaxText {
		return s, Faults{{Line: 1, Column: 1, Message: "the text is longer than 4 MiB"}}
	}
	groups, faults := s.split(text)
	for _, g := range groups {
		if len(faults) >= MaxFaults {
			break
		}
		st, err := s.parse(g)
		var bad Faults
		if err != nil {
			bad = Faults{*err}
		} else {
			bad = s.check(st)
		}
		if len(bad) == 0 {
			s.Statements = append(s.Statements, st)
			continue
		}
		faults = append(faults, bad...)
		for _, t := range g {
			s.doubtful[t.Value] = true
		}
	}
	if len(faults) > 0 {
		faults.Sort()
		return s, faults
	}
	return s, nil
}

// Doubtful reports whether a word stands in a statement that was left out for
// a fault, so that nothing can be said about what it names.
func (s *Script) Doubtful(word string) bool { return s.doubtful[word] }

// group holds the tokens of one statement; the last one ends the input.
type group []lexer.Token

// split divides the text at its semicolons.
func (s *Script) split(text string) ([]group, Faults) {
	lex, err := tokens().LexString("", text)
	if err != nil {
		return nil, Faults{{Line: 1, Column: 1, Message: err.Error()}}
	}
	names := tokens().Symbols()
	var groups []group
	var faults Faults
	var g group
	for {
		t, err := lex.Next()
		switch {
		case err != nil:
			return groups, append(faults, Fault{Line: 1, Column: 1, Message: err.Error()})
		case t.EOF() && len(g) > 0:
			faults = append(faults, s.faultAt(g[len(g)-1].Pos, g[len(g)-1].Value, "the statement isn't ended by a semicolon"))
			return groups, faults
		case t.EOF():
			return groups, faults
		case t.Type == names["Space"] || t.Type == names["Comment"]:
		case t.Value == ";":
			if len(g) > 0 {
				groups = append(groups, append(g, lexer.Token{Type: lexer.EOF, Pos: t.Pos}))
			}
			g = nil
		default:
			g = append(g, t)
		}
	}
}

// Next implements lexer.Lexer.
func (g *group) Next() (lexer.Token, error) {
	t := (*g)[0]
	if !t.EOF() {
		*g = (*g)[1:]
	}
	return t, nil
}

func (g group) text() string {
	var b strings.Builder
	for i, t := range g[:len(g)-1] {
		if i > 0 && t.Value != "," {
			b.WriteByte(' ')
		}
		b.WriteString(t.Value)
	}
	return b.String()
}

func (s *Script) parse(g group) (*Statement, *Fault) {
	text := g.text()
	lex, err := lexer.Upgrade(&g)
	if err != nil {
		return nil, &Fault{Line: 1, Column: 1, Message: err.Error()}
	}
	st, err := parser().ParseFromLexer(lex)
	if err == nil {
		st.Text = text
		return st, nil
	}
	f := s.syntaxFault(err)
	return nil, &f
}

func (s *Script) syntaxFault(err error) Fault {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		t := unexpected.Unexpected
		if t.EOF() {
			return s.faultAt(t.Pos, ";", "the statement ends too early"+expected(unexpected))
		}
		f := s.faultAt(t.Pos, t.Value, "unexpected word"+expected(unexpected))
		f.Suggestion = Nearest(t.Value, keywords)
		return f
	}
	var at participle.Error
	if errors.As(err, &at) {
		return s.faultAt(at.Position(), "", at.Message())
	}
	return Fault{Line: 1, Column: 1, Message: err.Error()}
}

func expected(e *participle.UnexpectedTokenError) string {
	_, after, ok := strings.Cut(e.Message(), "(expected ")
	if !ok {
		return ""
	}
	return ", expected " + nodes.Replace(strings.TrimSuffix(after, ")"))
}

// nodes names the grammar's parts for people.
var nodes = strings.NewReplacer(
	"<word> | <string>", "a name or value, or a text in quotes", "<word>", "a name or value", "<op>", "one of = != < <= > >= ~", "Declare", "domain, team, job, service, batch or gang",
	"Domain", "a domain", "Team", "a team", "Workload", "service, batch or gang", "Set", "a setting", "StepOption", "a setting", "JobOption", "a setting", "Option", "a setting", "Step", "a setting", "Text", "a name, value or text in quotes",
	"Target", "a name, or a kind of workload", "Object", "a kind and a name", "List", "a list", "History", "history",
	"Word", "a name or value", "Condition", "a condition", "Home", "a domain and a count", "Order", "a column", "<EOF>", "the end",
)
