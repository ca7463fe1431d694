package fakeworker

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Cell is the core of one domain with workers that answer at once, in virtual
// time. It isn't safe for concurrent use.
type Cell struct {
	Core    *scheduler.Core
	Now     time.Duration
	Workers map[string]*Worker
	Hosts   []scheduler.Host
	// Offset is that of the log's next record.
	Offset int64
	// Tenure holds the records of the domain's tenure partition.
	Tenure Partition
	// Mute workers get no write, and writes to silent ones fail.
	Mute, Silent map[string]bool
	// Written, if set, is told of each write before its worker gets it.
	Written func(scheduler.WriteWorker)
	// Appended, if set, is told of each record that the core wants in the log.
	Appended func(configuration.Record)
	// Around, if set, is called in place of each step of the core, which it calls.
	Around func(kind Kind, step func() []scheduler.Effect) []scheduler.Effect
}

// Kind tells steps of a core apart by what brought them about.
type Kind string

// The kinds. A started step brings the reply to a write that held starts.
const (
	Hosts   Kind = "hosts"
	Log     Kind = "log"
	Tick    Kind = "tick"
	Reply   Kind = "reply"
	Started Kind = "started"
	Failed  Kind = "failed"
	Other   Kind = "other"
)

const (
	// Domain is the name of a cell's domain.
	Domain = "d"
	// ClockAhead is how far the workers' clocks are ahead of the core's.
	ClockAhead = time.Hour
	// TickInterval is the time between ticks.
	TickInterval = 100 * time.Millisecond
)

// NewCell returns a cell of n workers with the records applied. The hooks of
// all its workers but for Now are taken from the given ones.
func NewCell(n, perRack int, capacity func(i int) resource.Vector, h Hooks, ops ...configuration.Op) *Cell {
	c := &Cell{
		Core:    scheduler.New(scheduler.DefaultSettings("h1", "1", Domain)),
		Workers: map[string]*Worker{}, Mute: map[string]bool{}, Silent: map[string]bool{},
	}
	h.Now = func() time.Duration { return c.Now + ClockAhead }
	d := &configuration.Domain{Name: Domain, Region: "r", Entries: []string{"h1"}}
	for i := range n {
		name := fmt.Sprintf("w%04d", i)
		d.Workers = append(d.Workers, name)
		c.Hosts = append(c.Hosts, scheduler.Host{Name: name, Domain: Domain, Rack: fmt.Sprintf("r%03d", i/perRack), Address: name})
		c.Workers[name] = New(name, capacity(i), ClockAhead-time.Minute, ownership.DefaultTiming(), h)
	}
	c.Step(Hosts, scheduler.HostsRead{Hosts: c.Hosts})
	c.Step(Other, c.Tenure.Read(0))
	c.Declare(append([]configuration.Op{{Domain: d}}, ops...)...)
	return c
}

// Declare appends one record to the log and lets the core read it.
func (c *Cell) Declare(ops ...configuration.Op) {
	data, err := configuration.Encode(configuration.Record{ID: fmt.Sprint("r", c.Offset), Ops: ops})
	if err != nil {
		panic(err) // records of tests can be written
	}
	rec := configuration.Numbered{Offset: c.Offset, Data: data}
	c.Offset++
	c.Step(Log, scheduler.LogRead{Records: []configuration.Numbered{rec}})
}

// Step takes one event, and all that follows from it at the same time.
func (c *Cell) Step(kind Kind, ev scheduler.Event) {
	for queue := c.do(kind, ev); len(queue) > 0; queue = queue[1:] {
		switch eff := queue[0].(type) {
		case scheduler.WriteWorker:
			if !c.Mute[eff.Worker] {
				queue = append(queue, c.do(c.write(eff))...)
			}
		case scheduler.AppendTenure:
			if ev := c.Tenure.Append(eff); eff.End >= 0 {
				queue = append(queue, c.do(Other, ev)...)
			}
		case scheduler.AppendRecord:
			if c.Appended != nil {
				c.Appended(eff.Record)
			}
		}
	}
}

func (c *Cell) do(kind Kind, ev scheduler.Event) []scheduler.Effect {
	step := func() []scheduler.Effect { return c.Core.Step(c.Now, ev) }
	if c.Around == nil {
		return step()
	}
	return c.Around(kind, step)
}

// write carries a write to its worker.
func (c *Cell) write(w scheduler.WriteWorker) (Kind, scheduler.Event) {
	if c.Written != nil {
		c.Written(w)
	}
	switch {
	case c.Silent[w.Worker]:
		return Failed, scheduler.WriteFailed{Worker: w.Worker, Write: w.Write}
	case len(w.Starts) > 0:
		return Started, c.Workers[w.Worker].Write(w)
	}
	return Reply, c.Workers[w.Worker].Write(w)
}

// Run lets virtual time pass in ticks.
func (c *Cell) Run(d time.Duration) {
	for end := c.Now + d; c.Now < end; {
		c.Now += TickInterval
		if !c.Core.IsLeader() {
			c.Step(Other, c.Tenure.Read(0))
		}
		c.Step(Tick, scheduler.Tick{})
	}
}

// Running returns the workers of the running tasks by task, those of silent
// workers left out.
func (c *Cell) Running() map[string]string {
	m := map[string]string{}
	for name, w := range c.Workers {
		for _, t := range w.Tasks {
			if t.State == scheduler.Running && !c.Silent[name] {
				m[t.Task] = name
			}
		}
	}
	return m
}
