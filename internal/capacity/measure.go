package capacity

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"

	control "github.com/mimosaspool/mimosaspool/api/control"
	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/standin"
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
		{ApplyWorkloads, "workloads", "us", []int{600, 1200, 2400, 4800, 9700}, applying},
		{InForce, "hosts", "ms", []int{3, 6, 12, 24, 48}, inForce},
	}
}

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

func snapshotOf(build func(int) (any, error)) func(int) (float64, error) {
	return func(n int) (float64, error) {
		v, err := build(n)
		if err != nil {
			return 0, err
		}
		data, err := configuration.Encode(configuration.Record{ID: "snapshot", Snapshot: &configuration.Snapshot{Catalog: v.(*configuration.Catalog)}})
		return float64(len(data)), err
	}
}

// applying measures one more record on a catalog of n workloads.
func applying(n int) (float64, error) {
	const records = 500
	v, err := catalogOfWorkloads(n)
	if err != nil {
		return 0, err
	}
	view := &configuration.View{Catalog: v.(*configuration.Catalog)}
	var list []configuration.Numbered
	for i := range records {
		data, err := configuration.Encode(configuration.Record{
			ID: fmt.Sprintf("more-%d", i), Actor: "operator",
			Ops: []configuration.Op{workload(fmt.Sprintf("workload-%05d", i), configuration.Batch, 4)},
		})
		if err != nil {
			return 0, err
		}
		list = append(list, configuration.Numbered{Offset: int64(n + i), Data: data})
	}
	began := threadTime()
	for _, r := range list {
		rec, err := configuration.Decode(r.Data)
		if err != nil {
			return 0, err
		}
		view.Catalog.Apply(r.Offset, rec)
	}
	return float64((threadTime() - began).Nanoseconds()) / 1000 / records, nil
}

func recordOps(n int) (float64, error) {
	r := configuration.Record{ID: "0b0e7a5e-6f1c-4d3a-9f58-1c1d8a3d2a11", Actor: "operator"}
	for i := range n {
		r.Ops = append(r.Ops, workload(fmt.Sprintf("workload-%05d", i), configuration.Batch, 4))
	}
	data, err := configuration.Encode(r)
	return float64(len(data)), err
}

func recordEnded(n int) (float64, error) {
	r := configuration.Record{ID: "entry-d-1#dhk3hq1l2k3-123456", Actor: "entry-d-1"}
	for i := range n {
		r.Ended = append(r.Ended, configuration.Ended{Task: fmt.Sprintf("workload-%05d/123456/%d", i, i)})
	}
	data, err := configuration.Encode(r)
	return float64(len(data)), err
}

// workerStub answers as a worker with a fixed list of tasks.
type workerStub struct{ tasks []*api.Task }

// stubDigest is the digest of workerStub's list.
const stubDigest = 1 << 62

func (w workerStub) Write(_ context.Context, req *api.WriteRequest) (*api.WriteReply, error) {
	now := time.Now().UnixMilli()
	reply := &api.WriteReply{NowMs: now, BootMs: now - 1e6, Digest: stubDigest, Unchanged: req.Digest == stubDigest}
	reply.Mark = &api.Mark{Holder: req.Holder, ExpiryMs: now + 6000, SinceMs: now - 1e5}
	if !reply.Unchanged {
		reply.Tasks, reply.Capacity = w.tasks, &api.Resources{MilliCpu: 64000, MemoryMib: 256 << 10, Accelerators: 2}
	}
	return reply, nil
}

// remoteWorker serves a worker with the given number of tasks and returns how
// to write to it.
func remoteWorker(tasks int) (*wire, func(scheduler.WriteWorker) (scheduler.WriteReplied, error), error) {
	var stub workerStub
	size := &api.Resources{MilliCpu: 4000, MemoryMib: 8 << 10}
	for i := range tasks {
		stub.tasks = append(stub.tasks, &api.Task{
			Task: fmt.Sprintf("survey/123456/west-1/%d", i), Attempt: 1<<62 + uint64(i), Size: size, Usage: size,
			LeaseExpiryMs: time.Now().UnixMilli(), Address: "10.20.30.40:40000",
		})
	}
	srv, err := serve(api.NewWorkerServer(stub))
	if err != nil {
		return nil, nil, err
	}
	client := platform.NewWorkers(platform.NewHTTPClient(time.Second))
	return srv, func(eff scheduler.WriteWorker) (scheduler.WriteReplied, error) {
		return client.Write(context.Background(), eff)
	}, nil
}

func starts(from, n int) []scheduler.Start {
	var list []scheduler.Start
	expiry := time.Duration(time.Now().UnixMilli())*time.Millisecond + time.Minute
	for i := range n {
		list = append(list, scheduler.Start{
			Task: fmt.Sprintf("survey/123456/west-1/%d", i), Attempt: 1<<62 + uint64(from+i), Size: seatSize, Expiry: expiry,
		})
	}
	return list
}

func renewal(srv *wire, s []scheduler.Start) scheduler.WriteWorker {
	now := time.Duration(time.Now().UnixMilli()) * time.Millisecond
	return scheduler.WriteWorker{
		Worker: "worker-0001", Address: srv.address(), Holder: "entry-west-1-1#dhk3hq1l2k3",
		MarkExpiry: now + time.Minute, RenewExpiry: now + time.Minute, Starts: s,
	}
}

// calls is how often a call is repeated for a mean.
const calls = 200

