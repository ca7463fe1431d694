// Package platform holds the interfaces through which the programs reach the
// platform, and their adapters to its protocol.
package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Log is the platform's append-only log. Its methods may be called concurrently.
type Log interface {
	// Append adds one record and returns its offset. After an error the
	// record may be in the log all the same.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns records from an offset on and the offset of the oldest
	// record retained. It waits up to the given time for one.
	Read(ctx context.Context, from int64, most int, wait time.Duration) (LogPage, error)
}

// LogPage is a run of consecutive records.
type LogPage struct {
	First, Next int64
	Records     []configuration.Numbered
}

// Hosts is the platform's list of hosts, which lags behind the truth.
type Hosts interface {
	List(ctx context.Context, domain string) ([]scheduler.Host, error)
}

// Workers reaches the workers. Its methods may be called concurrently.
type Workers interface {
	// Write sends one write. After an error it may have taken effect all the
	// same, or may yet.
	Write(ctx context.Context, w scheduler.WriteWorker) (scheduler.WriteReplied, error)
}

// ErrUnavailable marks a call that the platform did not answer.
var ErrUnavailable = errors.New("platform unavailable")

// unavailable turns an error of the transport into the package's own.
func unavailable(op string, err error) error {
	return errors.Wrapf(ErrUnavailable, "%s: %v", op, err)
}

// RemoteLog is the log behind the platform's protocol.
type RemoteLog struct{ client api.Log }

// NewLog returns the log at the given base URL.
func NewLog(url string, client *http.Client) *RemoteLog {
	return &RemoteLog{api.NewLogProtobufClient(url, client)}
}

// Append implements Log.
func (l *RemoteLog) Append(ctx context.Context, data []byte) (int64, error) {
	r, err := l.client.Append(ctx, &api.AppendRequest{Data: data})
	if err != nil {
		return 0, unavailable("append", err)
	}
	return r.Offset, nil
}

// Read implements Log.
func (l *RemoteLog) Read(ctx context.Context, from int64, most int, wait time.Duration) (LogPage, error) {
	r, err := l.client.Read(ctx, &api.ReadRequest{From: from, Max: int32(most), WaitMs: int32(wait.Milliseconds())})
	if err != nil {
		return LogPage{}, unavailable("read", err)
	}
	if err := checkPage(from, r); err != nil {
		return LogPage{}, err
	}
	page := LogPage{First: r.First, Next: r.Next}
	for _, rec := range r.Records {
		page.Records = append(page.Records, configuration.Numbered{Offset: rec.Offset, TimeMillis: rec.TimeMs, Data: rec.Data})
	}
	return page, nil
}

// RemoteHosts is the list of hosts behind the platform's protocol.
type RemoteHosts struct{ client api.Hosts }

// NewHosts returns the list at the given base URL.
func NewHosts(url string, client *http.Client) *RemoteHosts {
	return &RemoteHosts{api.NewHostsProtobufClient(url, client)}
}

// List implements Hosts.
func (h *RemoteHosts) List(ctx context.Context, domain string) ([]scheduler.Host, error) {
	r, err := h.client.List(ctx, &api.ListRequest{Domain: domain})
	if err != nil {
		return nil, unavailable("list hosts", err)
	}
	hosts := make([]scheduler.Host, 0, len(r.Hosts))
	for _, x := range r.Hosts {
		if x.Name == "" {
			continue
		}
		hosts = append(hosts, scheduler.Host{
			Name: x.Name, Domain: x.Domain, Rack: x.Rack, Address: x.Address, Leaving: x.Leaving, Entry: x.Entry, Machine: x.Machine,
		})
	}
	return hosts, nil
}

// RemoteWorkers reaches workers through the platform's protocol.
type RemoteWorkers struct{ client *http.Client }

// NewWorkers returns workers reached with the given client.
func NewWorkers(client *http.Client) *RemoteWorkers { return &RemoteWorkers{client} }

// Write implements Workers.
func (w *RemoteWorkers) Write(ctx context.Context, eff scheduler.WriteWorker) (scheduler.WriteReplied, error) {
	client := api.NewWorkerProtobufClient("http://"+eff.Address, w.client)
	r, err := client.Write(ctx, WriteRequest(eff))
	if err != nil {
		return scheduler.WriteReplied{}, unavailable("write worker", err)
	}
	if err := checkReply(r); err != nil {
		return scheduler.WriteReplied{}, err
	}
	return writeReplied(eff, r), nil
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// WriteRequest returns a write as the platform's protocol has it.
func WriteRequest(eff scheduler.WriteWorker) *api.WriteRequest {
	req := &api.WriteRequest{
		Token:         eff.Token,
		RenewExpiryMs: millis(eff.RenewExpiry),
		Forget:        eff.Forget,
		Digest:        eff.Digest,
		BootMs:        millis(eff.Boot),
	}
	for _, s := range eff.Starts {
		req.Starts = append(req.Starts, &api.Start{
			Task: s.Task, Attempt: s.Attempt, Size: Resources(s.Size), LeaseExpiryMs: millis(s.Expiry),
			Service: s.Service, RunMs: s.RunMillis, Checkpoint: s.Checkpoint,
		})
	}
	for _, o := range eff.Orders {
		req.Orders = append(req.Orders, &api.Order{
			Kind: api.OrderKind(o.Kind), Task: o.Task, Attempt: o.Attempt, ValidUntilMs: millis(o.ValidUntil),
		})
	}
	return req
}

func writeReplied(eff scheduler.WriteWorker, r *api.WriteReply) scheduler.WriteReplied {
	ev := scheduler.WriteReplied{
		Worker: eff.Worker,
		Reply: ownership.Reply{
			Write: eff.Write, Now: duration(r.NowMs), Boot: duration(r.BootMs), Token: r.Token,
		},
		Unchanged: r.Unchanged,
		Digest:    r.Digest,
		Capacity:  Vector(r.Capacity),
	}
	for _, t := range r.Tasks {
		ev.Tasks = append(ev.Tasks, scheduler.ObservedTask{
			Task: t.Task, Attempt: t.Attempt, Size: Vector(t.Size), Expiry: duration(t.LeaseExpiryMs),
			State: scheduler.TaskState(t.State), Address: t.Address, Usage: Vector(t.Usage),
			Checkpoint: t.Checkpoint, Throttled: t.Throttled,
		})
	}
	return ev
}

// Resources returns an amount as the platform's protocol has it.
func Resources(v resource.Vector) *api.Resources {
	return &api.Resources{MilliCpu: v.MilliCPU, MemoryMib: v.MemoryMiB, Accelerators: v.Accelerators}
}

// Vector returns an amount of the platform's protocol.
func Vector(r *api.Resources) resource.Vector {
	return resource.Vector{MilliCPU: r.GetMilliCpu(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators()}
}
