package capacity

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
)

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

// Incidents replays the events of the target's days through one domain's core:
// 138 workers with 2,125 tasks, racks of 20.
func Incidents() ([]Incident, error) {
	z := Target()
	return each([]play{
		{"a worker is restarted or replaced", z.ReplacedPerDay, 1, false},
		{"a worker fails and stays silent", z.FailuresPerDay, 1, true},
		{"a rack of 20 fails and stays silent", 1.0 / 45, 20, true},
	})
}

type play struct {
	name    string
	perDay  float64
	workers int
	silent  bool
}

func each(plays []play) ([]Incident, error) {
	var list []Incident
	for _, p := range plays {
		in, err := p.run()
		if err != nil {
			return nil, err
		}
		list = append(list, in)
	}
	return list, nil
}

// quiet is how long the cell runs undisturbed to learn its ordinary traffic.
const quiet = 20 * time.Second

func (p play) run() (Incident, error) {
	c, err := newCell(domainWorkers, workload("s", configuration.Service, domainTasks))
	if err != nil {
		return Incident{}, err
	}
	if _, err := c.settle(domainTasks, time.Minute); err != nil {
		return Incident{}, err
	}
	c.sent = traffic{}
	c.run(quiet)
	ordinary := c.sent
	for i := range p.workers {
		w := c.workers[fmt.Sprintf("worker-%04d", i)]
		w.silent = p.silent
		if !p.silent {
			w.restart(c.now)
		}
	}
	c.sent = traffic{}
	in := Incident{Name: p.name, PerDay: p.perDay, Tasks: domainTasks - c.running()}
	from := c.now
	for c.running() < domainTasks {
		if c.now-from > 10*time.Minute {
			return in, fmt.Errorf("%s: %d of %d tasks run", p.name, c.running(), domainTasks)
		}
		in.IdleTaskSeconds += float64(domainTasks-c.running()) * tickInterval.Seconds()
		c.run(tickInterval)
	}
	took := c.now - from
	in.Seconds = took.Seconds()
	in.Starts, in.Failed = c.sent.starts, c.sent.failed
	in.Writes = max(0, c.sent.writes-int(float64(ordinary.writes)*took.Seconds()/quiet.Seconds()))
	return in, nil
}
