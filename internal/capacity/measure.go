package capacity

import (
	"runtime"

	"github.com/pkg/errors"
)

// The names of the measured quantities.
const (
	StepTick       = "core: a tick"
	StepReply      = "core: a worker's reply"
	StepStart      = "core: placing a task"
	TickTasks      = "core: a tick, by tasks"
	HeapWorkers    = "heap: workers"
	HeapTasks      = "heap: tasks"
	HeapWorkloads  = "heap: workloads"
	HeapTeams      = "heap: teams"
	WireRenewal    = "wire: a renewal, list unchanged"
	WireList       = "wire: a renewal with its list"
	WireStarts     = "wire: starts in one write"
	WireHeartbeat  = "wire: a heartbeat with records"
	WireSync       = "wire: a directory sync"
	CallTime       = "processor: a call, both ends"
	RecordOps      = "log: a record of declarations"
	RecordEnded    = "log: a record of ended tasks"
	SnapshotWork   = "log: a snapshot, by workloads"
	SnapshotTeams  = "log: a snapshot, by teams"
	SnapshotSeats  = "log: a snapshot, by domains"
	HeapChanges    = "heap: configuration changes"
	ApplyWorkloads = "processor: applying a record, by workloads"
	InForce        = "time: a change in force at all hosts"
)

// measurement makes one quantity's points.
type measurement struct {
	name, of, unit string
	sizes          []int
	at             func(n int) (float64, error)
}

// tasksPerWorker is the target's mean, rounded.
const tasksPerWorker = 15

// domainWorkers and domainTasks are a failure domain's share of the target.
const (
	domainWorkers = 138
	domainTasks   = 2125
)

// Measure measures every quantity. Progress is told to report.
func Measure(report func(Slope)) ([]Slope, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var slopes []Slope
	for _, m := range measurements() {
		var points []Point
		for _, n := range m.sizes {
			y, err := m.at(n)
			if err != nil {
				return nil, errors.Wrapf(err, "%s at %d", m.name, n)
			}
			points = append(points, Point{float64(n), y})
		}
		s := fit(m.name, m.of, m.unit, points)
		report(s)
		slopes = append(slopes, s)
	}
	return slopes, nil
}

func measurements() []measurement {
	workers := []int{35, 70, 138, 276, 550, 1100}
	tasks := []int{525, 1050, 2125, 4250, 8500, 17000}
	small := []int{1, 4, 16, 64}
	return []measurement{
		{StepTick, "workers", "us", workers, steady("tick")},
		{StepReply, "workers", "us", workers, steady("reply")},
		{StepStart, "workers", "us", workers, placing},
		{TickTasks, "tasks", "us", tasks, tickByTasks},
		{HeapWorkers, "workers", "KiB", workers, heapOf(func(n int) (any, error) { return newCell(n) })},
		{HeapTasks, "tasks", "KiB", tasks, heapOf(placedTasks)},
		{HeapWorkloads, "workloads", "KiB", []int{600, 1200, 2400, 4800, 9700}, heapOf(catalogOfWorkloads)},
		{HeapTeams, "teams", "KiB", []int{20, 40, 80, 160, 350}, heapOf(catalogOfTeams)},
		{WireRenewal, "tasks on the worker", "B", small, wireRenewal(false)},
		{WireList, "tasks on the worker", "B", small, wireRenewal(true)},
		{WireStarts, "starts", "B", small, wireStarts},
		{WireHeartbeat, "records", "B", small, wireHeartbeat},
		{WireSync, "endpoints", "B", []int{16, 64, 256, 1024}, wireSync},
		{CallTime, "tasks on the worker", "us", small, callTime},
		{RecordOps, "declarations", "B", small, recordOps},
		{RecordEnded, "tasks", "B", small, recordEnded},
		{SnapshotWork, "workloads", "B", []int{600, 1200, 2400, 4800, 9700}, snapshotOf(catalogOfWorkloads)},
		{SnapshotTeams, "teams", "B", []int{20, 40, 80, 160, 350}, snapshotOf(catalogOfTeams)},
		{SnapshotSeats, "domains of 138 workers", "B", []int{2, 4, 8, 16, 32}, snapshotOf(catalogOfDomains)},
		{HeapChanges, "changes of one team", "KiB", []int{250, 500, 1000, 2000, 4000, 8000}, heapOf(catalogOfChanges)},
		{ApplyWorkloads, "workloads", "us", []int{600, 1200, 2400, 4800, 9700}, applying},
		{InForce, "hosts", "ms", []int{3, 6, 12, 24, 48}, inForce},
	}
}
