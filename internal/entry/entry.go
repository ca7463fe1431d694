// Package entry forwards callers' requests to runners. One goroutine owns the
// routing core; callers' goroutines send it events and carry out its effects.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/routing"
	"github.com/mimosaspool/mimosaspool/internal/telemetry"
)

// Options configure an entry.
type Options struct {
	Core       routing.Settings
	Schedulers []string
	// Client sends control messages.
	Client    *http.Client
	Telemetry *telemetry.Telemetry
	Logger    *logrus.Entry
}

// Intervals and inbox size of the core's goroutine.
const (
	tickInterval = 20 * time.Millisecond
	// connCheckInterval is how often connections are checked for progress.
	connCheckInterval = 500 * time.Millisecond
	inboxSize         = 4096
)

// Entry is the request path of one entry host.
type Entry struct {
	opt       Options
	startTime time.Time
	inbox     chan message
	stopped   chan struct{}
	core      *routing.Core
	calls     map[uint64]*call
	lastID    atomic.Uint64
	upstreams *upstreamPools
	responses *responseStore
	metrics   *metrics
	// goroutines tracks the sends and the control messages.
	goroutines sync.WaitGroup
	replies    pendingReplies
	ready      atomic.Bool
	// openRequests and usedSlots are the requests and slots in use. They are
	// logged when a second signal cuts requests off.
	openRequests, usedSlots atomic.Int64
}

// message is an item in the inbox of the core's goroutine: an event, with its
// call if the event starts one, or a function to run there.
type message struct {
	ev   routing.Event
	call *call
	fn   func(*routing.Core)
}

// New returns an entry that knows no runners yet.
func New(opt Options) (*Entry, error) {
	m, err := newMetrics(opt.Telemetry)
	if err != nil {
		return nil, err
	}
	return &Entry{
		opt:       opt,
		startTime: time.Now(),
		inbox:     make(chan message, inboxSize),
		stopped:   make(chan struct{}),
		core:      routing.New(opt.Core),
		calls:     map[uint64]*call{},
		upstreams: newUpstreamPools(),
		responses: newResponseStore(),
		metrics:   m,
		replies:   newPendingReplies(),
	}, nil
}

// now is the core's local time.
func (e *Entry) now() time.Duration { return time.Since(e.startTime) }

// Start starts the entry's goroutines. The returned function stops them, which
// cuts off requests still in flight.
func (e *Entry) Start(ctx context.Context) (stop func()) {
	coreCtx, stopWorking := context.WithCancel(ctx)
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	go e.run(coreCtx)
	e.goroutines.Go(func() { (&directorySyncer{entry: e}).run(backgroundCtx) })
	e.pollPeerLoads(backgroundCtx)
	return func() {
		stopBackground()
		stopWorking()
		<-e.stopped
		e.goroutines.Wait()
	}
}

