package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
)

// steady measures the core's time for a kind of event while tasksPerWorker
// tasks run on each worker.
func steady(kind fakeworker.Kind) func(int) (float64, error) {
	return func(workers int) (float64, error) {
		c, err := filled(workers, workers*tasksPerWorker)
		if err != nil {
			return 0, err
		}
		clear(c.spent)
		c.Run(10 * time.Second)
		return c.spent[kind].perCall(), nil
	}
}

func filled(workers, tasks int) (*cell, error) {
	c := newCell(workers, workload("s", configuration.Service, tasks))
	_, err := c.settle(tasks, time.Minute)
	return c, err
}

// placing measures the time from a declaration of 100 tasks until their starts
// are sent, for each task, in a cell that is two thirds full.
func placing(workers int) (float64, error) {
	const batch = 100
	c, err := filled(workers, workers*tasksPerWorker*2/3)
	if err != nil {
		return 0, err
	}
	clear(c.spent)
	c.Declare(workload("b", configuration.Batch, batch))
	if _, err := c.settle(workers*tasksPerWorker*2/3+batch, time.Minute); err != nil {
		return 0, err
	}
	total := c.spent[fakeworker.Log].time + c.spent[fakeworker.Started].time
	return float64(total.Nanoseconds()) / 1000 / batch, nil
}

func tickByTasks(tasks int) (float64, error) {
	c, err := filled(max(domainWorkers, tasks/tasksPerWorker+1), tasks)
	if err != nil {
		return 0, err
	}
	clear(c.spent)
	c.Run(5 * time.Second)
	return c.spent[fakeworker.Tick].perCall(), nil
}

// coreOfTasks returns a core that has placed the tasks, coreOfWorkers one that
// has none; what its workers take does not count.
func coreOfTasks(tasks int) (any, error) {
	c, err := filled(tasks/tasksPerWorker+1, tasks)
	if err != nil {
		return nil, err
	}
	return c.Core, nil
}

func coreOfWorkers(workers int) (any, error) { return newCell(workers).Core, nil }

// heapOf measures the live heap that build's result takes, in KiB.
func heapOf(build func(int) (any, error)) func(int) (float64, error) {
	return func(n int) (float64, error) {
		before := liveHeap()
		v, err := build(n)
		after := liveHeap()
		runtime.KeepAlive(v)
		return (after - before) / 1024, err
	}
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// catalogOf returns how to make a catalog by n records of one operation each.
func catalogOf(op func(i int) configuration.Op) func(int) (any, error) {
	return func(n int) (any, error) {
		cat := configuration.NewCatalog()
		for i := range n {
			cat.Apply(int64(i), configuration.Record{ID: fmt.Sprintf("change-%05d", i), Actor: "operator", Ops: []configuration.Op{op(i)}})
		}
		return cat, nil
	}
}

// The catalogs that are measured: of workloads, of teams, of failure domains of
// the target's size, and of changes of one team.
var (
	catalogOfWorkloads = catalogOf(func(i int) configuration.Op {
		return workload(fmt.Sprintf("workload-%05d", i), configuration.Batch, 4)
	})
	catalogOfTeams = catalogOf(func(i int) configuration.Op {
		return configuration.Op{Team: &configuration.Team{Name: fmt.Sprintf("team-%03d", i), Weight: 1, Quota: workerSize}}
	})
	catalogOfDomains = catalogOf(func(i int) configuration.Op {
		d := &configuration.Domain{Name: fmt.Sprintf("domain-%02d", i), Region: "region", Entries: []string{"entry-1", "entry-2", "entry-3"}}
		for w := range domainWorkers {
			d.Workers = append(d.Workers, fmt.Sprintf("%s-worker-%04d", d.Name, w))
		}
		return configuration.Op{Domain: d}
	})
	catalogOfChanges = catalogOf(func(i int) configuration.Op {
		return configuration.Op{Team: &configuration.Team{Name: "team-0", Weight: int64(1 + i%9)}}
	})
)
