// Package schedulerd runs a scheduler core against the platform, its peers,
// the entries and operators.
package schedulerd

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// Options configure a daemon.
type Options struct {
	Settings scheduler.Settings
	Region   string
	// Peers are the base URLs of the other schedulers.
	Peers []string
	Log   platform.Log
	// Tenure is the partition of the domain's tenure.
	Tenure  platform.Partition
	Hosts   platform.Hosts
	Workers platform.Workers
	Client  *http.Client
	Logger  *logrus.Entry
	// Count adds to the counter of a kind (refusal, retry, loss) and reason.
	// It may be called concurrently.
	Count func(kind, reason string, n int64)
	// Record, where set, takes every step of the core.
	Record func(at time.Duration, ev scheduler.Event, effects []scheduler.Effect)
}

// The pace of the daemon's loops.
const (
	tickInterval      = 100 * time.Millisecond
	hostsInterval     = 2 * time.Second
	heartbeatInterval = time.Second
	readWait          = 2 * time.Second
	readMost          = 1000
	retryWait         = 500 * time.Millisecond
	// relayMost bounds the recent records kept for peers.
	relayMost = 5000
)

// Daemon owns a core. One goroutine steps the core; others do I/O.
type Daemon struct {
	opt    Options
	start  time.Time
	events chan scheduler.Event
	// calls run on the core's goroutine.
	calls     chan func(*scheduler.Core)
	core      *scheduler.Core
	directory *directoryService
	wg        sync.WaitGroup
	// counted holds the core's counters as last passed on.
	counted scheduler.Counters

	mu     sync.Mutex
	status status
	// changed is closed and replaced when the status changes.
	changed chan struct{}
	// recent holds records for peers that can't reach the log.
	recent []configuration.Numbered
}

// status is what other goroutines may know of the core; it is replaced whole.
type status struct {
	dir    scheduler.Directory
	ready  bool
	leader bool
	next   int64
	term   scheduler.Term
}

// New returns a daemon that has not started.
func New(opt Options) *Daemon {
	if opt.Count == nil {
		opt.Count = func(string, string, int64) {}
	}
	d := &Daemon{
		opt:     opt,
		start:   time.Now(),
		events:  make(chan scheduler.Event, 1024),
		calls:   make(chan func(*scheduler.Core)),
		core:    scheduler.New(opt.Settings),
		changed: make(chan struct{}),
	}
	d.directory = newDirectoryService(d)
	return d
}

// Run steps the core until ctx ends, then gives up its tenure.
func (d *Daemon) Run(ctx context.Context) {
	io, cancel := context.WithCancel(context.WithoutCancel(ctx))
	for _, loop := range []func(context.Context){d.followLog, d.followTenure, d.pollHosts, d.tick, d.directory.watchIdle} {
		d.wg.Go(func() { loop(ctx) })
	}
	for _, url := range d.opt.Peers {
		d.wg.Go(func() { d.heartbeat(ctx, url) })
	}
	d.loop(ctx, io)
	d.step(io, scheduler.Leave{})
	done := make(chan struct{})
	go func() { d.wg.Wait(); close(done) }()
	d.drain(io, done)
	cancel()
}

func (d *Daemon) loop(ctx, io context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-d.events:
			d.step(io, ev)
		case f := <-d.calls:
			d.catchUp(io)
			f(d.core)
		}
	}
}

// catchUp takes the events that are already waiting.
func (d *Daemon) catchUp(io context.Context) {
	for range len(d.events) {
		d.step(io, <-d.events)
	}
}

// drain keeps taking events until every goroutine has ended.
func (d *Daemon) drain(io context.Context, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case ev := <-d.events:
			d.step(io, ev)
		}
	}
}

func (d *Daemon) step(io context.Context, ev scheduler.Event) {
	now := time.Since(d.start)
	effects := d.core.Step(now, ev)
	if d.opt.Record != nil {
		d.opt.Record(now, ev, effects)
	}
	for _, eff := range effects {
		d.do(io, eff)
	}
	d.count()
	d.publish()
}

