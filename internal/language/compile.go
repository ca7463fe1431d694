package language

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

// ErrValue marks a value that a declaration can't take.
var ErrValue = errors.New("bad value")

// Operation returns the change that a statement asks for, or nil for a query.
func (s *Statement) Operation() (*configuration.Op, error) {
	switch {
	case s.Domain != nil:
		return s.Domain.operation()
	case s.Team != nil:
		return s.Team.operation()
	case s.Workload != nil:
		return s.Workload.operation()
	case s.Drain != nil:
		return &configuration.Op{Drain: &configuration.Drain{Host: *s.Drain}}, nil
	case s.Return != nil:
		return &configuration.Op{Drain: &configuration.Drain{Host: *s.Return, Return: true}}, nil
	case len(s.Cancel) > 0:
		return &configuration.Op{Cancel: &configuration.Cancel{Workloads: s.Cancel}}, nil
	}
	return nil, nil
}

func (d *Domain) operation() (*configuration.Op, error) {
	out := &configuration.Domain{Name: d.Name, Region: d.Region, Entries: d.Entries}
	for _, w := range d.Workers {
		names, err := expand(w)
		if err != nil {
			return nil, err
		}
		out.Workers = append(out.Workers, names...)
	}
	return &configuration.Op{Domain: out}, nil
}

func (t *Team) operation() (*configuration.Op, error) {
	out := &configuration.Team{Name: t.Name, Weight: 1}
	for _, o := range t.Options {
		var err error
		switch o.Key {
		case "cpu":
			out.Quota.MilliCPU, err = cores(o.Value)
		case "memory":
			out.Quota.MemoryMiB, err = memory(o.Value)
		case "accelerators":
			out.Quota.Accelerators, err = strconv.ParseInt(o.Value, 10, 64)
		case "weight":
			out.Weight, err = strconv.ParseInt(o.Value, 10, 64)
		default:
			err = errors.Wrapf(ErrValue, "a team has no %s", o.Key)
		}
		if err != nil {
			return nil, errors.WithMessagef(err, "%s: %s", o.Pos, o.Key)
		}
	}
	return &configuration.Op{Team: out}, nil
}

func (w *Workload) operation() (*configuration.Op, error) {
	out := &configuration.Workload{Name: w.Name, Kind: configuration.WorkloadKind(w.Kind), Count: 1}
	for _, o := range w.Options {
		if err := o.apply(out); err != nil {
			return nil, errors.WithMessagef(err, "%s: %s", o.Pos, o.Key)
		}
	}
	for _, h := range w.Homes {
		out.Homes = append(out.Homes, configuration.Home{Domain: h.Domain, Count: h.Count})
	}
	return &configuration.Op{Workload: out}, nil
}

func (o *Option) apply(out *configuration.Workload) (err error) {
	switch o.Key {
	case "team":
		out.Team = o.Value
	case "count":
		out.Count, err = strconv.Atoi(o.Value)
	case "cpu":
		out.Size.MilliCPU, err = cores(o.Value)
	case "memory":
		out.Size.MemoryMiB, err = memory(o.Value)
	case "accelerators":
		out.Size.Accelerators, err = strconv.ParseInt(o.Value, 10, 64)
	case "policy":
		out.Policy = configuration.Policy(o.Value)
	case "urgency":
		out.Urgency = configuration.Urgency(o.Value)
	case "run":
		var d time.Duration
		d, err = time.ParseDuration(o.Value)
		out.RunMillis = d.Milliseconds()
	case "spread":
		out.Spread = o.Value == "yes"
	}
	return err
}

func cores(s string) (int64, error) {
	f, err := strconv.ParseFloat(s, 64)
	return int64(f * 1000), err
}

// memory reads an amount such as 512MiB or 8GiB.
func memory(s string) (int64, error) {
	if n, ok := strings.CutSuffix(s, "GiB"); ok {
		v, err := strconv.ParseInt(n, 10, 64)
		return v * 1024, err
	}
	n, ok := strings.CutSuffix(s, "MiB")
	if !ok {
		return 0, errors.Wrapf(ErrValue, "%q: write MiB or GiB", s)
	}
	return strconv.ParseInt(n, 10, 64)
}

var rangePattern = regexp.MustCompile(`^(.*)\[(\d+)-(\d+)\](.*)$`)

// maxRange bounds the names that one range may stand for.
const maxRange = 10000

// expand writes out a range of names such as w-[01-12].
func expand(s string) ([]string, error) {
	m := rangePattern.FindStringSubmatch(s)
	if m == nil {
		return []string{s}, nil
	}
	from, _ := strconv.Atoi(m[2])
	to, _ := strconv.Atoi(m[3])
	if to < from || to-from >= maxRange {
		return nil, errors.Wrapf(ErrValue, "range %s", s)
	}
	var names []string
	for i := from; i <= to; i++ {
		names = append(names, fmt.Sprintf("%s%0*d%s", m[1], len(m[2]), i, m[4]))
	}
	return names, nil
}
