package capacity

import (
	"context"
	"fmt"
	"time"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/standin"
)

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
