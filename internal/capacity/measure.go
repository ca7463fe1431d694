package capacity

import (
	"runtime"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/sizing"
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
func Measure(report func(sizing.Slope)) ([]sizing.Slope, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var slopes []sizing.Slope
	for _, m := range measurements() {
		var points []sizing.Point
		for _, n := range m.sizes {
			y, err := m.at(n)
			if err != nil {
				return nil, errors.Wrapf(err, "%s at %d", m.name, n)
			}
			points = append(points, sizing.Point{X: float64(n), Y: y})
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
		{sizing.StepTick, "workers", "us", workers, steady(fakeworker.Tick)},
		{sizing.StepReply, "workers", "us", workers, steady(fakeworker.Reply)},
		{sizing.StepStart, "workers", "us", workers, placing},
		{sizing.TickTasks, "tasks", "us", tasks, tickByTasks},
		{sizing.HeapWorkers, "workers", "KiB", workers, heapOf(coreOfWorkers)},
		{sizing.HeapTasks, "tasks", "KiB", tasks, heapOf(coreOfTasks)},
		{sizing.HeapWorkloads, "workloads", "KiB", []int{600, 1200, 2400, 4800, 9700}, heapOf(catalogOfWorkloads)},
		{sizing.HeapTeams, "teams", "KiB", []int{20, 40, 80, 160, 350}, heapOf(catalogOfTeams)},
		{sizing.WireRenewal, "tasks on the worker", "B", small, wireRenewal(false)},
		{sizing.WireList, "tasks on the worker", "B", small, wireRenewal(true)},
		{sizing.WireStarts, "starts", "B", small, wireStarts},
		{sizing.WireHeartbeat, "records", "B", small, wireHeartbeat},
		{sizing.WireSync, "endpoints", "B", []int{16, 64, 256, 1024}, wireSync},
		{sizing.CallTime, "tasks on the worker", "us", small, callTime},
		{sizing.RecordOps, "declarations", "B", small, recordOps},
		{sizing.RecordEnded, "tasks", "B", small, recordEnded},
		{sizing.SnapshotWork, "workloads", "B", []int{600, 1200, 2400, 4800, 9700}, snapshotOf(catalogOfWorkloads)},
		{sizing.SnapshotTeams, "teams", "B", []int{20, 40, 80, 160, 350}, snapshotOf(catalogOfTeams)},
		{sizing.SnapshotDomains, "domains of 138 workers", "B", []int{2, 4, 8, 16, 32}, snapshotOf(catalogOfDomains)},
		{sizing.HeapChanges, "changes of one team", "KiB", []int{250, 500, 1000, 2000, 4000, 8000}, heapOf(catalogOfChanges)},
		{sizing.ApplyWorkloads, "workloads", "us", []int{600, 1200, 2400, 4800, 9700}, applying},
		{sizing.InForce, "hosts", "ms", []int{3, 6, 12, 24, 48}, inForce},
	}
}
