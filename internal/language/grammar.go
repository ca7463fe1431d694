// Package language reads the operators' query and command language: the
// grammar, the checks that need no server, and faults that point at a word.
package language

import "github.com/alecthomas/participle/v2/lexer"

// Word is a name or value with its place in the text.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// Statement is one statement; exactly one of the verbs is set.
type Statement struct {
	Pos     lexer.Position
	Declare *Declare `parser:"( 'declare' @@"`
	Set     *Set     `parser:"| 'set' @@"`
	Drain   []*Word  `parser:"| 'drain' @@ ( ',' @@ )*"`
	Return  []*Word  `parser:"| 'return' @@ ( ',' @@ )*"`
	// CancelJob is the ID of a job that a node has taken in.
	CancelJob *Word    `parser:"| 'cancel' 'job' @@"`
	Cancel    *Target  `parser:"| 'cancel' @@"`
	Remove    *Object  `parser:"| 'remove' @@"`
	List      *List    `parser:"| 'list' @@"`
	Explain   *Object  `parser:"| 'explain' @@"`
	Show      *Word    `parser:"| 'show' @@"`
	History   *History `parser:"| @@ )"`
	// Version is the version that the changed objects must have.
	Version *Word `parser:"( 'if' ( 'version' @@"`
	// Absent asks that the changed objects aren't declared yet.
	Absent bool `parser:"| @'absent' ) )?"`
	// Text is the statement as written, on one line.
	Text string
}

// Declare declares an object; exactly one field is set.
type Declare struct {
	Domain   *Domain   `parser:"  'domain' @@"`
	Team     *Team     `parser:"| 'team' @@"`
	Job      *Job      `parser:"| 'job' @@"`
	Workload *Workload `parser:"| @@"`
}

// Domain declares a failure domain.
type Domain struct {
	Name    *Word   `parser:"@@"`
	Region  *Word   `parser:"'region' @@"`
	Workers []*Word `parser:"'workers' @@ ( ',' @@ )*"`
	Entries []*Word `parser:"'entries' @@ ( ',' @@ )*"`
}

// Team declares a team.
type Team struct {
	Name    *Word     `parser:"@@"`
	Options []*Option `parser:"@@*"`
}

// Workload declares a service, batch work or an all-at-once job.
type Workload struct {
	Kind    string    `parser:"@( 'service' | 'batch' | 'gang' )"`
	Name    *Word     `parser:"@@"`
	Options []*Option `parser:"@@*"`
	Homes   []*Home   `parser:"( 'homes' @@ ( ',' @@ )* )?"`
}

// Option is one setting of a declaration.
type Option struct {
	Pos   lexer.Position
	Key   string `parser:"@( 'team' | 'count' | 'cpu' | 'memory' | 'accelerators' | 'policy' | 'urgency' | 'run' | 'spread' | 'weight' )"`
	Value *Word  `parser:"@@"`
}

// Home is a failure domain's part of a workload.
type Home struct {
	Domain *Word `parser:"@@"`
	Count  *Word `parser:"@@"`
}

// Set changes settings of declared objects and leaves the others.
type Set struct {
	Options []*Option `parser:"@@ ( ',' @@ )*"`
	For     *Target   `parser:"'for' @@"`
}

// Target names declared objects, or picks them by conditions.
type Target struct {
	Kind  string       `parser:"( @( 'services' | 'service' | 'batch' | 'gangs' | 'gang' | 'workloads' | 'workload' | 'team' ) )?"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )*"`
	Names []*Word      `parser:"| @@ ( ',' @@ )* )"`
}

// Condition compares a column of a list with a value.
type Condition struct {
	Column *Word  `parser:"@@"`
	Op     string `parser:"@Op"`
	Value  *Word  `parser:"@@"`
}

// List asks for a table of objects.
type List struct {
	What  *Word        `parser:"@@"`
	Of    *Word        `parser:"( 'of' @@ )?"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order []*Order     `parser:"( 'order' 'by' @@ ( ',' @@ )* )?"`
	Limit *Word        `parser:"( 'limit' @@ )?"`
}

// Order sorts a table by a column.
type Order struct {
	Column *Word `parser:"@@"`
	Desc   bool  `parser:"( @'desc' | 'asc' )?"`
}

// Object names one object.
type Object struct {
	Kind *Word `parser:"@@"`
	Name *Word `parser:"@@"`
}

// History asks who changed what, of one object or of all.
type History struct {
	Verb   string  `parser:"@'history'"`
	Object *Object `parser:"( (?! 'limit' | 'if' ) @@ )?"`
	Limit  *Word   `parser:"( 'limit' @@ )?"`
}

// Changes reports whether the statement changes the configuration.
func (s *Statement) Changes() bool {
	return s.List == nil && s.Explain == nil && s.History == nil && s.Show == nil
}
