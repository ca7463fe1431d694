package capacity

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/sizing"
)

// Incidents replays the events of the target's days through one domain's core:
// 138 workers with 2,125 tasks, racks of 20.
func Incidents() ([]sizing.Incident, error) {
	z := sizing.Target()
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

func each(plays []play) ([]sizing.Incident, error) {
	var list []sizing.Incident
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

func (p play) run() (sizing.Incident, error) {
	c := newCell(domainWorkers, workload("s", configuration.Service, domainTasks))
	if _, err := c.settle(domainTasks, time.Minute); err != nil {
		return sizing.Incident{}, err
	}
	c.sent = traffic{}
	c.Run(quiet)
	ordinary := c.sent
	for i := range p.workers {
		name := fmt.Sprintf("w%04d", i)
		c.Silent[name] = p.silent
		if !p.silent {
			c.Workers[name].Restart()
		}
	}
	c.sent = traffic{}
	in := sizing.Incident{Name: p.name, PerDay: p.perDay, Tasks: domainTasks - c.running()}
	from := c.Now
	for c.running() < domainTasks {
		if c.Now-from > 10*time.Minute {
			return in, fmt.Errorf("%s: %d of %d tasks run", p.name, c.running(), domainTasks)
		}
		in.IdleTaskSeconds += float64(domainTasks-c.running()) * fakeworker.TickInterval.Seconds()
		c.Run(fakeworker.TickInterval)
	}
	took := c.Now - from
	in.Seconds = took.Seconds()
	in.Starts, in.Failed = c.sent.starts, c.sent.failed
	in.Writes = max(0, c.sent.writes-int(float64(ordinary.writes)*took.Seconds()/quiet.Seconds()))
	return in, nil
}
