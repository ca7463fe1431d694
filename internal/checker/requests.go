package checker

import (
	"fmt"
	"time"
)

// Request is one try of a caller, as the caller knows it.
type Request struct {
	// Number tells a caller's tries apart.
	Number     uint64
	Idempotent bool
	// Key is the same for every try of one non-idempotent request; empty without one.
	Key string
}

// Body is what the whole answer to the request has to say.
func (r Request) Body() string {
	if r.Key != "" {
		return r.Key
	}
	return fmt.Sprint("request ", r.Number)
}

// Told is what a caller was told in the end.
type Told int

// What a caller may be told.
const (
	ToldAnswer Told = iota
	ToldNotRun
	ToldUnknown
)

// Requests judges what runners ran and callers were told.
type Requests struct {
	Breaches []Breach
	// Answered, NotRun and Unknown count what callers were told.
	Answered, NotRun, Unknown int
	// ran counts the runs of each request; keys those of all tries with a key.
	ran    map[uint64]int
	keys   map[string]int
	told   map[uint64]bool
	notRun map[uint64]bool
}

// NewRequests returns a checker that has seen nothing.
func NewRequests() *Requests {
	return &Requests{ran: map[uint64]int{}, keys: map[string]int{}, told: map[uint64]bool{}, notRun: map[uint64]bool{}}
}

// Ran tells that a runner began to run a request.
func (c *Requests) Ran(at time.Duration, runner string, r Request) {
	c.ran[r.Number]++
	if c.notRun[r.Number] {
		c.breach(NotRun, at, r, "ran on "+runner+" after its caller was told that it did not")
	}
	if r.Idempotent {
		return
	}
	n := c.ran[r.Number]
	if r.Key != "" {
		c.keys[r.Key]++
		n = c.keys[r.Key]
	}
	if n > 1 {
		c.breach(AtMostOnce, at, r, fmt.Sprintf("run %d, on %s", n, runner))
	}
}

// Told tells what the caller of a request was told, with the answer's body.
func (c *Requests) Told(at time.Duration, r Request, what Told, body string) {
	if c.told[r.Number] {
		c.breach(WholeAnswer, at, r, "told twice")
	}
	c.told[r.Number] = true
	switch what {
	case ToldAnswer:
		c.Answered++
		if body != r.Body() {
			c.breach(WholeAnswer, at, r, "got the answer "+body)
		}
	case ToldNotRun:
		c.NotRun++
		c.notRun[r.Number] = true
		if c.ran[r.Number] > 0 {
			c.breach(NotRun, at, r, "had run when its caller was told that it did not")
		}
	case ToldUnknown:
		c.Unknown++
	}
}

// CutOff tells that a planned stop ended a request in flight.
func (c *Requests) CutOff(at time.Duration, runner string, r Request) {
	c.breach(PlannedStop, at, r, runner+" was stopped with the request in flight")
}

func (c *Requests) breach(p Promise, at time.Duration, r Request, detail string) {
	c.Breaches = append(c.Breaches, Breach{p, at, r.Body(), detail})
}
