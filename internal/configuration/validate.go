package configuration

import (
	"strings"

	"github.com/pkg/errors"
)

// Bounds of a record's parts.
const (
	maxTasks = 1_000_000
	maxName  = 256
)

// validate returns what in the record no operator's tool would have written.
// Whether the record fits the catalog is for Apply to say.
func (r Record) validate() error {
	if r.ID == "" || len(r.ID) > maxName {
		return errors.New("no id")
	}
	for i, op := range r.Ops {
		if err := op.validate(); err != nil {
			return errors.Wrapf(err, "operation %d", i)
		}
	}
	for _, e := range r.Ended {
		if WorkloadOf(e.Task) == "" {
			return errors.New("ended task without a workload")
		}
	}
	if r.Snapshot == nil {
		return nil
	}
	return r.Snapshot.validate()
}

func (s *Snapshot) validate() error {
	if s.Catalog == nil {
		return errors.New("snapshot without a catalog")
	}
	if s.Catalog.Next < 0 {
		return errors.New("snapshot with a negative offset")
	}
	for name, e := range s.Catalog.Workloads {
		if err := e.Value.validate(); err != nil || name != e.Value.Name {
			return errors.Errorf("snapshot of workload %s", name)
		}
	}
	return nil
}

func (op Op) validate() error {
	set := 0
	for _, there := range []bool{op.Domain != nil, op.Team != nil, op.Workload != nil, op.Drain != nil, op.Remove != nil, op.Cancel != nil} {
		if there {
			set++
		}
	}
	if set != 1 {
		return errors.Errorf("%d fields are set", set)
	}
	switch {
	case op.Domain != nil:
		return validNames(append(append([]string{op.Domain.Name}, op.Domain.Workers...), op.Domain.Entries...)...)
	case op.Team != nil && !op.Team.Quota.Valid():
		return errors.New("negative quota")
	case op.Team != nil:
		return validNames(op.Team.Name)
	case op.Workload != nil:
		return op.Workload.validate()
	case op.Drain != nil:
		return validNames(op.Drain.Host)
	case op.Remove != nil:
		return validNames(op.Remove.Name)
	}
	return validNames(op.Cancel.Workloads...)
}

func (w *Workload) validate() error {
	if w.Kind != Service && w.Kind != Batch && w.Kind != Gang {
		return errors.Errorf("kind %q", w.Kind)
	}
	// A negative count is a fault of the declaration, which Apply refuses.
	sum := max(w.Count, 0)
	for _, h := range w.Homes {
		sum = max(sum, 0) + max(h.Count, 0)
	}
	if w.Count < 0 || w.Count > maxTasks || sum > 2*maxTasks || sum < 0 {
		return errors.New("count out of bounds")
	}
	return validNames(w.Name)
}

// validNames refuses names that are empty, too long, or would be mistaken for
// a task's.
func validNames(names ...string) error {
	for _, n := range names {
		if n == "" || len(n) > maxName || strings.Contains(n, "/") {
			return errors.Errorf("name %.40q", n)
		}
	}
	return nil
}