// run owns the core until ctx ends.
func (e *Entry) run(ctx context.Context) {
	defer close(e.stopped)
	tick, connCheck := time.NewTicker(tickInterval), time.NewTicker(connCheckInterval)
	defer tick.Stop()
	defer connCheck.Stop()
	for {
		select {
		case m := <-e.inbox:
			e.handle(ctx, m)
		case <-tick.C:
			e.tick(ctx)
		case <-connCheck.C:
			e.checkConnections(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) handle(ctx context.Context, m message) {
	if m.fn != nil {
		m.fn(e.core)
		return
	}
	if m.call != nil {
		e.calls[m.call.id] = m.call
	}
	e.noteSendEnded(m.ev)
	e.step(ctx, m.ev)
}

// noteSendEnded marks a call's send as ended.
func (e *Entry) noteSendEnded(ev routing.Event) {
	switch ev := ev.(type) {
	case routing.SendAnswered:
		e.sendEnded(ev.ID)
	case routing.SendRefused:
		e.sendEnded(ev.ID)
	case routing.SendFailed:
		e.sendEnded(ev.ID)
	}
}

func (e *Entry) sendEnded(id uint64) {
	if c := e.calls[id]; c != nil {
		c.inFlight = false
		e.removeIfDone(c)
	}
}

// removeIfDone removes a call that neither the caller nor the core needs any
// more.
func (e *Entry) removeIfDone(c *call) {
	if c.ended && !c.inFlight {
		delete(e.calls, c.id)
	}
}

func (e *Entry) step(ctx context.Context, ev routing.Event) {
	for _, eff := range e.core.Step(e.now(), ev) {
		e.execute(ctx, eff)
	}
}

func (e *Entry) execute(ctx context.Context, eff routing.Effect) {
	switch eff := eff.(type) {
	case routing.Send:
		c := e.calls[eff.ID]
		c.inFlight = true
		c.effects <- eff
	case routing.Finish:
		e.metrics.requestEnded(eff.Result.Outcome)
		c := e.calls[eff.ID]
		c.effects <- eff
		c.ended = true
		e.removeIfDone(c)
	case routing.CancelSend:
		e.cancelSend(eff)
	case routing.DropResponse:
		e.responses.drop(eff.ID)
	default:
		e.handlePeerEffect(ctx, eff)
	}
}

// cancelSend closes the connection of a send. A send that the caller's
// goroutine has not started yet is cancelled by the next checkConnections.
func (e *Entry) cancelSend(g routing.CancelSend) {
	c := e.calls[g.ID]
	if c == nil {
		return
	}
	c.cancelledSend = g.Send
	if x := c.current.Load(); x != nil && x.send.Send == g.Send {
		x.cancel()
	}
}

func (e *Entry) tick(ctx context.Context) {
	if at, ok := e.core.NextTimer(); ok && at <= e.now() {
		e.step(ctx, routing.Tick{})
	}
}

// checkConnections reports sends whose connections have transferred bytes,
// publishes counts and closes unused upstream connections.
func (e *Entry) checkConnections(ctx context.Context) {
	for id, c := range e.calls {
		x := c.current.Load()
		if x == nil || !c.inFlight {
			continue
		}
		if c.cancelledSend == x.send.Send {
			x.cancel()
		}
		if n := x.bytesTransferred(); n != x.lastBytes {
			x.lastBytes = n
			e.step(ctx, routing.SendProgressed{ID: id, Send: x.send.Send})
		}
	}
	requests, slots := e.core.InFlight()
	e.openRequests.Store(int64(requests))
	e.usedSlots.Store(int64(slots))
	e.ready.Store(e.core.Ready())
	e.metrics.publish(e.core.Counters())
	e.upstreams.closeUnused(time.Now())
}

// post sends an event to the core's goroutine.
func (e *Entry) post(ev routing.Event) { e.enqueue(message{ev: ev}) }

// postRequest sends a new call to the core's goroutine.
func (e *Entry) postRequest(c *call) { e.enqueue(message{ev: c.event, call: c}) }

func (e *Entry) enqueue(m message) {
	select {
	case e.inbox <- m:
	case <-e.stopped:
	}
}

// withCore runs f on the core's goroutine and waits for it. It returns false
// if that goroutine has ended.
func (e *Entry) withCore(f func(*routing.Core)) bool {
	done := make(chan struct{})
	e.enqueue(message{fn: func(c *routing.Core) { f(c); close(done) }})
	select {
	case <-done:
		return true
	case <-e.stopped:
		return false
	}
}

// postAndWait posts an event, waits until the core has processed it, and then
// updates readiness.
func (e *Entry) postAndWait(ev routing.Event) {
	e.post(ev)
	e.withCore(func(c *routing.Core) { e.ready.Store(c.Ready()) })
}

// Ready reports whether the entry knows its runners and accepts requests.
func (e *Entry) Ready() bool { return e.ready.Load() }

// Register adds the routes for callers and for other entries.
func (e *Entry) Register(r *mux.Router) {
	r.PathPrefix("/s/{service}").HandlerFunc(e.serveRequest)
	e.registerControl(r)
}
