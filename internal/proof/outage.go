package proof

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// outage is one cell of the table of docs/design/ownership.md.
type outage struct {
	name  string
	lasts time.Duration
	begin func(w *World, leader *process, until time.Duration)
}

// Sizes and times of the outages measured.
const (
	outageAt      = 60 * time.Second
	outageWorkers = 16
	outageTasks   = 64
	outageSeeds   = 9
	probeEvery    = 250 * time.Millisecond
	outageSettle  = 3 * time.Minute
)

var outages = []outage{
	{"none", time.Minute, func(*World, *process, time.Duration) {}},
	{"entry host killed", 5 * time.Minute, func(_ *World, p *process, _ time.Duration) { p.kill() }},
	{"entry host stopped as planned", 5 * time.Minute, func(_ *World, p *process, _ time.Duration) { p.stop() }},
	{"paused past its term", 30 * time.Second, func(w *World, p *process, until time.Duration) {
		p.pause()
		w.at(until, p.resume)
	}},
	{"cut from log only", 5 * time.Minute, func(w *World, p *process, until time.Duration) { w.cutBoth(p.host, platformHost, until) }},
	{"cut from peers only", 5 * time.Minute, func(w *World, p *process, until time.Duration) {
		for _, o := range w.processes {
			w.cutBoth(p.host, o.host, until)
		}
	}},
	{"cut from workers only", 5 * time.Minute, func(w *World, p *process, until time.Duration) {
		for _, h := range w.hosts[p.domain] {
			w.cutBoth(p.host, h.Address, until)
		}
	}},
	{"whole domain cut", 5 * time.Minute, func(w *World, _ *process, until time.Duration) {
		for _, p := range w.processes {
			w.cutBoth(p.host, platformHost, until)
		}
	}},
	{"3 of 16 workers cut", 5 * time.Minute, cutWorkers(3)},
	{"7 of 16 workers cut", 5 * time.Minute, cutWorkers(7)},
	{"8 of 16 workers cut", 5 * time.Minute, cutWorkers(8)},
	{"log out for an hour", time.Hour, func(w *World, _ *process, until time.Duration) { w.log.down = until }},
	{"log out and one host killed", time.Hour, func(w *World, p *process, until time.Duration) {
		w.log.down = until
		w.after(30*time.Second, p.kill)
	}},
}

// cutWorkers cuts some workers from every scheduler.
func cutWorkers(n int) func(*World, *process, time.Duration) {
	return func(w *World, _ *process, until time.Duration) {
		for _, p := range w.processes {
			for _, m := range w.machines[:n] {
				w.cutBoth(p.host, m.Name, until)
			}
		}
	}
}

// stop ends the process as planned: the core gives up what it owns.
func (p *process) stop() {
	p.step(scheduler.Leave{})
	p.later(time.Second, p.kill)
}

// figures is what one outage came to.
type figures struct {
	// idle is the longest time without a start while tasks waited for one.
	idle time.Duration
	// again is how long the tasks of a worker that restarted with the outage were away.
	again time.Duration
	// fewest is the least number of tasks that ran at once, with no probe.
	fewest, breaches, starts int
}

// measure plays one outage; with a probe tasks end all the time.
func measure(o outage, seed uint64, probe bool) figures {
	w := NewWorld(seed, Site{
		Domains: 1, Schedulers: 2, Workers: outageWorkers, Timing: ownership.DefaultTiming(),
		Capacity: resource.Vector{MilliCPU: 32000, MemoryMiB: 131072},
		Link:     link{delay: 500 * time.Microsecond, jitter: 500 * time.Microsecond},
	})
	svc := configuration.Workload{
		Name: "svc", Kind: configuration.Service, Count: outageTasks, Size: resource.Vector{MilliCPU: 4000, MemoryMiB: 4096},
		Homes: []configuration.Home{{Domain: "d1", Count: outageTasks}},
	}
	w.Append(configuration.Record{ID: "svc", Ops: []configuration.Op{{Workload: &svc}}})
	if probe {
		w.every(outageAt-10*time.Second, probeEvery, w.endOne)
	}
	f := figures{fewest: outageTasks}
	w.every(outageAt, time.Second, func() {
		w.sweepAll()
		f.fewest = min(f.fewest, w.Tasks.Running())
	})
	end := outageAt + o.lasts + outageSettle
	var lost []string
	w.at(outageAt+w.upTo(ownership.DefaultTiming().Renew), func() {
		m := pick(w, w.machines)
		for _, t := range m.Live() {
			lost = append(lost, t.Task)
		}
		m.Restart()
		clear(w.firstStart)
		from := w.now
		if l := w.leader("d1"); l != nil {
			o.begin(w, l, from+o.lasts)
		}
	})
	w.Run(outageAt)
	before := len(w.starts)
	w.Run(end)
	f.breaches, f.starts = len(w.Tasks.Breaches), len(w.starts)-before
	last := outageAt
	for _, at := range w.starts[before:] {
		f.idle, last = max(f.idle, at-last), at
	}
	f.idle = max(f.idle, end-last)
	f.again = w.restored(lost) - outageAt
	return f
}

// restored returns when the last of the tasks first started after the outage began.
func (w *World) restored(tasks []string) time.Duration {
	last := time.Duration(0)
	for _, t := range tasks {
		at, ok := w.firstStart[t]
		if !ok {
			return w.now
		}
		last = max(last, at)
	}
	return last
}

// endOne ends the task that has run longest.
func (w *World) endOne() {
	var oldest *fakeworker.Task
	var on *machine
	for _, m := range w.machines {
		m.Sweep()
		for _, t := range m.Live() {
			if oldest == nil || w.lastStart[t.Task] < w.lastStart[oldest.Task] {
				oldest, on = t, m
			}
		}
	}
	if oldest != nil {
		on.End(oldest, scheduler.Stopped)
	}
}

func (w *World) every(from, interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		w.after(interval, again)
	}
	w.at(from, again)
}

// measureAll plays one outage with each seed.
func measureAll(o outage) []figures {
	list := make([]figures, outageSeeds)
	var wg sync.WaitGroup
	for seed := range list {
		wg.Go(func() {
			list[seed] = measure(o, uint64(seed), true)
			list[seed].fewest = measure(o, uint64(seed), false).fewest
		})
	}
	wg.Wait()
	return list
}

// Outages measures every outage and prints the median and the worst figure.
func Outages(out io.Writer) {
	fmt.Fprintln(out, "| outage | fewest of 64 tasks running | starts | longest time without a start, s | worker's tasks back after, s | breaches |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, o := range outages {
		var idle, again []time.Duration
		var fewest []int
		breaches, starts := 0, 0
		for _, f := range measureAll(o) {
			idle, again, fewest = append(idle, f.idle), append(again, f.again), append(fewest, f.fewest)
			breaches += f.breaches
			starts += f.starts
		}
		slices.Sort(fewest)
		fmt.Fprintf(out, "| %s | %d (%d) | %d | %s | %s | %d |\n", o.name, fewest[outageSeeds/2], fewest[0],
			starts/outageSeeds, seconds(idle), seconds(again), breaches)
	}
}

// seconds writes the median and, in brackets, the largest of an odd number of times.
func seconds(list []time.Duration) string {
	slices.Sort(list)
	return fmt.Sprintf("%.1f (%.1f)", list[len(list)/2].Seconds(), list[len(list)-1].Seconds())
}
