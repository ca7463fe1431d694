package operator_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/fakeworker"
	"github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/ownership"
	"github.com/mimosaspool/mimosaspool/internal/resource"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// site is a log, workers and one scheduler a domain, in virtual time.
type site struct {
	// mu guards the log and the nodes, which the service's appends run beside.
	mu    sync.Mutex
	log   []configuration.Numbered
	nodes []*node
}

// node is a scheduler on fake workers. It runs on the caller's goroutine.
type node struct {
	site    *site
	core    *scheduler.Core
	member  atomic.Pointer[operator.Member]
	now     time.Duration
	workers map[string]*fakeWorker
	tenure  fakeworker.Partition
	counts  map[string]int
	// down makes appends fail without effect, lossy with it.
	down, lossy bool
	// behind stops the node from reading the log.
	behind bool
	// cut keeps other nodes' queries away.
	cut bool
	// appended runs before each append.
	appended func()
}

// fakeWorker takes every token and start.
type fakeWorker struct {
	capacity resource.Vector
	tasks    map[uint64]scheduler.ObservedTask
	digest   uint64
}

func (s *site) add(host, domain string, workers map[string]resource.Vector) *node {
	n := &node{site: s, core: scheduler.New(scheduler.DefaultSettings(host, "1", domain)), counts: map[string]int{}, workers: map[string]*fakeWorker{}}
	n.member.Store(&operator.Member{Host: host, Domain: domain})
	var hosts []scheduler.Host
	for name, capacity := range workers {
		n.workers[name] = &fakeWorker{capacity: capacity, tasks: map[uint64]scheduler.ObservedTask{}, digest: 1}
		hosts = append(hosts, scheduler.Host{Name: name, Address: name, Rack: "rack-1"})
	}
	n.step(scheduler.HostsRead{Hosts: hosts})
	s.nodes = append(s.nodes, n)
	n.run(0)
	return n
}

func (n *node) step(ev scheduler.Event) {
	queue := n.core.Step(n.now, ev)
	for len(queue) > 0 {
		switch eff := queue[0].(type) {
		case scheduler.WriteWorker:
			queue = append(queue, n.core.Step(n.now, n.workers[eff.Worker].write(n.now, eff))...)
		case scheduler.AppendTenure:
			queue = append(queue, n.core.Step(n.now, n.tenure.Append(eff))...)
		}
		queue = queue[1:]
	}
}

// epoch is the start of the workers' clocks before that of the schedulers'.
const epoch = time.Hour

func (f *fakeWorker) write(now time.Duration, w scheduler.WriteWorker) scheduler.WriteReplied {
	for _, s := range w.Starts {
		f.tasks[s.Attempt] = scheduler.ObservedTask{Task: s.Task, Attempt: s.Attempt, Size: s.Size, Expiry: s.Expiry}
		f.digest++
	}
	for _, o := range w.Orders {
		delete(f.tasks, o.Attempt)
		f.digest++
	}
	ev := scheduler.WriteReplied{Worker: w.Worker, Capacity: f.capacity, Digest: f.digest}
	ev.Reply = ownership.Reply{Write: w.Write, Now: now + epoch, Boot: time.Minute, Token: w.Token}
	for _, t := range f.tasks {
		ev.Tasks = append(ev.Tasks, t)
	}
	slices.SortFunc(ev.Tasks, func(a, b scheduler.ObservedTask) int { return int(int64(a.Attempt - b.Attempt)) })
	return ev
}

// run reads the log and lets time pass.
func (n *node) run(d time.Duration) {
	if !n.behind {
		next := n.core.NextOffset()
		n.step(scheduler.LogRead{Records: n.site.log[min(int(next), len(n.site.log)):]})
	}
	for end := n.now + d; n.now < end; {
		n.now += 100 * time.Millisecond
		n.step(n.tenure.Read(n.tenure.End()))
		n.step(scheduler.Tick{})
	}
	m := *n.member.Load()
	m.Leader, m.Position = n.core.IsLeader(), n.core.Catalog().Next
	n.member.Store(&m)
}

// settled is the virtual time that passes after each append.
const settled = 6 * time.Second

// Append implements operator.Node.
func (n *node) Append(_ context.Context, data []byte) error {
	if n.appended != nil {
		n.appended()
	}
	n.site.mu.Lock()
	defer n.site.mu.Unlock()
	if n.down {
		return errors.New("down")
	}
	n.site.append(data)
	if n.lossy {
		n.lossy = false
		return errors.New("reply lost")
	}
	return nil
}

func (s *site) append(data []byte) {
	s.log = append(s.log, configuration.Numbered{Offset: int64(len(s.log)), Data: data})
}

// Call implements operator.Node.
func (n *node) Call(_ context.Context, f func(*scheduler.Core)) error {
	n.site.mu.Lock()
	defer n.site.mu.Unlock()
	if n.core.NextOffset() < int64(len(n.site.log)) {
		for _, x := range n.site.nodes {
			x.run(settled)
		}
	}
	f(n.core)
	return nil
}

// Changed implements operator.Node.
func (n *node) Changed() <-chan struct{} { return nil }

// Member implements operator.Node.
func (n *node) Member() operator.Member { return *n.member.Load() }

// Ask implements operator.Node.
func (n *node) Ask(ctx context.Context, text string) []operator.Result {
	var all []operator.Result
	for _, x := range n.site.nodes {
		if x == n || x.cut || n.cut {
			continue
		}
		if res, err := operator.New(x).Execute(ctx, operator.Request{Text: text, Forwarded: true}); err == nil {
			all = append(all, res)
		}
	}
	return all
}

// Count implements operator.Node.
func (n *node) Count(kind, reason string) { n.counts[kind+" "+reason]++ }

var (
	survey  = resource.Vector{MilliCPU: 32000, MemoryMiB: 128 << 10}
	imaging = resource.Vector{MilliCPU: 128000, MemoryMiB: 512 << 10, Accelerators: 8}
)

// newSite returns two domains, south and north, with one worker for surveys
// and one for imaging each.
func newSite() (*site, *node, *node) {
	s := &site{}
	var nodes []*node
	for _, d := range []string{"south", "north"} {
		nodes = append(nodes, s.add("entry-"+d+"-1", d, map[string]resource.Vector{
			"survey-" + d + "-01": survey, "imaging-" + d + "-01": imaging,
		}))
	}
	return s, nodes[0], nodes[1]
}

// domains declares what newSite has.
func domains() string {
	var b strings.Builder
	for _, d := range []string{"south", "north"} {
		b.WriteString("declare domain " + d + " region west workers survey-" + d + "-[01-01], imaging-" + d + "-01 entries entry-" + d + "-1;\n")
	}
	return b.String()
}
