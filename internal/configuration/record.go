// Package configuration holds what operators have declared. The platform's log
// is the truth: a Catalog is rebuilt by applying the log's records in offset
// order, and two hosts that applied the same offsets hold equal catalogs.
package configuration

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Record is one entry of the log. It is applied whole or not at all.
type Record struct {
	// ID is chosen by whoever appends the record; a record whose ID was
	// applied before has no effect.
	ID string `json:"id"`
	// Actor is the operator or host that made the change.
	Actor string `json:"actor"`
	// Expect lists the versions that must be current for the record to apply.
	Expect []Expectation `json:"expect,omitempty"`
	Ops    []Op          `json:"ops,omitempty"`
	// Ended reports tasks of finite work that ended.
	Ended []Ended `json:"ended,omitempty"`
	// Snapshot carries the state before the record, for hosts that start after
	// older records are gone. Hosts that follow the log already pass over it.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Expectation names an object and the version that the author saw.
type Expectation struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the offset of the object's last change, or Absent.
	Version int64 `json:"version"`
}

// Absent is the version of an object that isn't declared.
const Absent int64 = -1

// Kind is a kind of declared object.
type Kind string

// The kinds of objects.
const (
	KindDomain   Kind = "domain"
	KindTeam     Kind = "team"
	KindWorkload Kind = "workload"
	KindHost     Kind = "host"
)

// Op is one operation; exactly one field is set.
type Op struct {
	Domain   *Domain   `json:"domain,omitempty"`
	Team     *Team     `json:"team,omitempty"`
	Workload *Workload `json:"workload,omitempty"`
	Drain    *Drain    `json:"drain,omitempty"`
	Remove   *Remove   `json:"remove,omitempty"`
	Cancel   *Cancel   `json:"cancel,omitempty"`
}

// Domain declares a failure domain: its workers and its entry hosts. A worker
// keeps its name when the machine behind it is replaced.
type Domain struct {
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Workers []string `json:"workers"`
	Entries []string `json:"entries"`
}

// Team declares a team with its quota and its weight in fair shares.
type Team struct {
	Name string `json:"name"`
	// Quota bounds the resources that the team's tasks hold at once; a zero
	// amount is no bound.
	Quota resource.Vector `json:"quota,omitzero"`
	// Weight is the team's fair share relative to others; at least 1.
	Weight int64 `json:"weight,omitempty"`
}

// WorkloadKind tells services, batch work and all-at-once jobs apart.
type WorkloadKind string

// The kinds of workloads.
const (
	Service WorkloadKind = "service"
	Batch   WorkloadKind = "batch"
	Gang    WorkloadKind = "gang"
)

// Policy is a placement policy.
type Policy string

// The policies.
const (
	Fast    Policy = "fast"
	Thrifty Policy = "thrifty"
	Careful Policy = "careful"
)

// Urgency orders work that waits.
type Urgency string

// The urgencies.
const (
	Low    Urgency = "low"
	Normal Urgency = "normal"
	Urgent Urgency = "urgent"
)

// Workload declares a service, batch work or an all-at-once job.
type Workload struct {
	Name string       `json:"name"`
	Kind WorkloadKind `json:"kind"`
	Team string       `json:"team"`
	// Count is the number of tasks; for a service, of replicas.
	Count int `json:"count"`
	// Size is what one task takes, as declared.
	Size    resource.Vector `json:"size"`
	Policy  Policy          `json:"policy,omitempty"`
	Urgency Urgency         `json:"urgency,omitempty"`
	// RunMillis is the declared run time of a task in milliseconds; 0 for services.
	RunMillis int64 `json:"runMillis,omitempty"`
	// Spread asks for tasks on different racks before sharing one.
	Spread bool `json:"spread,omitempty"`
	// Homes divides the tasks over failure domains. A task may be placed in
	// its home only. The counts add up to Count.
	Homes []Home `json:"homes"`
}

// Home is the part of a workload that one failure domain places.
type Home struct {
	Domain string `json:"domain"`
	Count  int    `json:"count"`
}

// Drain takes a worker or entry host out of use, or returns it.
type Drain struct {
	Host   string `json:"host"`
	Return bool   `json:"return,omitempty"`
}

// Remove deletes a declared object.
type Remove struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Cancel ends the listed workloads.
type Cancel struct {
	Workloads []string `json:"workloads"`
}

// Ended is the end of one task of finite work.
type Ended struct {
	Task   string `json:"task"`
	Failed bool   `json:"failed,omitempty"`
}

// ErrMalformed marks a record that can't be decoded.
var ErrMalformed = errors.New("malformed record")

// Encode writes r in the log's form.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.WithStack(err)
}

// Decode reads a record from the log's form. Its error wraps ErrMalformed.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if err := r.validate(); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return r, nil
}
