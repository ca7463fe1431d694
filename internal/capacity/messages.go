package capacity

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	control "github.com/mimosaspool/mimosaspool/api/control"
	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// workerStub answers as a worker with a fixed list of tasks.
type workerStub struct{ tasks []*api.Task }

// stubDigest is the digest of workerStub's list.
const stubDigest = 1 << 62

func (w workerStub) Write(_ context.Context, req *api.WriteRequest) (*api.WriteReply, error) {
	now := time.Now().UnixMilli()
	reply := &api.WriteReply{NowMs: now, BootMs: now - 1e6, Token: req.Token, Digest: stubDigest, Unchanged: req.Digest == stubDigest}
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
			Task: fmt.Sprintf("survey/123456/west-1/%d", i), Attempt: 1<<62 + uint64(from+i), Size: workerSize, Expiry: expiry,
		})
	}
	return list
}

func renewal(srv *wire, s []scheduler.Start) scheduler.WriteWorker {
	now := time.Duration(time.Now().UnixMilli()) * time.Millisecond
	return scheduler.WriteWorker{
		Worker: "worker-0001", Address: srv.address(), Token: 123456789,
		RenewExpiry: now + time.Minute, Starts: s,
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
// run in it, set up as lifecycle.TuneControlProcess sets up the scheduler.
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
	if err := repeat(n, func() error { _, err := write(eff); return err }); err != nil {
		return 0, err
	}
	return float64((processorTime() - before).Nanoseconds()) / 1000 / n, nil
}

// repeat calls f n times on a goroutine of its own: the measuring one is locked
// to its thread, which makes every change of goroutine one of threads.
func repeat(n int, f func() error) error {
	done := make(chan error)
	go func() {
		for range n {
			if err := f(); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	return <-done
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