func (d *Daemon) do(ctx context.Context, eff scheduler.Effect) {
	switch eff := eff.(type) {
	case scheduler.WriteWorker:
		d.wg.Go(func() { d.writeWorker(ctx, eff) })
	case scheduler.AppendTenure:
		d.wg.Go(func() { d.appendTenure(ctx, eff) })
	case scheduler.AppendRecord:
		d.wg.Go(func() { d.append(ctx, eff) })
	}
}

func (d *Daemon) writeWorker(ctx context.Context, eff scheduler.WriteWorker) {
	ctx, cancel := context.WithTimeout(ctx, d.opt.Settings.Timing.Reply)
	defer cancel()
	reply, err := d.opt.Workers.Write(ctx, eff)
	if err != nil {
		d.unanswered("", err)
		d.events <- scheduler.WriteFailed{Worker: eff.Worker, Write: eff.Write}
		return
	}
	d.events <- reply
}

func (d *Daemon) append(ctx context.Context, eff scheduler.AppendRecord) {
	data, err := configuration.Encode(eff.Record)
	if err == nil {
		_, err = d.opt.Log.Append(ctx, data)
	}
	d.events <- scheduler.AppendDone{ID: eff.Record.ID, Failed: err != nil}
}

func (d *Daemon) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.core.NextOffset()
	s := status{dir: d.core.Directory(), ready: d.core.Ready(), leader: d.core.IsLeader(), next: next, term: d.core.Term()}
	if s.leader != d.status.leader {
		d.opt.Logger.WithField("leader", s.leader).Info("term changed")
	}
	if s.ready != d.status.ready {
		d.opt.Logger.WithField("position", next).Info("configuration known")
	}
	changed := s.dir.Version != d.status.dir.Version || s.next != d.status.next || s.leader != d.status.leader
	d.status = s
	if changed {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

func (d *Daemon) snapshot() (status, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status, d.changed
}

// Ready reports whether the daemon knows its configuration.
func (d *Daemon) Ready() bool {
	s, _ := d.snapshot()
	return s.ready
}

// call runs f on the core's goroutine and waits for it.
func (d *Daemon) call(ctx context.Context, f func(*scheduler.Core)) error {
	done := make(chan struct{})
	select {
	case d.calls <- func(c *scheduler.Core) { f(c); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

func (d *Daemon) tick(ctx context.Context) {
	every(ctx, tickInterval, func() { d.send(ctx, scheduler.Tick{}) })
}

func (d *Daemon) pollHosts(ctx context.Context) {
	every(ctx, hostsInterval, func() {
		hosts, err := d.opt.Hosts.List(ctx, d.opt.Settings.Domain)
		if err != nil {
			d.unanswered(reasonHosts, err)
			return
		}
		d.send(ctx, scheduler.HostsRead{Hosts: hosts})
	})
}

func (d *Daemon) followLog(ctx context.Context) {
	for ctx.Err() == nil {
		s, _ := d.snapshot()
		page, err := d.opt.Log.Read(ctx, s.next, readMost, readWait)
		if err != nil {
			d.unanswered(reasonLog, err)
			sleep(ctx, retryWait)
			continue
		}
		if len(page.Records) > 0 || !s.ready {
			d.learn(ctx, page.First, page.Records)
			_ = d.call(ctx, func(*scheduler.Core) {}) // until the core has taken the records
		}
	}
}

// learn passes records on to the core and keeps them for peers.
func (d *Daemon) learn(ctx context.Context, first int64, records []configuration.Numbered) {
	d.mu.Lock()
	for _, r := range records {
		if n := len(d.recent); n == 0 || r.Offset > d.recent[n-1].Offset {
			d.recent = append(d.recent, r)
		}
	}
	if extra := len(d.recent) - relayMost; extra > 0 {
		d.recent = append([]configuration.Numbered(nil), d.recent[extra:]...)
	}
	d.mu.Unlock()
	d.send(ctx, scheduler.LogRead{First: first, Records: records})
}

func (d *Daemon) send(ctx context.Context, ev scheduler.Event) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
