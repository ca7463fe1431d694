// Package language reads the operators' query and command language.
package language

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Script is a sequence of statements, each ended by a semicolon.
type Script struct {
	Statements []*Statement `parser:"( @@ ';' )*"`
}

// Statement is one statement; exactly one field is set.
type Statement struct {
	Pos      lexer.Position
	Domain   *Domain   `parser:"  'declare' 'domain' @@"`
	Team     *Team     `parser:"| 'declare' 'team' @@"`
	Workload *Workload `parser:"| 'declare' @@"`
	Drain    *string   `parser:"| 'drain' @Word"`
	Return   *string   `parser:"| 'return' @Word"`
	Cancel   []string  `parser:"| 'cancel' @Word ( ',' @Word )*"`
	List     *List     `parser:"| 'list' @@"`
}

// Domain declares a failure domain.
type Domain struct {
	Name    string   `parser:"@Word"`
	Region  string   `parser:"'region' @Word"`
	Workers []string `parser:"'workers' @Word ( ',' @Word )*"`
	Entries []string `parser:"'entries' @Word ( ',' @Word )*"`
}

// Team declares a team.
type Team struct {
	Name    string    `parser:"@Word"`
	Options []*Option `parser:"@@*"`
}

// Workload declares a service, batch work or an all-at-once job.
type Workload struct {
	Kind    string    `parser:"@( 'service' | 'batch' | 'gang' )"`
	Name    string    `parser:"@Word"`
	Options []*Option `parser:"@@*"`
	Homes   []*Home   `parser:"( 'homes' @@ ( ',' @@ )* )?"`
}

// Option is one setting of a declaration.
type Option struct {
	Pos   lexer.Position
	Key   string `parser:"@( 'team' | 'count' | 'cpu' | 'memory' | 'accelerators' | 'policy' | 'urgency' | 'run' | 'spread' | 'weight' )"`
	Value string `parser:"@Word"`
}

// Home is a failure domain's part of a workload.
type Home struct {
	Domain string `parser:"@Word"`
	Count  int    `parser:"@Word"`
}

// List asks for a table of objects.
type List struct {
	What string `parser:"@Word"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Word", Pattern: `[A-Za-z0-9_./\[\]-]+`},
	{Name: "Punct", Pattern: `[;,]`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Script](participle.Lexer(tokens), participle.Elide("Comment", "Space"), participle.UseLookahead(2))

// Parse reads a script.
func Parse(text string) (*Script, error) { return parser.ParseString("", text) }
