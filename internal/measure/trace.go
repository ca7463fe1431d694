// Package measure replays a recorded day of work through scheduler cores in
// virtual time, with fake workers, and compares policies, baselines and bounds.
package measure

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Trace is a recorded day of one site.
type Trace struct {
	Site string
	// Length is the time over which work arrives.
	Length  time.Duration
	Workers []Worker
	Jobs    []Job
}

// Worker is one worker of a domain.
type Worker struct {
	Name, Domain, Rack string
	Capacity           resource.Vector
}

// Job is a workload as it arrives, with what only the trace knows of it.
type Job struct {
	At     time.Duration
	Domain string
	Spec   configuration.Workload
	// Run is the true run time of each task; 0 runs to the end.
	Run []time.Duration
	// Use is the true use of a task as a share of its declared size, in percent.
	Use int64
}

// use returns what one task truly uses.
func (j *Job) use() resource.Vector {
	s := j.Spec.Size
	return resource.Vector{MilliCPU: s.MilliCPU * j.Use / 100, MemoryMiB: s.MemoryMiB * j.Use / 100, Accelerators: s.Accelerators}
}

// taken returns what one task takes of its worker: the larger of declared and used.
func (j *Job) taken() resource.Vector { return j.Spec.Size.Max(j.use()) }

// ErrTrace marks a line that can't be read.
var ErrTrace = errors.New("malformed trace")

// Write writes the trace, one line an item:
//
//	site NAME LENGTH
//	worker NAME DOMAIN RACK MILLICPU MIB ACCELERATORS
//	job AT DOMAIN KIND NAME TEAM URGENCY MILLICPU MIB ACCELERATORS DECLARED USE RUN[,RUN]...
//
// with times in milliseconds, the declared run time as DECLARED and USE in
// percent of the declared size. A run time of 0 does not end.
func (t *Trace) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	fmt.Fprintf(b, "site %s %d\n", t.Site, t.Length.Milliseconds())
	for _, k := range t.Workers {
		c := k.Capacity
		fmt.Fprintf(b, "worker %s %s %s %d %d %d\n", k.Name, k.Domain, k.Rack, c.MilliCPU, c.MemoryMiB, c.Accelerators)
	}
	for _, j := range t.Jobs {
		s := j.Spec
		fmt.Fprintf(b, "job %d %s %s %s %s %s %d %d %d %d %d %s\n", j.At.Milliseconds(), j.Domain, s.Kind, s.Name, s.Team, s.Urgency,
			s.Size.MilliCPU, s.Size.MemoryMiB, s.Size.Accelerators, s.RunMillis, j.Use, runs(j.Run))
	}
	return errors.WithStack(b.Flush())
}

func runs(list []time.Duration) string {
	parts := make([]string, 0, len(list))
	for _, d := range list {
		parts = append(parts, fmt.Sprint(d.Milliseconds()))
	}
	return strings.Join(parts, ",")
}

// Read reads what Write wrote. Its errors wrap ErrTrace and name the line.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		if err := t.read(lines.Text()); err != nil {
			return nil, errors.Wrapf(ErrTrace, "line %d: %v", n, err)
		}
	}
	return t, errors.WithStack(lines.Err())
}

func (t *Trace) read(line string) error {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "", "#":
		return nil
	case "site":
		return scan(rest, &t.Site, (*millis)(&t.Length))
	case "worker":
		var k Worker
		c := &k.Capacity
		err := scan(rest, &k.Name, &k.Domain, &k.Rack, &c.MilliCPU, &c.MemoryMiB, &c.Accelerators)
		t.Workers = append(t.Workers, k)
		return err
	case "job":
		var j Job
		var list string
		s := &j.Spec
		err := scan(rest, (*millis)(&j.At), &j.Domain, &s.Kind, &s.Name, &s.Team, &s.Urgency,
			&s.Size.MilliCPU, &s.Size.MemoryMiB, &s.Size.Accelerators, &s.RunMillis, &j.Use, &list)
		if err != nil {
			return err
		}
		for _, part := range strings.Split(list, ",") {
			var d time.Duration
			if err := scan(part, (*millis)(&d)); err != nil {
				return err
			}
			j.Run = append(j.Run, d)
		}
		s.Count = len(j.Run)
		s.Homes = []configuration.Home{{Domain: j.Domain, Count: s.Count}}
		t.Jobs = append(t.Jobs, j)
		return nil
	}
	return errors.Errorf("unknown word %q", word)
}

func scan(text string, to ...any) error {
	_, err := fmt.Sscan(text, to...)
	return err
}

// millis reads a duration from its milliseconds.
type millis time.Duration

// Scan implements fmt.Scanner.
func (m *millis) Scan(state fmt.ScanState, _ rune) error {
	var n int64
	_, err := fmt.Fscan(state, &n)
	*m = millis(time.Duration(n) * time.Millisecond)
	return err
}
