// Package sizing works out what control costs at a given size, from what was measured.
package sizing

import (
	"bytes"
	_ "embed"
	"encoding/json"

	"github.com/pkg/errors"
)

//go:embed measured.json
var measured []byte

// Measured is the file that `make slopes` writes and the calculator reads.
type Measured struct {
	Slopes    []Slope    `json:"slopes"`
	Incidents []Incident `json:"incidents"`
}

// Embedded returns the measurements that the repository holds.
func Embedded() (Measured, error) {
	var m Measured
	return m, errors.WithStack(json.Unmarshal(measured, &m))
}

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured against one variable, with the straight line
// through the points.
type Slope struct {
	Name string `json:"name"`
	// Of is the variable; Unit is the quantity's unit.
	Of     string  `json:"of"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`
	Per    float64 `json:"per"`
	// Residual is the largest distance of a point from the line, relative to
	// the largest value.
	Residual float64 `json:"residual"`
	// Exponent is the power with which the part above Base grows between the
	// two largest points; 1 is linear.
	Exponent float64 `json:"exponent"`
}

// At returns the line's value.
func (s Slope) At(x float64) float64 { return s.Base + s.Per*x }

// Incident is what one event of a day costs a domain's holder of the term.
type Incident struct {
	Name string `json:"name"`
	// PerDay is how often it happens in the whole system.
	PerDay float64 `json:"perDay"`
	Tasks  int     `json:"tasks"`
	// Writes, Starts and Failed count messages above those of a quiet time.
	Writes int `json:"writes"`
	Starts int `json:"starts"`
	Failed int `json:"failed"`
	// Seconds is how long until all tasks run again.
	Seconds float64 `json:"seconds"`
	// IdleTaskSeconds adds up how long each lost task did not run.
	IdleTaskSeconds float64 `json:"idleTaskSeconds"`
}

// The names of the measured quantities.
const (
	StepTick        = "core: a tick"
	StepReply       = "core: a worker's reply"
	StepStart       = "core: placing a task"
	TickTasks       = "core: a tick, by tasks"
	HeapWorkers     = "heap: workers"
	HeapTasks       = "heap: tasks"
	HeapWorkloads   = "heap: workloads"
	HeapTeams       = "heap: teams"
	WireRenewal     = "wire: a renewal, list unchanged"
	WireList        = "wire: a renewal with its list"
	WireStarts      = "wire: starts in one write"
	WireHeartbeat   = "wire: a heartbeat with records"
	WireSync        = "wire: a directory sync"
	CallTime        = "processor: a call, both ends"
	RecordOps       = "log: a record of declarations"
	RecordEnded     = "log: a record of ended tasks"
	SnapshotWork    = "log: a snapshot, by workloads"
	SnapshotTeams   = "log: a snapshot, by teams"
	SnapshotDomains = "log: a snapshot, by domains"
	HeapChanges     = "heap: configuration changes"
	ApplyWorkloads  = "processor: applying a record, by workloads"
	InForce         = "time: a change in force at all hosts"
)

// Sections are the parts of docs/CAPACITY.md that come out of measurements,
// by the name in their markers.
func Sections(m Measured) map[string][]byte {
	var tables, slopes, incidents bytes.Buffer
	Tables(&tables, m, Target())
	SlopeTable(&slopes, m)
	IncidentTable(&incidents, m)
	return map[string][]byte{"tables": tables.Bytes(), "slopes": slopes.Bytes(), "incidents": incidents.Bytes()}
}

// Replace puts the sections between their markers in a page.
func Replace(page []byte, m Measured) ([]byte, error) {
	for name, text := range Sections(m) {
		begin, end := []byte("<!-- begin "+name+" -->\n"), []byte("<!-- end "+name+" -->")
		i, j := bytes.Index(page, begin), bytes.Index(page, end)
		if i < 0 || j < i {
			return nil, errors.Errorf("the page has no section %s", name)
		}
		page = bytes.Join([][]byte{page[:i+len(begin)], page[j:]}, text)
	}
	return page, nil
}