func wireRenewal(list bool) func(int) (float64, error) {
	return func(tasks int) (float64, error) {
		srv, write, err := remoteWorker(tasks)
		if err != nil {
			return 0, err
		}
		defer srv.close()
		eff := renewal(srv, nil)
		if !list {
			eff.Digest = stubDigest
		}
		return srv.count(calls, func(context.Context) error { _, err := write(eff); return err })
	}
}

func wireStarts(n int) (float64, error) {
	srv, write, err := remoteWorker(tasksPerWorker)
	if err != nil {
		return 0, err
	}
	defer srv.close()
	eff := renewal(srv, starts(1000, n))
	eff.Digest = stubDigest
	return srv.count(calls, func(context.Context) error { _, err := write(eff); return err })
}

type peerStub struct{ reply *control.HeartbeatReply }

func (p peerStub) Heartbeat(context.Context, *control.HeartbeatRequest) (*control.HeartbeatReply, error) {
	return p.reply, nil
}

func wireHeartbeat(records int) (float64, error) {
	state := &control.SchedulerState{Host: "entry-west-1-1", Holder: "entry-west-1-1#dhk3hq1l2k3", Domain: "west-1", Position: 123456, Leader: true}
	reply := &control.HeartbeatReply{State: state}
	data, err := recordData()
	if err != nil {
		return 0, err
	}
	for i := range records {
		reply.Records = append(reply.Records, &control.RelayedRecord{Offset: int64(123456 + i), TimeMs: time.Now().UnixMilli(), Data: data})
	}
	srv, err := serve(control.NewPeerServer(peerStub{reply}))
	if err != nil {
		return 0, err
	}
	defer srv.close()
	client := control.NewPeerProtobufClient(srv.URL, platform.NewHTTPClient(time.Second))
	return srv.count(calls, func(ctx context.Context) error {
		_, err := client.Heartbeat(ctx, &control.HeartbeatRequest{State: state})
		return err
	})
}

func recordData() ([]byte, error) {
	return configuration.Encode(configuration.Record{ID: "0b0e7a5e-6f1c-4d3a-9f58-1c1d8a3d2a11", Actor: "operator", Ops: []configuration.Op{workload("workload-00001", configuration.Batch, 4)}})
}

type directoryStub struct{ reply *control.SyncReply }

func (d directoryStub) Sync(context.Context, *control.SyncRequest) (*control.SyncReply, error) {
	return d.reply, nil
}

func wireSync(endpoints int) (float64, error) {
	reply := &control.SyncReply{Version: 1234, Leader: true, Position: 123456}
	for i := range endpoints {
		reply.Endpoints = append(reply.Endpoints, &control.Endpoint{
			Service: "survey", Task: fmt.Sprintf("survey/123456/west-1/%d", i), Attempt: 1<<62 + uint64(i), Address: "10.20.30.40:40000", Slots: 3,
		})
	}
	srv, err := serve(control.NewDirectoryServer(directoryStub{reply}))
	if err != nil {
		return 0, err
	}
	defer srv.close()
	client := control.NewDirectoryProtobufClient(srv.URL, platform.NewHTTPClient(time.Second))
	return srv.count(calls, func(ctx context.Context) error {
		_, err := client.Sync(ctx, &control.SyncRequest{Entry: "entry-west-1-1", KnownVersion: 1233, WaitMs: 2000})
		return err
	})
}

// callTime measures this process's processor time for one renewal; both ends
// run in it, set up as lifecycle.TuneControl sets up the scheduler.
func callTime(tasks int) (float64, error) {
	const n = 3000
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	srv, write, err := remoteWorker(tasks)
	if err != nil {
		return 0, err
	}
	defer srv.close()
	eff := renewal(srv, nil)
	eff.Digest = stubDigest
	if _, err := write(eff); err != nil {
		return 0, err
	}
	before := processorTime()
	for range n {
		if _, err := write(eff); err != nil {
			return 0, err
		}
	}
	return float64((processorTime() - before).Nanoseconds()) / 1000 / n, nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// inForce measures the longest time from an append until a follower of the log
// has the record, for n followers, as a mean of several appends.
func inForce(n int) (float64, error) {
	const appends = 20
	l := standin.NewLog(standin.LogLimits{AppendsPerSecond: 500}, standin.NewFaults())
	srv, err := serve(api.NewLogServer(l))
	if err != nil {
		return 0, err
	}
	defer srv.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seen := make(chan int64, n*appends)
	for range n {
		go follow(ctx, platform.NewLog(srv.URL, platform.NewHTTPClient(5*time.Second)), seen)
	}
	time.Sleep(300 * time.Millisecond)
	data, err := recordData()
	if err != nil {
		return 0, err
	}
	var total time.Duration
	writer := platform.NewLog(srv.URL, platform.NewHTTPClient(5*time.Second))
	for range appends {
		began := time.Now()
		if _, err := writer.Append(ctx, data); err != nil {
			return 0, err
		}
		for range n {
			<-seen
		}
		total += time.Since(began)
	}
	return float64(total.Microseconds()) / 1000 / appends, nil
}

func follow(ctx context.Context, l platform.Log, seen chan<- int64) {
	next := int64(0)
	for ctx.Err() == nil {
		page, err := l.Read(ctx, next, 100, 2*time.Second)
		if err != nil {
			return
		}
		for _, r := range page.Records {
			next = r.Offset + 1
			seen <- r.Offset
		}
	}
}
