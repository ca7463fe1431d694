// Package checker judges the promises from the outside: by what workers,
// upstreams, callers and operators saw. It never reads a core's own books.
package checker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Promise numbers the promises of the brief in its order.
type Promise int

// The promises.
const (
	Capacity Promise = iota + 1
	OnePlace
	WholeAnswer
	NotRun
	AtMostOnce
	Leaving
	PlannedStop
	Configuration
)

// Promises lists all promises in order.
var Promises = []Promise{Capacity, OnePlace, WholeAnswer, NotRun, AtMostOnce, Leaving, PlannedStop, Configuration}

var names = map[Promise]string{
	Capacity: "capacity", OnePlace: "one-place", WholeAnswer: "whole-answer", NotRun: "not-run",
	AtMostOnce: "at-most-once", Leaving: "leaving", PlannedStop: "planned-stop", Configuration: "configuration",
}

// String returns the promise's short name.
func (p Promise) String() string { return names[p] }

// Breach is a promise that was broken, as seen from the outside.
type Breach struct {
	Promise Promise
	At      time.Duration
	Subject string
	Detail  string
}

// String writes the breach on one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s at %s: %s: %s", b.Promise, b.At, b.Subject, b.Detail)
}

// run is one attempt that runs on a machine.
type run struct {
	task    string
	machine string
	size    resource.Vector
}

// Tasks judges what workers ran. Times are true times, which no process knows.
type Tasks struct {
	Breaches []Breach
	capacity map[string]resource.Vector
	running  map[string]map[uint64]run
	// byTask holds the machines that run each task now, by attempt.
	byTask map[string]map[uint64]string
	// leaving holds when a worker's leaving was to be known everywhere.
	leaving map[string]time.Duration
}

// NewTasks returns a checker that has seen nothing.
func NewTasks() *Tasks {
	return &Tasks{
		capacity: map[string]resource.Vector{},
		running:  map[string]map[uint64]run{},
		byTask:   map[string]map[uint64]string{},
		leaving:  map[string]time.Duration{},
	}
}

// Machine tells what a machine has.
func (t *Tasks) Machine(machine string, capacity resource.Vector) { t.capacity[machine] = capacity }

// Leaving tells from when on the machine may get no new work; a negative time takes it back.
func (t *Tasks) Leaving(machine string, from time.Duration) {
	if from < 0 {
		delete(t.leaving, machine)
		return
	}
	t.leaving[machine] = from
}

// Unheard tells that news of leaving may not arrive now: what is not known yet
// need not be known before the given time.
func (t *Tasks) Unheard(now, until time.Duration) {
	for machine, from := range t.leaving {
		if from > now {
			t.leaving[machine] = max(from, until)
		}
	}
}

// Started tells that an attempt began to run.
func (t *Tasks) Started(at time.Duration, machine, task string, attempt uint64, size resource.Vector) {
	if t.running[machine] == nil {
		t.running[machine] = map[uint64]run{}
	}
	t.running[machine][attempt] = run{task, machine, size}
	if t.byTask[task] == nil {
		t.byTask[task] = map[uint64]string{}
	}
	for _, other := range t.byTask[task] {
		t.breach(OnePlace, at, task, fmt.Sprintf("started on %s while on %s", machine, other))
	}
	t.byTask[task][attempt] = machine
	var sum resource.Vector
	for _, r := range t.running[machine] {
		sum = sum.Add(r.size)
	}
	if !sum.Fits(t.capacity[machine]) {
		t.breach(Capacity, at, machine, fmt.Sprintf("holds %s of %s", sum, t.capacity[machine]))
	}
	if from, ok := t.leaving[machine]; ok && at >= from {
		t.breach(Leaving, at, machine, fmt.Sprintf("got %s; leaving was known from %s on", task, from))
	}
}

// Served tells that a runner on the machine got a request.
func (t *Tasks) Served(at time.Duration, machine, runner string) {
	if from, ok := t.leaving[machine]; ok && at >= from+GrantLease {
		t.breach(Leaving, at, runner, fmt.Sprintf("got a request; leaving was known from %s on", from))
	}
}

// GrantLease is how long an entry that hears nothing goes on filling the
// slots that it was granted.
const GrantLease = 10 * time.Second

// Ended tells that an attempt runs no longer.
func (t *Tasks) Ended(machine string, attempt uint64) {
	r, ok := t.running[machine][attempt]
	if !ok {
		return
	}
	delete(t.running[machine], attempt)
	delete(t.byTask[r.task], attempt)
}

// Lost tells that a machine and all that ran on it are gone.
func (t *Tasks) Lost(machine string) {
	for a := range t.running[machine] {
		t.Ended(machine, a)
	}
}

// Running returns how many tasks run now.
func (t *Tasks) Running() int {
	n := 0
	for _, attempts := range t.byTask {
		n += min(len(attempts), 1)
	}
	return n
}

// Has reports whether the task runs now.
func (t *Tasks) Has(task string) bool { return len(t.byTask[task]) > 0 }

// On returns the machines that run the task now, in order.
func (t *Tasks) On(task string) []string { return slices.Sorted(maps.Values(t.byTask[task])) }

func (t *Tasks) breach(p Promise, at time.Duration, subject, detail string) {
	t.Breaches = append(t.Breaches, Breach{p, at, subject, detail})
}

// accepted is a change that an operator was told is accepted.
type accepted struct {
	offset int64
	set    Set
	at     time.Duration
}

// Set is the value that a change gives to an object.
type Set struct{ Object, Value string }

// Changes judges configuration by what operators were told and then read.
type Changes struct {
	Breaches []Breach
	// accepted is kept by offset.
	accepted []accepted
	verdicts map[string]string
	position map[string]int64
}

// NewChanges returns a checker that has seen nothing.
func NewChanges() *Changes {
	return &Changes{verdicts: map[string]string{}, position: map[string]int64{}}
}

// Verdict tells what a host answered about a change: every host must give the
// same answer at all times. An accepted change sets the given objects.
func (c *Changes) Verdict(at time.Duration, host, id string, ok bool, offset int64, sets []Set) {
	verdict := fmt.Sprintf("accepted=%t offset=%d", ok, offset)
	if prior, known := c.verdicts[id]; known {
		if prior != verdict {
			c.breach(at, host, fmt.Sprintf("change %s: %s, before: %s", id, verdict, prior))
		}
		return
	}
	c.verdicts[id] = verdict
	for _, s := range sets {
		if ok {
			c.accepted = append(c.accepted, accepted{offset, s, at})
		}
	}
	slices.SortStableFunc(c.accepted, func(a, b accepted) int { return int(a.offset - b.offset) })
}

// Read tells what an operator read of an object from a process that has
// applied the log up to position. Where due is set, everything that was
// accepted before that time has to show.
func (c *Changes) Read(at time.Duration, process string, position int64, object, value string, due time.Duration) {
	if position < c.position[process] {
		c.breach(at, process, fmt.Sprintf("went back from offset %d to %d", c.position[process], position))
	}
	c.position[process] = position
	want := ""
	for _, a := range c.accepted {
		if a.set.Object != object {
			continue
		}
		if a.offset < position {
			want = a.set.Value
		} else if a.at < due {
			c.breach(at, process, fmt.Sprintf("%s: accepted at %s, not in force", object, a.at))
			return
		}
	}
	if want != "" && want != value {
		c.breach(at, process, fmt.Sprintf("%s is %s; accepted was %s", object, value, want))
	}
}

func (c *Changes) breach(at time.Duration, subject, detail string) {
	c.Breaches = append(c.Breaches, Breach{Configuration, at, subject, detail})
}
