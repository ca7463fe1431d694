package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// steady measures the core's time for a kind of event while tasksPerWorker
// tasks run on each worker.
func steady(kind string) func(int) (float64, error) {
	return func(workers int) (float64, error) {
		c, err := filled(workers, workers*tasksPerWorker)
		if err != nil {
			return 0, err
		}
		clear(c.spent)
		c.run(10 * time.Second)
		return c.spent[kind].perCall(), nil
	}
}

func filled(workers, tasks int) (*cell, error) {
	c, err := newCell(workers, workload("s", configuration.Service, tasks))
	if err != nil {
		return nil, err
	}
	_, err = c.settle(tasks, time.Minute)
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
	data, err := configuration.Encode(configuration.Record{ID: "more", Ops: []configuration.Op{workload("b", configuration.Batch, batch)}})
	if err != nil {
		return 0, err
	}
	clear(c.spent)
	c.step("log", scheduler.LogRead{Records: []configuration.Numbered{{Offset: 1, Data: data}}})
	if _, err := c.settle(workers*tasksPerWorker*2/3+batch, time.Minute); err != nil {
		return 0, err
	}
	total := c.spent["log"].time + c.spent["started"].time
	return float64(total.Nanoseconds()) / 1000 / batch, nil
}

func tickByTasks(tasks int) (float64, error) {
	c, err := filled(max(domainWorkers, tasks/tasksPerWorker+1), tasks)
	if err != nil {
		return 0, err
	}
	clear(c.spent)
	c.run(5 * time.Second)
	return c.spent["tick"].perCall(), nil
}

func placedTasks(tasks int) (any, error) { return filled(tasks/tasksPerWorker+1, tasks) }

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

func catalogOfWorkloads(n int) (any, error) {
	cat := configuration.NewCatalog()
	for i := range n {
		op := workload(fmt.Sprintf("workload-%05d", i), configuration.Batch, 4)
		cat.Apply(int64(i), configuration.Record{ID: fmt.Sprintf("change-%05d", i), Actor: "operator", Ops: []configuration.Op{op}})
	}
	return cat, nil
}

func catalogOfTeams(n int) (any, error) {
	cat := configuration.NewCatalog()
	for i := range n {
		op := configuration.Op{Team: &configuration.Team{Name: fmt.Sprintf("team-%03d", i), Weight: 1, Quota: seatSize}}
		cat.Apply(int64(i), configuration.Record{ID: fmt.Sprintf("change-%03d", i), Actor: "operator", Ops: []configuration.Op{op}})
	}
	return cat, nil
}

// catalogOfDomains holds n failure domains of the target's size.
func catalogOfDomains(n int) (any, error) {
	cat := configuration.NewCatalog()
	for i := range n {
		d := &configuration.Domain{Name: fmt.Sprintf("domain-%02d", i), Region: "region", Entries: []string{"entry-1", "entry-2", "entry-3"}}
		for w := range domainWorkers {
			d.Workers = append(d.Workers, fmt.Sprintf("%s-worker-%04d", d.Name, w))
		}
		cat.Apply(int64(i), configuration.Record{ID: d.Name, Actor: "operator", Ops: []configuration.Op{{Domain: d}}})
	}
	return cat, nil
}

// catalogOfChanges holds one team that was changed n times.
func catalogOfChanges(n int) (any, error) {
	cat := configuration.NewCatalog()
	for i := range n {
		op := configuration.Op{Team: &configuration.Team{Name: "team-0", Weight: int64(1 + i%9)}}
		cat.Apply(int64(i), configuration.Record{ID: fmt.Sprintf("change-%05d", i), Actor: "operator", Ops: []configuration.Op{op}})
	}
	return cat, nil
}
