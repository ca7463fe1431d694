package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// CallCost is the processor time that one call takes of a node.
type CallCost struct{ Send, Read time.Duration }

// Call is all of it.
func (c CallCost) Call() time.Duration { return c.Send + c.Read }

// ProcessorUsage tells what became of the calls of a node.
type ProcessorUsage struct {
	// Unsent calls ended before the node had sent them, unread ones after their
	// answer had come and before the node had read it.
	Calls, Unsent, Unread int
	// Longest is the longest line of uses at one time.
	Longest int
	Busy    time.Duration
	// Used is the processor time that the uses have got, less than Busy on a slow processor.
	Used time.Duration
}

// Processor is the processor of one node. It serves one use at a time, first
// come first served. Its methods may be called concurrently.
type Processor struct {
	mu    sync.Mutex
	line  []*use
	usage ProcessorUsage
	// slowdown multiplies the time of uses, 0 means 1.
	slowdown int
}

type use struct {
	takes time.Duration
	done  chan struct{}
	// left is set when the user has stopped waiting before its turn.
	left bool
}

// Usage returns what happened so far.
func (p *Processor) Usage() ProcessorUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage
}

// Use takes the processor for a time once its turn has come. It reports false
// when the context ends first: a turn that has begun is used to its end.
func (p *Processor) Use(ctx context.Context, takes time.Duration) bool {
	if takes > 0 {
		u := &use{takes: takes, done: make(chan struct{})}
		p.join(u)
		if _, ok := await(ctx, u.done); !ok {
			p.mu.Lock()
			u.left = true
			p.mu.Unlock()
		}
	}
	return ctx.Err() == nil
}

// SetSlowdown makes the processor slower by a factor from now on.
func (p *Processor) SetSlowdown(factor int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowdown = factor
}

func (p *Processor) join(u *use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.takes *= time.Duration(max(p.slowdown, 1))
	p.line = append(p.line, u)
	p.usage.Longest = max(p.usage.Longest, len(p.line))
	if len(p.line) == 1 {
		p.begin()
	}
}

// begin serves the first in line. The caller holds the lock.
func (p *Processor) begin() {
	u := p.line[0]
	p.usage.Busy += u.takes
	p.usage.Used += u.takes / time.Duration(max(p.slowdown, 1))
	time.AfterFunc(u.takes, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		close(u.done)
		p.line = p.line[1:]
		for len(p.line) > 0 && p.line[0].left {
			p.line = p.line[1:]
		}
		if len(p.line) > 0 {
			p.begin()
		}
	})
}

// Workers returns the workers as the node reaches them when each call takes
// processor time. A call's context runs on while it waits for the processor.
func (p *Processor) Workers(c worker.Client, cost CallCost) worker.Client {
	return &costlyWorkers{c, p, cost}
}

type costlyWorkers struct {
	worker.Client
	processor *Processor
	cost      CallCost
}

// Start implements worker.Client.
func (w *costlyWorkers) Start(ctx context.Context, s worker.Start) (worker.Code, int64) {
	return spend(ctx, w, func() (worker.Code, int64) { return w.Client.Start(ctx, s) })
}

// Stop implements worker.Client.
func (w *costlyWorkers) Stop(ctx context.Context, s worker.Stop) (worker.Code, int64) {
	return spend(ctx, w, func() (worker.Code, int64) { return w.Client.Stop(ctx, s) })
}

// Throttle implements worker.Client.
func (w *costlyWorkers) Throttle(ctx context.Context, s worker.Throttle) (worker.Code, int64) {
	return spend(ctx, w, func() (worker.Code, int64) { return w.Client.Throttle(ctx, s) })
}

// Heartbeat implements worker.Client.
func (w *costlyWorkers) Heartbeat(ctx context.Context, h worker.Heartbeat) (worker.Code, worker.HeartbeatResponse) {
	return spend(ctx, w, func() (worker.Code, worker.HeartbeatResponse) { return w.Client.Heartbeat(ctx, h) })
}

// spend sends a call and reads its answer, T beside the code.
func spend[T any](ctx context.Context, w *costlyWorkers, send func() (worker.Code, T)) (worker.Code, T) {
	var none T
	p := w.processor
	p.note(func(u *ProcessorUsage) { u.Calls++ })
	if !p.Use(ctx, w.cost.Send) {
		p.note(func(u *ProcessorUsage) { u.Unsent++ })
		return worker.NotExecuted, none
	}
	code, answer := send()
	if ctx.Err() != nil {
		return code, answer
	}
	if !p.Use(ctx, w.cost.Read) {
		p.note(func(u *ProcessorUsage) { u.Unread++ })
		return worker.Unknown, none
	}
	return code, answer
}

func (p *Processor) note(edit func(*ProcessorUsage)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit(&p.usage)
}
